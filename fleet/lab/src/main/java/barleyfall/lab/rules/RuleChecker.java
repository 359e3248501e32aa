package barleyfall.lab.rules;

import barleyfall.lab.seen.Event;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Checks all rules on the events of one run. */
public final class RuleChecker {
    private RuleChecker() { }

    /** Returns all violations in the order of time; the trace must be in that order too. */
    public static List<Violation> check(List<Event> trace, RuleLimits limits) {
        TraceIndex index = new TraceIndex(trace);
        List<Violation> found = new ArrayList<>();
        found.addAll(SingleAnswerRule.check(index, limits));
        found.addAll(RepeatRule.check(index, limits));
        found.addAll(DrainRule.check(trace, limits));
        found.addAll(ColdServerRule.check(trace, limits));
        found.addAll(CeilingRule.check(index, trace, limits));
        found.addAll(FabricatedAnswerRule.check(index));
        found.addAll(DepartureRule.check(index, limits));
        found.addAll(DeadlineRule.check(index, limits));
        found.addAll(InvariantRule.check(trace));
        found.addAll(UnexpectedExitRule.check(trace));
        found.sort(Comparator.comparingDouble(Violation::at));
        return found;
    }
}
