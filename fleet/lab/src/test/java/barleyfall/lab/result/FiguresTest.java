package barleyfall.lab.result;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyfall.lab.Experiments;
import barleyfall.lab.plan.Plan;
import barleyfall.lab.rules.RuleChecker;
import barleyfall.lab.rules.RuleLimits;
import barleyfall.lab.rules.Violation;
import barleyfall.lab.seen.Event;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Figures and rules on hand-written traces: ten requests a second, each of a customer of its own, within the
 * quota.
 */
class FiguresTest {
    private static final int READ_CLASS = 0;
    private static final int ONCE_CLASS = 2;
    private static final int OPEN_PLAN = 1;

    private final List<Event> trace = new ArrayList<>();
    private final Plan plan;

    FiguresTest() throws Exception {
        plan = Plan.draw(Experiments.of("edges = 2\nservers = 2", """
            [[fault]]
            name = "gone"
            kind = "kill"
            target = "edge:1"
            at = "1s"
            for = "1s"
            """), 1);
    }

    private void addRequest(long id, double atMs, double servedAtMs) {
        trace.add(new Event.RequestSent(atMs, atMs, id, id, 0, 0, id, OPEN_PLAN, READ_CLASS, 1, 900, null));
        if (servedAtMs >= 0) {
            addAttempt(id, atMs + 1, "s", servedAtMs);
            trace.add(new Event.ResponseReceived(servedAtMs, id, 0, "served", "v" + id, 0));
        }
    }

    private void addAttempt(long id, double atMs, String server, double endedAtMs) {
        trace.add(new Event.AttemptReceived(atMs, atMs, id, 0, server, "a", id, 20, null, 500));
        trace.add(new Event.AttemptEnded(endedAtMs, id, 0, server, id, "served", "v" + id));
    }

    private Figures figures() {
        trace.sort(Comparator.comparingDouble(Event::atMs));
        return new Figures(plan, trace, violations());
    }

    private List<Violation> violations() {
        return RuleChecker.check(trace, RuleLimits.of(plan.experiment()));
    }

    @Test void recoveryLastsFromTheFaultToTheFirstOfTwoGoodSeconds() {
        for (int i = 0; i < 40; i++) {
            double atMs = i * 100;
            // late while the fault lasts
            addRequest(i + 1, atMs, atMs >= 1000 && atMs < 2000 ? atMs + 700 : atMs + 50);
        }
        Figures figures = figures();
        assertEquals(1000, figures.compute("recovery", "gone", 0, 4000));
        // late requests earn nothing in this class
        assertEquals(0.75, figures.compute("service", "", 0, 4000), 1e-9);
        assertEquals(0, figures.compute("service", "", 1000, 2000), 1e-9);
        assertEquals(0, figures.compute("rules-broken", "", 0, 4000));
        assertEquals(1, figures.compute("attempts", "", 0, 4000), 1e-9);
    }

    @Test void serviceThatStaysDownHasNoRecovery() {
        for (int i = 0; i < 40; i++) {
            addRequest(i + 1, i * 100, i < 10 ? i * 100 + 50 : -1);
        }
        assertTrue(Double.isNaN(figures().compute("recovery", "gone", 0, 4000)));
    }

    @Test void nodeKilledByTheLabOwesNoAnswer() {
        trace.add(new Event.ProcessChange(0, 0, "started", ""));
        addRequest(1, 100, -1);
        trace.add(new Event.ProcessChange(300, 0, "kill", ""));
        trace.add(new Event.ResponseMissing(301, 1, 0, "the connection was reset"));
        assertEquals(List.of(), violations());
        trace.removeIf(event -> event instanceof Event.ProcessChange change
            && change.change().equals("kill"));
        assertEquals("answers", violations().get(0).rule());
    }

    @Test void unsafeRequestThatMayHaveRunIsNeitherRepeatedNorRefused() {
        trace.add(new Event.RequestSent(0, 0, 7, 7, 0, 0, 7, OPEN_PLAN, ONCE_CLASS, 1, 900, null));
        addAttempt(7, 10, "s", 800);
        trace.add(new Event.AttemptReceived(200, 200, 7, 0, "t", "a", 9, 20, null, 500));
        trace.add(new Event.ResponseReceived(300, 7, 0, "refused", null, 0));
        trace.sort(Comparator.comparingDouble(Event::atMs));
        assertEquals(List.of("repeats", "repeats"), violations().stream().map(Violation::rule).toList());
        assertEquals(List.of(200.0, 300.0), violations().stream().map(Violation::at).toList());
    }

    @Test void keyedRepeatOutsideItsWindowIsAViolation() {
        trace.add(new Event.RequestSent(0, 0, 7, 7, 0, 0, 7, OPEN_PLAN, 1, 1, 9000, "k"));
        addAttempt(7, 10, "s", 5000);
        trace.add(new Event.AttemptReceived(3900, 3900, 7, 0, "t", "a", 9, 20, "k", 500));
        trace.add(new Event.AttemptReceived(4100, 4100, 7, 0, "u", "a", 10, 20, "k", 500));
        trace.add(new Event.ResponseReceived(5001, 7, 0, "served", "v7", 0));
        trace.sort(Comparator.comparingDouble(Event::atMs));
        List<Violation> violations = violations();
        assertEquals(1, violations.size(), violations.toString());
        assertEquals(4100, violations.get(0).at());
    }
}
