package barleyfall.lab.rules;

import barleyfall.lab.seen.Event;
import java.util.ArrayList;
import java.util.List;

/** Rule "made": every value that is served to a client was produced by a flag server for this request. */
final class FabricatedAnswerRule {
    private FabricatedAnswerRule() { }

    /** Returns the violations of this rule. */
    static List<Violation> check(TraceIndex index) {
        List<Violation> found = new ArrayList<>();
        index.requests.forEach((id, request) -> {
            for (Event.ResponseReceived response : request.responses) {
                if (response.outcome().equals("served") && request.attemptEnds.stream().noneMatch(
                    end -> end.outcome().equals("served") && end.value().equals(response.value())
                        && end.atMs() <= response.atMs())) {
                    found.add(new Violation("made", response.atMs(), id, response.edge(),
                        "served with '" + response.value() + "', which no flag server produced for it"));
                }
            }
        });
        return found;
    }
}
