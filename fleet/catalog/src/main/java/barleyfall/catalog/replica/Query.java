package barleyfall.catalog.replica;

import java.util.List;

/**
 * What a replica asks of the leader and that changes no list: leases to renew, and with the answer a view
 * that is no older than the question.
 *
 * @param renew the leases
 * @param image whether the whole list is wanted
 */
record Query(List<Renewal> renew, boolean image) {
    /** A lease to renew. */
    record Renewal(String host, long token) { }

    /** Which renewals were good, in their order; the list's version at the leader; the list, if wanted. */
    record Answer(List<Boolean> good, long seq, byte[] image) { }
}
