package willowyoke.net;

import java.util.Locale;

/**
 * Writes a line to standard error for each step of a request, each connection that ends and each decision
 * that answers a client, with the reason. It is off unless the JVM is started with
 * {@code -Dwillowyoke.trace=true}, since it costs a line for each step.
 */
final class RequestTrace {
    /** Whether lines are written. Callers check this before they build a detail. */
    static final boolean ENABLED = Boolean.getBoolean("willowyoke.trace");

    private RequestTrace() { }

    /**
     * Writes a line.
     *
     * @param nowMs the node's clock
     * @param subject a request's id, or what else the step is about
     */
    static void log(double nowMs, String subject, String event, Object detail) {
        if (ENABLED) {
            System.err.println(
                String.format(Locale.ROOT, "trace %.3f %s %s %s", nowMs, subject, event, detail));
        }
    }
}
