/**
 * One replica of the list service: Apache Ratis replicates the command log, the list is its state machine,
 * and the leader keeps the leases in memory.
 */
package barleyfall.catalog.replica;
