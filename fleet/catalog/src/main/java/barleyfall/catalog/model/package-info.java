/** The list of flag servers as a state machine: the same commands give the same list, everywhere. */
package barleyfall.catalog.model;
