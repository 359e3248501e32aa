package barleyfall.lab.rules;

import barleyfall.lab.seen.Event;
import java.util.ArrayList;
import java.util.List;

/** Rule "departures": no attempt begins once its client has closed the connection. */
final class DepartureRule {
    private static final String RULE = "departures";
    /** How long after a close an attempt may still begin. */
    private static final double NOTICE_MS = 100;

    private DepartureRule() { }

    /** Returns the violations of this rule. */
    static List<Violation> check(TraceIndex index, RuleLimits limits) {
        List<Violation> found = new ArrayList<>();
        index.requests.forEach((id, request) -> {
            for (Event.AttemptReceived attempt : request.attempts) {
                if (request.left != null
                    && attempt.firstByteMs() > request.left.atMs() + NOTICE_MS + limits.slackMs()
                    && !index.wasImpeded(attempt.edge(), request.left.atMs(), attempt.firstByteMs())) {
                    found.add(new Violation(RULE, attempt.atMs(), id, attempt.edge(), String.format(
                        "sent to %s %.0f ms after its client had left", attempt.server(),
                        attempt.firstByteMs() - request.left.atMs())));
                }
            }
        });
        return found;
    }
}
