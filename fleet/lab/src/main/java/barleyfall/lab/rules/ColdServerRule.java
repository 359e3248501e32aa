package barleyfall.lab.rules;

import barleyfall.lab.seen.Event;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Rule "cold": no cold flag server is overloaded by edge nodes that knew of its start. It is a violation if
 * at least {@link RuleLimits#knowingWorkFraction} of the work came from such edge nodes.
 */
final class ColdServerRule {
    private ColdServerRule() { }

    /** Returns the violations of this rule. */
    static List<Violation> check(List<Event> trace, RuleLimits limits) {
        List<Violation> found = new ArrayList<>();
        Map<String, Double> startedAtMs = new HashMap<>();
        Map<String, Double> knownBirthMs = new HashMap<>();
        Map<String, List<Event.AttemptReceived>> attempts = new HashMap<>();
        for (Event event : trace) {
            if (event instanceof Event.ServerStarted started) {
                startedAtMs.put(started.server(), started.atMs());
                attempts.put(started.server(), new ArrayList<>());
            } else if (event instanceof Event.DiscoveryUpdate update && update.health().equals("active")) {
                knownBirthMs.put(update.edge() + " " + update.server(), update.bornAtMs());
            } else if (event instanceof Event.AttemptReceived attempt) {
                attempts.computeIfAbsent(attempt.server(), name -> new ArrayList<>()).add(attempt);
            } else if (event instanceof Event.ServerOverloaded overload) {
                checkOverload(overload, startedAtMs.getOrDefault(overload.server(), 0.0), knownBirthMs,
                    attempts.getOrDefault(overload.server(), List.of()), limits, found);
            }
        }
        return found;
    }

    private static void checkOverload(Event.ServerOverloaded overload, double startedAtMs,
        Map<String, Double> knownBirthMs, List<Event.AttemptReceived> attempts, RuleLimits limits,
        List<Violation> found) {
        double totalWorkMs = 0;
        double knowingWorkMs = 0;
        Event.AttemptReceived lastKnowing = null;
        for (Event.AttemptReceived attempt : attempts) {
            if (attempt.atMs() < overload.atMs() - overload.windowMs()) {
                continue;
            }
            totalWorkMs += attempt.workMs();
            // the edge node knew of this start if the birth time in its list matches
            Double toldBirthMs = knownBirthMs.get(attempt.edge() + " " + attempt.server());
            if (toldBirthMs != null && Math.abs(toldBirthMs - startedAtMs) < limits.slackMs()) {
                knowingWorkMs += attempt.workMs();
                lastKnowing = attempt;
            }
        }
        if (lastKnowing != null && knowingWorkMs >= limits.knowingWorkFraction() * totalWorkMs) {
            found.add(new Violation("cold", overload.atMs(), lastKnowing.id(), lastKnowing.edge(),
                String.format("%s was overloaded %.1f s after its start: got %.0f ms of work in %.1f s with"
                    + " a capacity of %.0f, %.0f%% of it from edge nodes that knew of the start",
                    overload.server(), (overload.atMs() - startedAtMs) / 1000, overload.sentWorkMs(),
                    overload.windowMs() / 1000, overload.capacityWorkMs(),
                    100 * knowingWorkMs / totalWorkMs)));
        }
    }
}
