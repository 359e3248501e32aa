package barleyfall.lab.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The model of a flag server's cores, on a clock of the test's own. */
class ProcessorTest {
    private final List<String> done = new ArrayList<>();

    private Processor<String> processor(int cores, int slots, int room) {
        return new Processor<>(cores, slots, room, t -> 1, 0);
    }

    @Test void twoJobsOnOneCoreTakeTwiceAsLongEach() {
        Processor<String> p = processor(1, 4, 4);
        p.add("a", 10);
        p.add("b", 10);
        p.advance(19.9, done);
        assertEquals(List.of(), done);
        p.advance(20.1, done);
        assertEquals(List.of("a", "b"), done);
    }

    @Test void aJobUsesOneCoreAtMost() {
        Processor<String> p = processor(4, 4, 4);
        p.add("a", 10);
        assertEquals(10, p.untilNext(), 1e-9);
    }

    @Test void whatFindsNoSlotWaitsAndWhatFindsNoRoomIsTurnedAway() {
        Processor<String> p = processor(1, 1, 1);
        assertTrue(p.add("a", 10));
        assertTrue(p.add("b", 10));
        assertFalse(p.add("c", 10));
        assertTrue(p.withdraw("b"));
        assertFalse(p.withdraw("a")); // it runs on
        p.advance(30, done);
        assertEquals(List.of("a"), done);
    }

    @Test void overheadGoesFirstAndCountsAsBusy() {
        Processor<String> p = processor(1, 4, 4);
        p.addOverhead(5);
        p.add("a", 10);
        p.advance(14.9, done);
        assertEquals(List.of(), done);
        p.advance(20, done);
        assertEquals(List.of("a"), done);
        assertEquals(15, p.takeBusy(), 0.2);
    }
}
