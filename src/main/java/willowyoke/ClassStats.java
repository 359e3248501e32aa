// A part of the decisions, whose events and actions Gateway.java declares.
package willowyoke;

/** A class of requests and the mean latency of its answers. */
final class ClassStats {
    final Gateway.RequestClass definition;
    double meanLatencyMs;
    /** Until when requests of this class are taken. */
    double servedUntilMs = Double.MAX_VALUE;

    ClassStats(Gateway.RequestClass definition) {
        this.definition = definition;
        // until measured: a target latency leaves room for a queue, a retry and the network
        meanLatencyMs = definition.aimMs() / 8;
    }
}
