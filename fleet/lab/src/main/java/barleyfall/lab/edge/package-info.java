/** A simple edge node of the lab that keeps every rule or breaks exactly one, to test the rule checker. */
package barleyfall.lab.edge;
