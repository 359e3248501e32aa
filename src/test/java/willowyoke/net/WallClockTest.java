package willowyoke.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Times of the wall clock are converted by what that clock showed when they were read from it. */
class WallClockTest {
    private static final double HOUR_MS = 3_600_000;

    private double nodeMs = 1e12;
    private double stepMs;
    private final WallClock clock = new WallClock(() -> Math.round(nodeMs + stepMs), () -> nodeMs,
        () -> { });

    /** Lets time pass, with the wall clock looked at every 250 ms as the node does it. */
    private void pass(double ms) {
        for (double endMs = nodeMs + ms; nodeMs < endMs;) {
            nodeMs = Math.min(endMs, nodeMs + 250);
            clock.sample();
        }
    }

    private double ageMs(double unixMs) {
        return nodeMs - clock.toNodeMs(unixMs);
    }

    @Test void timesBeforeAndAfterAStepKeepTheirAge() {
        for (double step : new double[] {-HOUR_MS, HOUR_MS, 4000, -4000}) {
            pass(60_000);
            double before = nodeMs + stepMs - 30_000;
            stepMs += step;
            pass(10_000);
            assertEquals(40_000, ageMs(before), 300, "read before a step of " + step);
            assertEquals(2000, ageMs(nodeMs + stepMs - 2000), 300, "read after it");
        }
    }

    @Test void timeOfTheFutureIsNow() {
        assertEquals(0, ageMs(nodeMs + 60_000), 1);
    }

    @Test void driftIsNoStep() {
        for (int i = 0; i < 100; i++) {
            stepMs += 2;
            pass(250);
        }
        assertEquals(5000, ageMs(nodeMs + stepMs - 5000), 251);
    }
}
