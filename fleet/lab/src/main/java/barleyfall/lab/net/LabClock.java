package barleyfall.lab.net;

/**
 * The clock of a run: ms since the start of the load, monotonic, with a resolution of a microsecond. Until
 * the start of the load is set, the clock assumes that it is an hour ahead; the clock therefore only ever
 * jumps forward, as the models of the stand-ins cannot go back in time.
 */
public final class LabClock {
    private static final double NANOS_PER_MS = 1e6;
    private static final long INITIAL_LEAD_MS = 3_600_000;
    private volatile long startNanos = System.nanoTime() + (long) (INITIAL_LEAD_MS * NANOS_PER_MS);
    private volatile long startUnixMs = System.currentTimeMillis() + INITIAL_LEAD_MS;

    /** Sets the start of the load. */
    public void startLoadIn(double delayMs) {
        startNanos = System.nanoTime() + (long) (delayMs * NANOS_PER_MS);
        startUnixMs = System.currentTimeMillis() + (long) delayMs;
    }

    /** Returns the time since the start of the load, in ms; negative before it. */
    public double nowMs() {
        return (System.nanoTime() - startNanos) / NANOS_PER_MS;
    }

    /** Converts a time of the run to Unix time in ms, in which birth times of servers are announced. */
    public long toUnixMs(double atMs) {
        return startUnixMs + Math.round(atMs);
    }

    /** Returns the nanoseconds from now until a time of the run, 0 if it has passed. */
    public long nanosUntil(double atMs) {
        return Math.max(0, (long) ((atMs - nowMs()) * NANOS_PER_MS));
    }
}
