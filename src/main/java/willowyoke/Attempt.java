// A part of the decisions, whose events and actions Gateway.java declares.
package willowyoke;

/** One send of a request to a server; the outcome is null while it is in flight. */
final class Attempt {
    final ActiveRequest request;
    final TrackedServer server;
    final double sentMs;
    Gateway.Outcome outcome;
    /** A streamed answer has begun: from then on the attempt no longer counts as load of the server. */
    boolean answerStarted;

    Attempt(ActiveRequest request, TrackedServer server, double sentMs) {
        this.request = request;
        this.server = server;
        this.sentMs = sentMs;
    }

    boolean mayHaveRun() {
        return outcome == null || !outcome.neverRan;
    }
}
