package barleyfall.lab.history;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** The checker believes what one register can have told, and nothing else. */
class LinearTest {
    private static final long NEVER = Long.MAX_VALUE;

    private static Operation write(long asked, long told, Long expected, int value, long version) {
        return new Operation(0, "k", asked, told, true, expected, value, true, version);
    }

    private static Operation refused(long asked, long told, long expected, long version) {
        return new Operation(1, "k", asked, told, true, expected, 99, false, version);
    }

    private static Operation read(long asked, long told, int value, long version) {
        return new Operation(2, "k", asked, told, false, null, value, true, version);
    }

    private static void good(Operation... all) {
        assertEquals(List.of(), Linear.check(List.of(all)));
    }

    private static void broken(Operation... all) {
        assertFalse(Linear.check(List.of(all)).isEmpty());
    }

    @Test void oneAfterTheOther() {
        good(read(0, 1, 0, 0), write(2, 3, 0L, 1, 10), read(4, 5, 1, 10), write(6, 7, 10L, 2, 12),
            refused(8, 9, 10, 12), read(10, 11, 2, 12));
    }

    @Test void anOldValueAfterANewOneIsBroken() {
        broken(write(0, 1, null, 1, 10), write(2, 3, null, 2, 11), read(4, 5, 1, 10));
    }

    @Test void aWriteThatWasTakenAndIsGoneIsBroken() {
        broken(write(0, 1, null, 1, 10), read(2, 3, 0, 0));
    }

    @Test void twoThatBothReplacedOneVersionAreBroken() {
        broken(write(0, 1, null, 1, 10), write(2, 5, 10L, 2, 11), write(3, 6, 10L, 3, 12));
    }

    @Test void aVersionThatWasGivenTwiceIsBroken() {
        broken(write(0, 1, null, 1, 10), write(2, 3, null, 2, 10));
    }

    @Test void aRefusalWithoutCauseIsBroken() {
        broken(write(0, 1, null, 1, 10), refused(2, 3, 10, 10));
    }

    @Test void whatIsAtOnceMayBeInEitherOrder() {
        good(write(0, 10, null, 1, 10), write(0, 10, null, 2, 9), read(11, 12, 1, 10));
        good(write(0, 10, null, 1, 10), read(1, 3, 0, 0), read(4, 6, 1, 10));
        broken(write(0, 10, null, 1, 10), read(1, 3, 1, 10), read(4, 6, 0, 0));
    }

    @Test void aWriteThatWasNotAnsweredIsWholeOrNotAtAll() {
        Operation unknown = new Operation(0, "k", 2, NEVER, true, 10L, 7, true, 0);
        Operation first = write(0, 1, null, 1, 10);
        good(first, unknown, read(4, 5, 1, 10));
        good(first, unknown, read(4, 5, 7, 13));
        good(first, unknown, read(4, 5, 1, 10), read(6, 7, 7, 13));
        broken(first, unknown, read(4, 5, 7, 13), read(6, 7, 1, 10));
        broken(first, write(2, 3, 10L, 2, 11), new Operation(0, "k", 4, NEVER, true, 10L, 7, true, 0),
            read(6, 7, 7, 13));
        broken(read(0, 1, 7, 3), new Operation(0, "k", 2, NEVER, true, null, 7, true, 0));
    }

    /** Histories of a real register are all believed; with one answer changed most are not. */
    @Test void whatARegisterToldIsBelievedAndWhatWasChangedIsNot() {
        int caught = 0;
        for (int seed = 0; seed < 50; seed++) {
            List<Operation> all = drawn(new SplittableRandom(seed));
            assertEquals(List.of(), Linear.check(all), "seed " + seed);
            int at = all.size() / 2;
            Operation o = all.get(at);
            all.set(at, new Operation(o.client(), o.key(), o.asked(), o.told(), false, null, 12_345, true,
                o.version()));
            caught += Linear.check(all).isEmpty() ? 0 : 1;
        }
        assertEquals(50, caught);
    }

    /** A register under three clients, whose questions and answers overlap what happens. */
    private static List<Operation> drawn(SplittableRandom random) {
        List<Operation> all = new ArrayList<>();
        long version = 0;
        int value = 0;
        for (int i = 1; i <= 60; i++) {
            long at = i * 10L;
            long asked = at - random.nextInt(25);
            long told = at + random.nextInt(25);
            if (random.nextBoolean()) {
                Long expected = random.nextBoolean() ? null : random.nextInt(4) == 0 ? version + 100
                    : version;
                boolean done = expected == null || expected == version;
                version = done ? version + 1 + random.nextInt(3) : version;
                value = done ? i : value;
                all.add(new Operation(i % 3, "k", asked, done && random.nextInt(8) == 0 ? NEVER : told, true,
                    expected, i, done, version));
            } else {
                all.add(new Operation(i % 3, "k", asked, told, false, null, value, true, version));
            }
        }
        return all;
    }
}
