package barleyfall.lab.rules;

import barleyfall.lab.seen.Event;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Rule "drains": an edge node sends nothing new to a flag server later than 1 s after it was told that the
 * server is draining, gone or detached.
 */
final class DrainRule {
    private DrainRule() { }

    /** Returns the violations of this rule. */
    static List<Violation> check(List<Event> trace, RuleLimits limits) {
        List<Violation> found = new ArrayList<>();
        Map<String, Event.DiscoveryUpdate> notActive = new HashMap<>();
        for (Event event : trace) {
            if (event instanceof Event.ProcessChange change && change.change().equals("started")) {
                // a new process has been told nothing yet
                notActive.keySet().removeIf(key -> key.startsWith(change.edge() + " "));
            } else if (event instanceof Event.DiscoveryUpdate update) {
                String key = update.edge() + " " + update.server();
                if (update.health().equals("active")) {
                    notActive.remove(key);
                } else {
                    notActive.putIfAbsent(key, update);
                }
            } else if (event instanceof Event.AttemptReceived attempt) {
                Event.DiscoveryUpdate update = notActive.get(attempt.edge() + " " + attempt.server());
                if (update != null
                    && attempt.firstByteMs() > update.atMs() + limits.drainGraceMs() + limits.slackMs()) {
                    found.add(new Violation("drains", attempt.atMs(), attempt.id(), attempt.edge(),
                        String.format("sent to %s %.0f ms after being told that it is %s", attempt.server(),
                        attempt.firstByteMs() - update.atMs(), update.health())));
                }
            }
        }
        return found;
    }
}
