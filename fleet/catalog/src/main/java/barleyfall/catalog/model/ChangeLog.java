package barleyfall.catalog.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/** The last changes, one a version without a gap; older ones are compacted away. Not safe for threads. */
final class ChangeLog {
    private final int most;
    private final ArrayDeque<Change> changes = new ArrayDeque<>();
    private long floor;

    /** Most: changes held. */
    ChangeLog(int most) {
        this.most = most;
    }

    /** Begins anew behind a version: what came before it is held no more. */
    void reset(long seq) {
        changes.clear();
        floor = seq;
    }

    void add(Change change) {
        changes.add(change);
        if (changes.size() > most) {
            floor = changes.poll().seq();
        }
    }

    /** The oldest version that a watch can resume from. */
    long floor() {
        return floor;
    }

    List<Change> all() {
        return List.copyOf(changes);
    }

    /** What came after a version that is held, oldest first, so many at most. */
    List<Change> after(long since, int limit) {
        List<Change> after = new ArrayList<>();
        int skip = (int) Math.min(changes.size(), Math.max(0, since - floor));
        if (skip * 2L < changes.size()) {
            Iterator<Change> it = changes.iterator();
            for (int i = 0; i < skip; i++) {
                it.next();
            }
            while (it.hasNext() && after.size() < limit) {
                after.add(it.next());
            }
        } else { // from the end, as most watches are near it
            Iterator<Change> it = changes.descendingIterator();
            while (it.hasNext() && after.size() < changes.size() - skip) {
                after.add(it.next());
            }
            java.util.Collections.reverse(after);
            after = after.size() > limit ? new ArrayList<>(after.subList(0, limit)) : after;
        }
        return after;
    }
}
