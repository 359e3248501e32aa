package barleyfall.catalog.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/**
 * The most recent changes, one per version and without gaps, from which watches resume. Older changes are
 * compacted away. Not thread-safe.
 */
final class ChangeLog {
    private final int maxChanges;
    private final ArrayDeque<Change> changes = new ArrayDeque<>();
    private long oldestSeq;

    /** Creates an empty log that keeps at most {@code maxChanges} changes. */
    ChangeLog(int maxChanges) {
        this.maxChanges = maxChanges;
    }

    /** Drops all changes and continues after version {@code seq}. */
    void reset(long seq) {
        changes.clear();
        oldestSeq = seq;
    }

    /** Appends the change of the next version, and drops the oldest one if the log is full. */
    void add(Change change) {
        changes.add(change);
        if (changes.size() > maxChanges) {
            oldestSeq = changes.poll().seq();
        }
    }

    /** The oldest version from which a watch can resume. */
    long oldestSeq() {
        return oldestSeq;
    }

    /** All changes that are kept, oldest first. */
    List<Change> all() {
        return List.copyOf(changes);
    }

    /** At most {@code limit} changes after version {@code since}, which must be kept; oldest first. */
    List<Change> after(long since, int limit) {
        List<Change> after = new ArrayList<>();
        int skipped = (int) Math.min(changes.size(), Math.max(0, since - oldestSeq));
        if (skipped * 2L < changes.size()) {
            Iterator<Change> iterator = changes.iterator();
            for (int i = 0; i < skipped; i++) {
                iterator.next();
            }
            while (iterator.hasNext() && after.size() < limit) {
                after.add(iterator.next());
            }
        } else { // iterates from the newest change, because most watches are close to it
            Iterator<Change> iterator = changes.descendingIterator();
            while (iterator.hasNext() && after.size() < changes.size() - skipped) {
                after.add(iterator.next());
            }
            java.util.Collections.reverse(after);
            after = after.size() > limit ? new ArrayList<>(after.subList(0, limit)) : after;
        }
        return after;
    }
}
