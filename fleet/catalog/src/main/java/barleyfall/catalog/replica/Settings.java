package barleyfall.catalog.replica;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * What a replica is told by its file. All times are ms.
 *
 * @param id which of the replicas this one is
 * @param dir the folder that it keeps, its own alone
 * @param replicas all of them, this one too: 1, 3 or 5
 */
public record Settings(String id, Path dir, List<Peer> replicas, Timing timing, Leasing leasing,
    Guarding guarding,
    Listing listing, Watching watching) {

    /** A replica: where the others reach it, and where clients do; {@code address:port}. */
    public record Peer(String id, String raft, String http) { }

    /**
     * @param election without a word of the leader for this long, up to twice that, a replica stands for it
     * @param write a write that has not been agreed on by then is answered as not known to be done
     * @param staleAfter a replica that knows of no leader for longer says that its list is old
     */
    public record Timing(int election, int write, int staleAfter) { }

    /**
     * @param least the shortest lease that is given
     * @param most the longest
     * @param grace after the end of a lease, before the member has left
     */
    public record Leasing(int least, int most, int grace) { }

    /**
     * Against mass loss: where more than {@code share} of the members, and at least {@code least}, would end
     * within {@code window}, none does until they are back or an operator has said so.
     */
    public record Guarding(double share, int least, int window) { }

    /**
     * @param zones the zones that a member may name; none given: any
     * @param regions zones by region
     * @param members the most that are taken
     * @param history changes held for watches that resume
     * @param snapshotEvery log entries between two snapshots
     */
    public record Listing(List<String> zones, Map<String, List<String>> regions, int members, int history,
        int snapshotEvery) {
        /** The region of a zone, empty where none is stated. */
        public String region(String zone) {
            return regions.entrySet().stream().filter(r -> r.getValue().contains(zone)).map(Map.Entry::getKey)
                .findFirst().orElse("");
        }
    }

    /**
     * @param buffer bytes that may wait for one watch before it is written no more
     * @param slow a watch that takes nothing for this long is cut off
     * @param most watches at once
     */
    public record Watching(int buffer, int slow, int most) { }

    /** This replica among the others. */
    public Peer self() {
        return replicas.stream().filter(p -> p.id().equals(id)).findFirst().orElseThrow();
    }

    /** One of them, or null. */
    public Peer peer(String name) {
        return replicas.stream().filter(p -> p.id().equals(name)).findFirst().orElse(null);
    }
}
