package barleyfall.lab.history;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

class FollowedTest {
    private static Followed.Line whole(long epoch, long seq) {
        return new Followed.Line(epoch, seq, true, List.of());
    }

    private static Followed.Line changes(long epoch, long... seqs) {
        return new Followed.Line(epoch, seqs[seqs.length - 1], false, LongStream.of(seqs)
            .mapToObj(s -> new Followed.Said(s, "h", "said of " + s)).toList());
    }

    private static List<String> wrong(Followed.Line... lines) {
        Followed f = new Followed();
        f.add("one", Arrays.asList(lines));
        return f.wrong();
    }

    @Test void eachChangeOnceAndInOrderIsGood() {
        assertEquals(List.of(), wrong(whole(1, 4), changes(1, 5, 6), new Followed.Line(1, 6, false,
            List.of()),
            changes(1, 7), whole(1, 20), changes(1, 21), whole(2, 3), changes(2, 4)));
    }

    @Test void gapsRepeatsAndStepsBackAreFound() {
        assertTrue(wrong(whole(1, 4), changes(1, 6)).get(0).contains("told 6 where 5 comes next"));
        assertEquals(1, wrong(whole(1, 4), changes(1, 5), changes(1, 5, 6)).size());
        assertEquals(1, wrong(whole(1, 4), whole(1, 3)).size());
        assertEquals(1, wrong(whole(2, 4), whole(1, 9)).size());
        assertEquals(1, wrong(whole(1, 4), new Followed.Line(1, 5, false, List.of())).size(), "left out");
        assertTrue(!wrong(changes(1, 1)).isEmpty(), "changes to nothing");
        assertTrue(!wrong(whole(1, 4), changes(2, 5)).isEmpty(), "of another epoch");
    }

    @Test void twoStoriesOfOneVersionAreFound() {
        Followed f = new Followed();
        f.add("one", List.of(whole(1, 4), changes(1, 5)));
        f.add("other", List.of(whole(1, 4), new Followed.Line(1, 5, false,
            List.of(new Followed.Said(5, "h", "otherwise")))));
        assertEquals(1, f.wrong().size(), f.wrong().toString());
    }
}
