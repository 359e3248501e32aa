package barleyfall.lab.rules;

import barleyfall.lab.seen.Event;
import java.util.ArrayList;
import java.util.List;

/** Rule "answers": an edge node gives exactly one final response to each request that it has accepted. */
final class SingleAnswerRule {
    private static final String RULE = "answers";

    private SingleAnswerRule() { }

    /** Returns the violations of this rule. */
    static List<Violation> check(TraceIndex index, RuleLimits limits) {
        List<Violation> found = new ArrayList<>();
        index.requests.forEach((id, request) -> {
            if (request.sent.isEmpty()) {
                return; // RepeatRule reports attempts of requests that no client sent
            }
            Event.RequestSent lastSent = request.sent.get(request.sent.size() - 1);
            if (request.responses.size() > 1) {
                found.add(new Violation(RULE, request.responses.get(1).atMs(), id, lastSent.edge(),
                    request.responses.size() + " answers"));
            }
            double dueMs = lastSent.atMs() + lastSent.timeLeftMs() + limits.lateAnswerMs();
            if (request.responses.isEmpty() && !request.missing.isEmpty()
                && !index.wasImpeded(lastSent.edge(), lastSent.atMs() - limits.slackMs(),
                    dueMs + limits.slackMs())) {
                Event.ResponseMissing missing = request.missing.get(request.missing.size() - 1);
                found.add(new Violation(RULE, missing.atMs(), id, lastSent.edge(),
                    String.format("no answer to the request sent at %.3f s: %s", lastSent.atMs() / 1000,
                        missing.reason())));
            }
        });
        for (Event.UnexpectedResponse unexpected : index.unexpectedResponses) {
            found.add(new Violation(RULE, unexpected.atMs(), unexpected.id(), unexpected.edge(),
                "an answer without an open request: " + unexpected.text()));
        }
        return found;
    }
}
