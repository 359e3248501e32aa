package barleyfall.lab.rules;

import barleyfall.lab.experiment.Experiment;
import barleyfall.lab.seen.Event;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Rule "ceilings": all edge nodes together keep each customer under the hard ceiling of its plan. The check
 * holds a token bucket per customer, which fills at the ceiling's rate. The first attempt of each request
 * takes the units of the request, and the level may fall below zero by no more than the slack.
 */
final class CeilingRule {
    /** What is left of a customer's ceiling. */
    private static final class TokenBucket {
        double levelUnits;
        double updatedAtMs;
        /** Set while the level is below the minimum, so that each time it falls below is reported once. */
        boolean violated;
    }

    private CeilingRule() { }

    /** Returns the violations of this rule. */
    static List<Violation> check(TraceIndex index, List<Event> trace, RuleLimits limits) {
        List<Violation> found = new ArrayList<>();
        Map<Long, TokenBucket> buckets = new HashMap<>();
        Set<Long> charged = new HashSet<>();
        for (Event event : trace) {
            if (!(event instanceof Event.AttemptReceived attempt)) {
                continue;
            }
            List<Event.RequestSent> sent = index.requests.get(attempt.id()).sent;
            if (sent.isEmpty() || !charged.add(attempt.id())) {
                continue;
            }
            Event.RequestSent request = sent.get(0);
            Experiment.Plan plan = limits.plans().get(request.planIndex());
            if (plan.ceilingUnitsPerSecond() > 0) {
                charge(attempt, request, plan, buckets, limits, found);
            }
        }
        return found;
    }

    private static void charge(Event.AttemptReceived attempt, Event.RequestSent request, Experiment.Plan plan,
        Map<Long, TokenBucket> buckets, RuleLimits limits, List<Violation> found) {
        TokenBucket bucket = buckets.computeIfAbsent(request.customer(), customer -> {
            TokenBucket filled = new TokenBucket();
            filled.levelUnits = plan.ceilingBurstUnits();
            filled.updatedAtMs = attempt.atMs();
            return filled;
        });
        bucket.levelUnits = Math.min(plan.ceilingBurstUnits(), bucket.levelUnits
            + (attempt.atMs() - bucket.updatedAtMs) * plan.ceilingUnitsPerSecond() / 1000);
        bucket.updatedAtMs = attempt.atMs();
        bucket.levelUnits -= request.units();
        double minLevelUnits = -plan.ceilingSlackUnits(limits.maxUnits())
            - plan.ceilingUnitsPerSecond() * limits.ceilingSpanMs() / 1000;
        if (bucket.levelUnits < minLevelUnits && !bucket.violated) {
            bucket.violated = true;
            found.add(new Violation("ceilings", attempt.atMs(), attempt.id(), attempt.edge(), String.format(
                "customer %016x of plan %s is at %.1f units, the minimum is %.1f", request.customer(),
                plan.name(), bucket.levelUnits, minLevelUnits)));
        } else if (bucket.levelUnits >= 0) {
            bucket.violated = false;
        }
    }
}
