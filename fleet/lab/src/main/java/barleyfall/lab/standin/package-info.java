/**
 * Stand-ins for the other components of the platform, written from its specification: models behind real
 * sockets.
 */
package barleyfall.lab.standin;
