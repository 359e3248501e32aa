/** What the stand-ins saw, and nothing of what the program says of itself. */
package barleyfall.lab.seen;
