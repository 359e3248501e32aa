// A part of the decisions, whose events and actions Gateway.java declares.
package willowyoke;

import java.util.ArrayList;
import java.util.List;

/** A request from its arrival until it is answered and none of its attempts is in flight. */
final class ActiveRequest {
    final Gateway.Request arrival;
    final ClassStats requestClass;
    final Customer customer;
    /** Until when it must be answered at all. */
    double deadlineMs;
    /** Until when an answer is within the target latency. */
    double targetMs;
    final long serial;
    final int maxAttempts;
    final List<Attempt> attempts = new ArrayList<>();
    /** It needs no answer any more. */
    boolean finished;
    /** An answer has begun to reach the client. */
    boolean streaming;
    /** Attempts in flight. */
    int inFlight;
    /** It is finished, and no attempt is in flight. */
    boolean ended;
    /** Timers that are set for it. */
    int timerCount;

    ActiveRequest(Gateway.Request arrival, ClassStats requestClass, Customer customer, int maxAttempts,
        double nowMs, long serial) {
        this.arrival = arrival;
        this.requestClass = requestClass;
        this.customer = customer;
        this.serial = serial;
        this.maxAttempts = maxAttempts;
        deadlineMs = nowMs + arrival.timeoutMs();
        targetMs = Math.min(nowMs + requestClass.definition.aimMs(), deadlineMs);
    }
}
