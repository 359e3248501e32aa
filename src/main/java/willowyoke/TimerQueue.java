// A part of the decisions, whose events and actions Gateway.java declares.
package willowyoke;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * The timers of a gateway, the earliest first. Those of a request outlast it, up to the time that its client
 * has given, and do nothing then; when there are many of these, they are removed.
 */
final class TimerQueue {
    /** Timers of ended requests that are kept, so that removing them all costs little for each. */
    static final int MAX_ENDED = 4096;

    /** What a timer does when it is due; RETRY without a request only wakes dispatch. */
    enum Kind { QUOTA_PERIOD, PENDING_EXPIRY, DEADLINE, ATTEMPT_LATE, RETRY, SUBSCRIBE }

    /** A due time with its work; request is null where the timer belongs to none. */
    record Timer(double dueMs, long serial, Kind kind, ActiveRequest request) {
        private boolean isEnded() {
            return request != null && request.ended;
        }
    }

    private final PriorityQueue<Timer> timers = new PriorityQueue<>(
        Comparator.comparingDouble(Timer::dueMs).thenComparingLong(Timer::serial));
    /** How many of them belong to requests that have ended. */
    private int endedCount;

    /** Adds a timer; of two that are due at the same time the one with the lower serial is first. */
    void add(Timer timer) {
        timers.add(timer);
        if (timer.request != null) {
            timer.request.timerCount++;
        }
        endedCount += timer.isEnded() ? 1 : 0;
    }

    /** Removes and returns the earliest timer if it is due, else null. */
    Timer pollDue(double nowMs) {
        if (timers.isEmpty() || timers.peek().dueMs > nowMs) {
            return null;
        }
        Timer timer = timers.poll();
        if (timer.request != null) {
            timer.request.timerCount--;
        }
        endedCount -= timer.isEnded() ? 1 : 0;
        return timer;
    }

    /** When the earliest timer is due. */
    double nextDueMs() {
        return timers.peek().dueMs;
    }

    /** Notes that a request has ended, so that its timers have nothing to do. */
    void requestEnded(ActiveRequest request) {
        request.ended = true;
        endedCount += request.timerCount;
        if (endedCount > MAX_ENDED) {
            timers.removeIf(Timer::isEnded);
            endedCount = 0;
        }
    }

    /** How many timers there are. */
    int size() {
        return timers.size();
    }
}
