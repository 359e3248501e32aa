/** Checks of what clients of the list service observed: linearizability, and the completeness of watches. */
package barleyfall.lab.history;
