/**
 * The list service: the list of flag servers, replicated by 1, 3 or 5 replicas, with versions, leases and
 * watches.
 */
package barleyfall.catalog;
