/**
 * A plain edge node of the lab's own, which keeps every rule or breaks just one: the checker is tried on it.
 */
package barleyfall.lab.edge;
