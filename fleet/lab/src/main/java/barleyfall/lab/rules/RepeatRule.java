package barleyfall.lab.rules;

import barleyfall.lab.experiment.Experiment;
import barleyfall.lab.seen.Event;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Rule "repeats": once a request may have run at a flag server, it is sent again only as its request class
 * allows. Also reports requests that no client sent, too many attempts, and attempts after the response.
 */
final class RepeatRule {
    private static final String RULE = "repeats";

    private RepeatRule() { }

    /** Returns the violations of this rule. */
    static List<Violation> check(TraceIndex index, RuleLimits limits) {
        List<Violation> found = new ArrayList<>();
        for (Event.MalformedRequest malformed : index.malformedRequests) {
            found.add(new Violation(RULE, malformed.atMs(), malformed.id(), malformed.edge(),
                malformed.server() + " received a request that no client sent: " + malformed.text()));
        }
        index.requests.forEach((id, request) -> {
            if (!request.sent.isEmpty() && !request.attempts.isEmpty()) {
                checkRequest(id, request, limits, found);
            }
        });
        return found;
    }

    private static void checkRequest(long id, TraceIndex.Request request, RuleLimits limits,
        List<Violation> found) {
        List<Event.AttemptReceived> attempts = new ArrayList<>(request.attempts);
        attempts.sort(Comparator.comparingDouble(Event.AttemptReceived::firstByteMs));
        if (attempts.size() > limits.maxAttempts()) {
            Event.AttemptReceived excess = attempts.get(limits.maxAttempts());
            found.add(new Violation(RULE, excess.atMs(), id, excess.edge(), attempts.size() + " attempts, "
                + limits.maxAttempts() + " are allowed"));
        }
        Experiment.RequestClass requestClass = limits.classes().get(request.sent.get(0).classIndex());
        for (int i = 0; i < attempts.size(); i++) {
            Event.AttemptReceived attempt = attempts.get(i);
            if (request.sent.stream().noneMatch(sent -> sent.edge() == attempt.edge())) {
                found.add(new Violation(RULE, attempt.atMs(), id, attempt.edge(),
                    "sent by an edge node that did not receive the request"));
            }
            request.responses.stream()
                .filter(response -> attempt.firstByteMs() > response.atMs() + limits.slackMs()).findFirst()
                .ifPresent(response -> found.add(new Violation(RULE, attempt.atMs(), id, attempt.edge(),
                    String.format("sent to %s after it was answered at %.3f s", attempt.server(),
                        response.atMs() / 1000))));
            Event.AttemptReceived mayHaveRun = firstThatMayHaveRun(request, attempts.subList(0, i),
                attempt.firstByteMs() - limits.slackMs());
            if (mayHaveRun == null || requestClass.effect().equals("safe")) {
                continue;
            }
            if (requestClass.effect().equals("unsafe")) {
                found.add(new Violation(RULE, attempt.atMs(), id, attempt.edge(), String.format(
                    "sent to %s though it may have run at %s", attempt.server(), mayHaveRun.server())));
            } else if (attempt.firstByteMs() > mayHaveRun.atMs() + requestClass.repeatWindowMs()
                + limits.slackMs()) {
                found.add(new Violation(RULE, attempt.atMs(), id, attempt.edge(), String.format(
                    "sent to %s %.0f ms after it may have run at %s; its key is kept for %.0f ms",
                    attempt.server(), attempt.firstByteMs() - mayHaveRun.atMs(), mayHaveRun.server(),
                    requestClass.repeatWindowMs())));
            }
        }
        if (requestClass.effect().equals("unsafe")) {
            checkRefusals(id, request, attempts, found);
        }
    }

    /** A refusal tells the client that it may safely try again, so the request must not have run. */
    private static void checkRefusals(long id, TraceIndex.Request request,
        List<Event.AttemptReceived> attempts, List<Violation> found) {
        for (Event.ResponseReceived response : request.responses) {
            Event.AttemptReceived mayHaveRun = firstThatMayHaveRun(request, attempts, response.atMs());
            if (response.outcome().equals("refused") && mayHaveRun != null) {
                found.add(new Violation(RULE, response.atMs(), id, response.edge(),
                    "refused as safe to retry though it may have run at " + mayHaveRun.server()));
            }
        }
    }

    /** Returns the first attempt received by the given time that a flag server did not turn away, or null. */
    private static Event.AttemptReceived firstThatMayHaveRun(TraceIndex.Request request,
        List<Event.AttemptReceived> attempts, double byMs) {
        for (Event.AttemptReceived attempt : attempts) {
            Event.AttemptEnded end = request.endOf(attempt);
            if (attempt.atMs() <= byMs && !(end != null && end.outcome().equals("busy"))) {
                return attempt;
            }
        }
        return null;
    }
}
