package willowyoke.net;

import willowyoke.Gateway;

/**
 * When a node that is told to end does what, in ms after that. It may be killed after the longest deadline of
 * the settings, or a bound on that, and a grace.
 *
 * @param keepConnectionsMs until when clients' connections are kept, as new ones arrive for a while; from
 *     then on each ends with its next answer
 * @param refuseMs from when on further requests are refused, no connection is accepted, and idle ones are
 *     ended
 * @param answerMs until when each open request has its answer
 * @param endMs when each connection ends, whatever has been read on it in part
 */
record DrainSchedule(double keepConnectionsMs, double refuseMs, double answerMs, double endMs) {
    private static final double MAX_DEADLINE_MS = 3000;
    private static final double KILL_GRACE_MS = 700;
    private static final double KEEP_CONNECTIONS_MS = 450;
    private static final double REFUSE_MS = 600;
    /** A node may be held up for 0.15 s at any time, twice here: before an answer, and before an end. */
    private static final double ANSWER_BEFORE_KILL_MS = 350;
    private static final double END_BEFORE_KILL_MS = 200;

    /** Returns the schedule for a node with these settings. */
    static DrainSchedule of(Gateway.Settings settings) {
        double longestMs = settings.classes().stream()
            .mapToDouble(Gateway.RequestClass::deadlineMs).max().orElse(MAX_DEADLINE_MS);
        double killMs = Math.min(longestMs, MAX_DEADLINE_MS) + KILL_GRACE_MS;
        double answerMs = killMs - ANSWER_BEFORE_KILL_MS;
        return new DrainSchedule(Math.min(KEEP_CONNECTIONS_MS, answerMs), Math.min(REFUSE_MS, answerMs),
            answerMs, killMs - END_BEFORE_KILL_MS);
    }
}
