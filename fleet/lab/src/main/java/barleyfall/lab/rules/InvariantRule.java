package barleyfall.lab.rules;

import barleyfall.lab.seen.Event;
import java.util.ArrayList;
import java.util.List;

/** Rule "invariants": no run-time check of an edge node fails. */
final class InvariantRule {
    private static final String RULE = "invariants";

    private InvariantRule() { }

    /** Returns the violations of this rule. */
    static List<Violation> check(List<Event> trace) {
        List<Violation> found = new ArrayList<>();
        for (Event event : trace) {
            if (event instanceof Event.InvariantViolated violated) {
                found.add(new Violation(RULE, violated.atMs(), 0, violated.edge(), violated.text()));
            }
        }
        return found;
    }
}
