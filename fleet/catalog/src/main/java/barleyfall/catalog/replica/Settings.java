package barleyfall.catalog.replica;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * The settings of a replica, from its configuration file.
 *
 * @param id the id of this replica
 * @param dir its data directory, used by no other process
 * @param replicas all replicas, this one included: 1, 3 or 5
 * @param timing timeouts of the replication
 * @param leasing bounds of leases
 * @param guarding the guard against mass loss
 * @param listing what the list accepts and keeps
 * @param watching limits of watches
 */
public record Settings(String id, Path dir, List<Peer> replicas, Timing timing, Leasing leasing,
    Guarding guarding, Listing listing, Watching watching) {

    /**
     * A replica.
     *
     * @param id its id
     * @param raft the address for the other replicas, {@code address:port}
     * @param http the address for clients, {@code address:port}
     */
    public record Peer(String id, String raft, String http) { }

    /**
     * Timeouts of the replication.
     *
     * @param electionTimeoutMs a replica that hears nothing from the leader for this long, up to twice that,
     *     starts an election
     * @param writeTimeoutMs a write that has not been committed after this time is answered as possibly not
     *     done
     * @param staleAfterMs a replica that has known no leader for longer reports that its list is stale
     */
    public record Timing(int electionTimeoutMs, int writeTimeoutMs, int staleAfterMs) { }

    /**
     * Bounds of leases.
     *
     * @param minMs the shortest lease that a member may ask for
     * @param maxMs the longest lease that a member may ask for
     * @param graceMs how long after the end of its lease a member leaves the list
     */
    public record Leasing(int minMs, int maxMs, int graceMs) { }

    /**
     * The guard against mass loss: if more than {@code maxLostFraction} of the members, and at least {@code
     * minLost}, would leave within {@code windowMs} because their leases expire, none of them does until they
     * are back or an operator says that they are gone.
     */
    public record Guarding(double maxLostFraction, int minLost, int windowMs) { }

    /**
     * What the list accepts and keeps.
     *
     * @param zones the zones that a member may name; empty for any
     * @param regions zones by region
     * @param maxMembers how many members are accepted
     * @param maxChanges how many changes are kept for watches that resume
     * @param snapshotEveryEntries how many log entries lie between two snapshots
     */
    public record Listing(List<String> zones, Map<String, List<String>> regions, int maxMembers,
        int maxChanges, int snapshotEveryEntries) {
        /** The region of a zone, or an empty string if the settings name none. */
        public String region(String zone) {
            return regions.entrySet().stream().filter(region -> region.getValue().contains(zone))
                .map(Map.Entry::getKey).findFirst().orElse("");
        }
    }

    /**
     * Limits of watches.
     *
     * @param bufferBytes how much may be buffered for one watch before no more is written to it
     * @param stallTimeoutMs a watch that reads nothing for this long is closed
     * @param maxWatches how many watches may be open at the same time
     */
    public record Watching(int bufferBytes, int stallTimeoutMs, int maxWatches) { }

    /** This replica's entry among the replicas. */
    public Peer self() {
        return replicas.stream().filter(peer -> peer.id().equals(id)).findFirst().orElseThrow();
    }

    /** The replica with that id, or null. */
    public Peer peer(String peerId) {
        return replicas.stream().filter(peer -> peer.id().equals(peerId)).findFirst().orElse(null);
    }
}
