package barleyfall.lab.rules;

import barleyfall.lab.seen.Event;
import java.util.ArrayList;
import java.util.List;

/** Rule "deadlines": the time that an attempt tells its flag server is at most what its client has left. */
final class DeadlineRule {
    private static final String RULE = "deadlines";
    private static final double DEADLINE_SLACK_MS = 150;

    private DeadlineRule() { }

    /** Returns the violations of this rule. */
    static List<Violation> check(TraceIndex index, RuleLimits limits) {
        List<Violation> found = new ArrayList<>();
        index.requests.forEach((id, request) -> {
            if (request.sent.isEmpty()) {
                return; // RepeatRule reports attempts of requests that no client sent
            }
            Event.RequestSent sent = request.sent.get(request.sent.size() - 1);
            double latestMs = sent.atMs() + sent.timeLeftMs() + DEADLINE_SLACK_MS + limits.slackMs();
            for (Event.AttemptReceived attempt : request.attempts) {
                if (attempt.firstByteMs() + attempt.timeLeftMs() > latestMs
                    && !index.wasImpeded(attempt.edge(), sent.atMs(), attempt.firstByteMs())) {
                    found.add(new Violation(RULE, attempt.atMs(), id, attempt.edge(), String.format(
                        "told %s to take %.0f ms, %.0f ms more than the client had left", attempt.server(),
                        attempt.timeLeftMs(), attempt.firstByteMs() + attempt.timeLeftMs() - sent.atMs()
                            - sent.timeLeftMs())));
                }
            }
        });
        return found;
    }
}
