package barleyfall.lab.net;

import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.EventExecutorGroup;
import io.netty.util.concurrent.FastThreadLocal;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Measures how late the event loops of the stand-ins run. If they are slower than the edge node under test,
 * the lab measures itself. Each loop runs a check every 10 ms; its delay is recorded in microseconds.
 */
public final class EventLoopLag {
    private static final long CHECK_INTERVAL_NANOS = 10_000_000L;
    private static final long MAX_LAG_MICROS = 60_000_000L;

    private static final double NANOS_PER_MS = 1e6;
    /** When the last check on this thread's loop was due; null on a thread that is no watched loop. */
    private static final FastThreadLocal<Long> LAST_CHECK_DUE_NANOS = new FastThreadLocal<>();

    private final Histogram lagMicros = new ConcurrentHistogram(MAX_LAG_MICROS, 3);
    private volatile boolean recording;

    /** Starts to check all loops of a group; delays are recorded only while {@link #setRecording} says so. */
    public void watch(EventExecutorGroup loops) {
        for (EventExecutor loop : loops) {
            loop.execute(() -> {
                long nowNanos = System.nanoTime();
                LAST_CHECK_DUE_NANOS.set(nowNanos);
                scheduleCheck(loop, nowNanos + CHECK_INTERVAL_NANOS);
            });
        }
    }

    /**
     * Returns how late the loop of the calling thread may be, in ms: what it reads now may have come so much
     * earlier. 0 on a thread that is no watched loop.
     */
    static double possibleDelayMs() {
        Long lastDueNanos = LAST_CHECK_DUE_NANOS.getIfExists();
        return lastDueNanos == null ? 0
            : Math.max(0, (System.nanoTime() - lastDueNanos - CHECK_INTERVAL_NANOS) / NANOS_PER_MS);
    }

    /** Schedules the next check of a loop. */
    private void scheduleCheck(EventExecutor loop, long dueNanos) {
        loop.schedule(() -> {
            long nowNanos = System.nanoTime();
            LAST_CHECK_DUE_NANOS.set(dueNanos);
            if (recording) {
                lagMicros.recordValue(Math.max(0, Math.min(MAX_LAG_MICROS, (nowNanos - dueNanos) / 1000)));
            }
            if (!loop.isShuttingDown()) {
                scheduleCheck(loop, nowNanos + CHECK_INTERVAL_NANOS);
            }
        }, Math.max(0, dueNanos - System.nanoTime()), TimeUnit.NANOSECONDS);
    }

    /** Starts or stops recording. */
    public void setRecording(boolean enabled) {
        recording = enabled;
    }

    /** Returns a percentile of the delays, in ms. */
    public double lagMs(double percentile) {
        return lagMicros.getValueAtPercentile(percentile) / 1000.0;
    }
}
