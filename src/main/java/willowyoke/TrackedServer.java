// A part of the decisions, whose events and actions Gateway.java declares.
package willowyoke;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;

/** A flag server: how it was last listed, its health, its load and its slow start. */
final class TrackedServer {
    final String id;
    /** The server as last listed, null where it was detached before a list named it. */
    Gateway.Server descriptor;
    boolean listed;
    /** Listed, and neither draining nor gone. */
    boolean up;
    /** Taken out of use by an operator. */
    boolean detached;
    double detachedSinceMs;
    /** Attempts in flight, the oldest first. */
    final LinkedHashSet<Attempt> inFlight = new LinkedHashSet<>();
    /** Latency over the mean of the class (EWMA). */
    double slowness = 1;
    double slownessUpdatedMs;
    /** AIMD limit on the attempts in flight; at first about two for each core of a small machine. */
    double concurrencyLimit = 4;
    double lastSentMs;
    /** Weighted failures since the last success. */
    double failureScore;
    double ejectedUntilMs;
    /** How often the next ejection doubles BASE_EJECTION_MS. */
    double ejectionDoublings;
    /** Half-open after an ejection: one attempt at a time, and one failure ejects it again. */
    boolean halfOpen;
    /** No connection could be made since its last success. */
    boolean unreachable;
    double coldSinceMs = Double.NEGATIVE_INFINITY;
    /** Token bucket of sends while it is cold. */
    double coldTokens;
    double coldTokensRefilledMs;
    /** Its share of what this gateway sends; 0 for a server of the reserve. */
    double subsetShare;
    /** Position in the weighted fair order: the server with the least virtual time is next. */
    double virtualTime;
    /** Until when a server of the reserve is in use. */
    double reserveUseUntilMs;
    /** Its place in this gateway's order of the reserve: the highest is taken first. */
    final long rank;
    /** By class: the fraction of attempts that fail (EWMA), and when that was updated (ms). */
    final Map<String, double[]> classFailures = new HashMap<>();

    TrackedServer(String id, int gateway) {
        this.id = id;
        rank = Subset.rank(gateway, Subset.key(id));
    }
}
