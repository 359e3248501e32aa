package barleyfall.catalog.replica;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * A request to the leader that doesn't change the list: leases to renew, and optionally a linearizable read
 * of the whole list. Written in CBOR under the components' names.
 *
 * @param renew the leases to renew
 * @param image whether the answer is to hold the whole list
 */
record Query(List<Renewal> renew, boolean image) {
    /** A lease to renew, identified by the member's name and the token of its registration. */
    record Renewal(String host, long token) { }

    /**
     * The leader's answer.
     *
     * @param renewed for each renewal, in order, whether the lease was renewed; false if no such registration
     *     is known
     * @param seq the version of the list at the leader
     * @param image the list in the format of {@link ImageFile}, or null if it was not requested
     */
    record Answer(@JsonProperty("good") List<Boolean> renewed, long seq, byte[] image) { }
}
