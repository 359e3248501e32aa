package willowyoke.net;

import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;

/**
 * Converts times of the wall clock, which may step at any time and in either direction, to the node's own
 * monotonic clock. It notes each step that it sees, so a time that was read from the wall clock before a step
 * is converted as it was meant.
 */
final class WallClock {
    /** A smaller difference between the two clocks is the error of a reading or drift. */
    private static final double STEP_THRESHOLD_MS = 250;
    /** Steps that are kept; the oldest is forgotten first. */
    private static final int MAX_ERAS = 16;

    /** A span of time without a step: what the wall clock shows more than the node's, and when it began. */
    private record Era(double offsetMs, double beginsAtMs) { }

    private final LongSupplier unixMs;
    private final DoubleSupplier nodeMs;
    private final Runnable stepListener;
    /** The eras so far, oldest first. */
    private final List<Era> eras = new ArrayList<>();
    private double lastSampleAtMs;

    /** Takes the wall clock in ms of Unix time, the node's clock in ms, and what is to run after a step. */
    WallClock(LongSupplier unixMs, DoubleSupplier nodeMs, Runnable stepListener) {
        this.stepListener = stepListener;
        this.unixMs = unixMs;
        this.nodeMs = nodeMs;
        lastSampleAtMs = nodeMs.getAsDouble();
        eras.add(new Era(unixMs.getAsLong() - lastSampleAtMs, Double.NEGATIVE_INFINITY));
    }

    /** Compares the clocks; to be called often, as a step counts as made right after the last call. */
    void sample() {
        double nowMs = nodeMs.getAsDouble();
        double offsetMs = unixMs.getAsLong() - nowMs;
        boolean stepped = Math.abs(offsetMs - offsetMs()) > STEP_THRESHOLD_MS;
        if (stepped) {
            eras.add(new Era(offsetMs, lastSampleAtMs));
            if (eras.size() > MAX_ERAS) {
                eras.remove(0);
            }
        }
        lastSampleAtMs = nowMs;
        if (stepped) {
            stepListener.run();
        }
    }

    /** Returns what the wall clock shows more than the node's clock. */
    double offsetMs() {
        return eras.get(eras.size() - 1).offsetMs();
    }

    /**
     * Converts a time of the past. Where it fits before and after a step, the later is taken; one that is
     * still to come, after all, counts as now.
     */
    double toNodeMs(double pastUnixMs) {
        sample();
        double endsAtMs = lastSampleAtMs;
        for (int i = eras.size() - 1; i >= 0; i--) {
            double convertedMs = pastUnixMs - eras.get(i).offsetMs();
            if (convertedMs >= eras.get(i).beginsAtMs() - STEP_THRESHOLD_MS
                && convertedMs <= endsAtMs + STEP_THRESHOLD_MS) {
                return Math.min(convertedMs, lastSampleAtMs);
            }
            endsAtMs = eras.get(i).beginsAtMs();
        }
        return Math.min(pastUnixMs - offsetMs(), lastSampleAtMs);
    }
}
