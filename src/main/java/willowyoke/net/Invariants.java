package willowyoke.net;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Conditions that hold in a correct node at any time. A violation is counted and logged, and has no other
 * effect: no client notices it. May be used from any thread, as the thread is one of the conditions.
 */
final class Invariants {
    /** The conditions; the metric of each is labelled with its name in lower case. */
    enum Invariant {
        /** State of the node is used on its event loop only. */
        EVENT_LOOP,
        /** A request gets one final answer. */
        SINGLE_ANSWER,
        /** This node ends no client's connection over a command that has been read, be it in part. */
        ANSWERED_BEFORE_CLOSE,
        /** Nothing is sent for a request that has its answer, or whose client or time has gone. */
        OPEN_WHEN_SENT,
        /** A request that may have run is sent again only as its class allows. */
        ALLOWED_REPEAT,
        /** What is written is flushed by the end of the event. */
        FLUSHED_OUTPUT,
        /** Each connect under way and each open connection is counted once. */
        CONNECTION_COUNT,
        /** The requests in flight are those that have no final answer. */
        OPEN_REQUESTS,
        /** The memory in use is the sum of what the connections hold, and nothing when all are closed. */
        MEMORY_ACCOUNTS,
        /** A node that ends has answered what it has accepted. */
        NOTHING_OWED
    }

    /** Violations beyond this number are counted only. */
    private static final long MAX_LOGGED_VIOLATIONS = 20;

    private final AtomicLongArray violations = new AtomicLongArray(Invariant.values().length);
    private final BooleanSupplier inEventLoop;

    /** Takes what tells whether the current thread is the event loop. */
    Invariants(BooleanSupplier inEventLoop) {
        this.inEventLoop = inEventLoop;
    }

    /** Checks a condition; the detail is evaluated only where it is violated. */
    void check(Invariant invariant, boolean holds, Supplier<String> detail) {
        if (!holds && violations.incrementAndGet(invariant.ordinal()) <= MAX_LOGGED_VIOLATIONS) {
            System.err.println("invariant " + name(invariant) + " violated: " + detail.get());
        }
    }

    /** Checks that the current thread is the event loop. */
    void checkEventLoop(String operation) {
        check(Invariant.EVENT_LOOP, inEventLoop.getAsBoolean(),
            () -> operation + " on " + Thread.currentThread().getName());
    }

    /** Returns how often each invariant was violated since the start, by its name in the metrics. */
    Map<String, Long> violationCounts() {
        Map<String, Long> counts = new LinkedHashMap<>();
        for (Invariant invariant : Invariant.values()) {
            counts.put(name(invariant), violations.get(invariant.ordinal()));
        }
        return counts;
    }

    private static String name(Invariant invariant) {
        return invariant.name().toLowerCase(Locale.ROOT);
    }
}
