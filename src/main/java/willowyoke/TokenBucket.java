// A part of the decisions, whose events and actions Gateway.java declares.
package willowyoke;

/** A token bucket whose capacity is rounded down to whole units; the caller takes tokens from it. */
final class TokenBucket {
    double tokens;
    double refilledMs;

    /** Adds what the rate filled since the last time, and returns the tokens. */
    double refill(double nowMs, double ratePerSecond, double capacity) {
        tokens = Math.min(Math.floor(capacity), tokens + (nowMs - refilledMs) / 1000 * ratePerSecond);
        refilledMs = nowMs;
        return tokens;
    }
}
