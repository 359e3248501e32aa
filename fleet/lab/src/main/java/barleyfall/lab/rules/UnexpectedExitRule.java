package barleyfall.lab.rules;

import barleyfall.lab.seen.Event;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Rule "running": an edge node exits only when it is told to. Exceeding its memory limit counts as a crash.
 */
final class UnexpectedExitRule {
    private UnexpectedExitRule() { }

    /** Returns the violations of this rule. */
    static List<Violation> check(List<Event> trace) {
        List<Violation> found = new ArrayList<>();
        Map<Integer, Boolean> endExpected = new HashMap<>();
        for (Event event : trace) {
            if (event instanceof Event.ProcessChange change) {
                switch (change.change()) {
                    case "started" -> endExpected.put(change.edge(), false);
                    case "term", "kill" -> endExpected.put(change.edge(), true);
                    case "over-limit" -> found.add(new Violation("running", change.atMs(), 0, change.edge(),
                        change.detail()));
                    case "exit" -> {
                        if (!endExpected.getOrDefault(change.edge(), false)) {
                            found.add(new Violation("running", change.atMs(), 0, change.edge(),
                                "exited unexpectedly: " + change.detail()));
                        }
                    }
                    default -> { }
                }
            }
        }
        return found;
    }
}
