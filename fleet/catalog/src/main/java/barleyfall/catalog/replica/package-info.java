/** One replica: agreement by Apache Ratis, the list as its state machine, leases kept by the leader. */
package barleyfall.catalog.replica;
