package barleyfall.lab.history;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Whether a history is linearizable: whether each operation can be given one moment between its question and
 * its answer, such that one register a member, changed in that order, gives just these answers. The search is
 * that of Wing and Gong (1993) with Lowe's memory of what was tried (2017); members are apart, so each is
 * searched by itself. Versions must rise.
 */
public final class Linear {
    /** States tried for one member before it is given up (a history that broad says nothing). */
    private static final int MOST = 5_000_000;

    /** A member in the model: at what version, or one not known yet but above that; and what it holds. */
    private record State(long version, boolean known, int value) { }

    private record Tried(BitSet done, State state) { }

    private Linear() { }

    /** One line for each member whose history cannot be explained; empty for a good history. */
    public static List<String> check(List<Operation> history) {
        Map<String, List<Operation>> byKey = new TreeMap<>();
        history.forEach(o -> byKey.computeIfAbsent(o.key(), k -> new ArrayList<>()).add(o));
        List<String> wrong = new ArrayList<>();
        byKey.forEach((key, all) -> {
            Search search = new Search(all);
            if (!search.explains()) {
                wrong.add(key + ": no order explains its " + all.size() + " operations; the longest one that "
                    + "does not fail explains " + search.best.cardinality() + ", then fails at "
                        + search.stuck());
            }
        });
        return wrong;
    }

    /**
     * Without the unanswered writes that no one saw anything of, by value or by version: whoever explains the
     * history with them explains it without, and each of them doubles what there is to try.
     */
    private static List<Operation> seen(List<Operation> all) {
        Set<Integer> read = new HashSet<>();
        Set<Long> versions = new HashSet<>(Set.of(0L));
        all.stream().filter(o -> o.known() && o.write() && o.done()).forEach(o -> versions.add(o.version()));
        all.stream().filter(o -> !o.write()).forEach(o -> read.add(o.value()));
        boolean foreign = all.stream().anyMatch(o -> o.write() && (o.known()
            && !versions.contains(o.version())
            || o.expected() != null && !versions.contains(o.expected())));
        return all.stream().filter(o -> o.known() || foreign || read.contains(o.value())).toList();
    }

    private static final class Search {
        private final List<Operation> all;
        private final BitSet mustBeDone = new BitSet();
        private final Set<Tried> tried = new HashSet<>();
        private BitSet best = new BitSet();

        Search(List<Operation> all) {
            this.all = seen(all).stream().sorted(Comparator.comparingLong(Operation::asked)).toList();
            for (int i = 0; i < this.all.size(); i++) {
                mustBeDone.set(i, this.all.get(i).known());
            }
        }

        /** Depth first over a stack of our own: a history is longer than a thread's stack is deep. */
        boolean explains() {
            List<Tried> stack = new ArrayList<>();
            stack.add(new Tried(new BitSet(), new State(0, true, 0)));
            while (!stack.isEmpty()) {
                Tried now = stack.remove(stack.size() - 1);
                BitSet left = (BitSet) mustBeDone.clone();
                left.andNot(now.done());
                if (left.isEmpty()) {
                    return true;
                }
                if (now.done().cardinality() > best.cardinality()) {
                    best = now.done();
                }
                List<Integer> may = may(now);
                for (int k = may.size() - 1; k >= 0; k--) {
                    BitSet done = (BitSet) now.done().clone();
                    done.set(may.get(k));
                    Tried next = new Tried(done, step(now.state(), all.get(may.get(k))));
                    if (tried.add(next)) {
                        stack.add(next);
                    }
                }
                if (tried.size() > MOST) {
                    throw new IllegalStateException("given up after " + MOST + " states");
                }
            }
            return false;
        }

        /**
         * What may come next, the likeliest first. What only looks at a known state costs no other its place.
         */
        private List<Integer> may(Tried now) {
            List<Integer> may = new ArrayList<>();
            long first = firstTold(now.done());
            for (int i = now.done().nextClearBit(0); i < all.size() && all.get(i).asked() <= first;
                i = now.done().nextClearBit(i + 1)) {
                State after = step(now.state(), all.get(i));
                if (after != null && after.equals(now.state())) {
                    return List.of(i);
                } else if (after != null) {
                    may.add(i);
                }
            }
            may.sort(Comparator.comparingLong(i -> all.get(i).told()));
            return may;
        }

        /** What was asked after the first answer that is still to be explained comes later. */
        private long firstTold(BitSet done) {
            long first = Long.MAX_VALUE;
            for (int i = done.nextClearBit(0); i < all.size(); i = done.nextClearBit(i + 1)) {
                first = Math.min(first, all.get(i).told());
            }
            return first;
        }

        String stuck() {
            return all.get(best.nextClearBit(0)).toString();
        }
    }

    /** The state once it has been carried out, or null where this cannot have given its answer. */
    private static State step(State s, Operation o) {
        if (!o.write()) {
            return at(s, o.version()) && s.value() == o.value() ? new State(o.version(), true, s.value())
                : null;
        }
        if (o.known() && !o.done()) {
            return at(s, o.version()) && o.expected() != null && o.expected() != o.version()
                ? new State(o.version(), true, s.value()) : null;
        }
        if (o.expected() != null && !at(s, o.expected())) {
            return null;
        }
        long before = o.expected() != null ? o.expected() : s.version();
        if (!o.known()) {
            return new State(before, false, o.value());
        }
        return o.version() > before ? new State(o.version(), true, o.value()) : null;
    }

    private static boolean at(State s, long version) {
        return s.known() ? s.version() == version : version > s.version();
    }
}
