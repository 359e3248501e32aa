/** The other parties of the platform, written from its pages: models behind real sockets. */
package barleyfall.lab.standin;
