package barleyfall.lab.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What watches were told: each change since the version held, once and in order, and all told the same. */
public final class Followed {
    /** A change or, in a whole list, a member; text is all that was said of it. */
    public record Said(long seq, String host, String text) { }

    /** One line of a watch. */
    public record Line(long epoch, long seq, boolean whole, List<Said> said) { }

    private final Map<List<Long>, String> byVersion = new HashMap<>();
    private final List<String> wrong = new ArrayList<>();

    /** Checks what one watcher was told over all of its connections, in the order in which it was. */
    public void add(String watcher, List<Line> lines) {
        long epoch = -1;
        long at = -1;
        for (Line l : lines) {
            if (l.epoch() < epoch || l.epoch() == epoch && l.seq() < at) {
                wrong.add(watcher + " went back from " + epoch + "/" + at + " to " + l.epoch() + "/"
                    + l.seq());
            }
            if (!l.whole() && (at < 0 || l.epoch() != epoch)) {
                wrong.add(watcher + " was told changes of epoch " + l.epoch() + ", and held none of it");
            }
            for (Said s : l.said()) {
                if (!l.whole() && s.seq() != ++at) {
                    wrong.add(watcher + " was told " + s.seq() + " where " + at + " comes next");
                    at = s.seq();
                }
                String known = byVersion.putIfAbsent(List.of(l.epoch(), s.seq()), s.text());
                if (known != null && !known.equals(s.text())) {
                    wrong.add(watcher + " was told of version " + s.seq() + ": " + s.text() + ", another: "
                        + known);
                }
            }
            if (!l.whole() && l.seq() != at) {
                wrong.add(watcher + " was told that it holds " + l.seq() + " and was told up to " + at);
            }
            epoch = l.epoch();
            at = l.seq();
        }
    }

    /** One line for each thing wrong; empty for good watches. */
    public List<String> wrong() {
        return List.copyOf(wrong);
    }
}
