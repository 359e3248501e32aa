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
 * Checks whether a history is linearizable: whether each operation can be assigned a point in time between
 * its invocation and its completion, such that one register per member, changed in that order, gives exactly
 * these responses. The search is that of Wing and Gong (1993) with Lowe's cache of visited states (2017).
 * Members are independent, so each is searched separately. Versions have to increase.
 */
public final class LinearizabilityChecker {
    /** States visited for one member before the search gives up; a history that needs more proves nothing. */
    private static final int MAX_STATES = 5_000_000;

    /**
     * A member in the model; if the version is not known, the real one is above it. A value of 0 is no
     * member.
     */
    private record State(long version, boolean versionKnown, int value) { }

    /** A node of the search: the operations applied so far and the state that they lead to. */
    private record Node(BitSet applied, State state) { }

    private LinearizabilityChecker() { }

    /** Returns one line for each member whose history is not linearizable; empty for a valid history. */
    public static List<String> check(List<Operation> history) {
        Map<String, List<Operation>> byKey = new TreeMap<>();
        history.forEach(operation -> byKey.computeIfAbsent(operation.key(), newKey -> new ArrayList<>())
            .add(operation));
        List<String> violations = new ArrayList<>();
        byKey.forEach((key, operations) -> {
            Search search = new Search(operations);
            if (!search.findsOrder()) {
                violations.add(key + ": no order explains its " + operations.size()
                    + " operations; the longest valid prefix has " + search.longestApplied.cardinality()
                    + ", then it fails at " + search.firstUnexplained());
            }
        });
        return violations;
    }

    /**
     * Leaves out writes of unknown outcome whose effect nobody observed, by value or by version: if the
     * history is linearizable with them it is so without them, and each of them doubles the number of states.
     */
    private static List<Operation> withoutUnobservedWrites(List<Operation> operations) {
        Set<Integer> readValues = new HashSet<>();
        Set<Long> writtenVersions = new HashSet<>(Set.of(0L));
        operations.stream().filter(operation -> operation.isCompleted() && operation.isWrite()
            && operation.applied()).forEach(operation -> writtenVersions.add(operation.version()));
        operations.stream().filter(operation -> !operation.isWrite())
            .forEach(operation -> readValues.add(operation.value()));
        boolean unexplainedVersion = operations.stream().anyMatch(operation -> operation.isWrite()
            && (operation.isCompleted() && !writtenVersions.contains(operation.version())
            || operation.expectedVersion() != null
            && !writtenVersions.contains(operation.expectedVersion())));
        return operations.stream().filter(operation -> operation.isCompleted() || unexplainedVersion
            || readValues.contains(operation.value())).toList();
    }

    /** The search for a valid order of the operations on one member. */
    private static final class Search {
        private final List<Operation> operations;
        private final BitSet completed = new BitSet();
        private final Set<Node> visited = new HashSet<>();
        private BitSet longestApplied = new BitSet();

        Search(List<Operation> operations) {
            this.operations = withoutUnobservedWrites(operations).stream()
                .sorted(Comparator.comparingLong(Operation::invokedNanos)).toList();
            for (int i = 0; i < this.operations.size(); i++) {
                completed.set(i, this.operations.get(i).isCompleted());
            }
        }

        /**
         * Searches depth first; the stack is explicit because a history can be deeper than a thread's stack.
         */
        boolean findsOrder() {
            List<Node> stack = new ArrayList<>();
            stack.add(new Node(new BitSet(), new State(0, true, 0)));
            while (!stack.isEmpty()) {
                Node node = stack.remove(stack.size() - 1);
                BitSet remaining = (BitSet) completed.clone();
                remaining.andNot(node.applied());
                if (remaining.isEmpty()) {
                    return true;
                }
                if (node.applied().cardinality() > longestApplied.cardinality()) {
                    longestApplied = node.applied();
                }
                List<Integer> candidates = candidates(node);
                for (int k = candidates.size() - 1; k >= 0; k--) {
                    BitSet applied = (BitSet) node.applied().clone();
                    applied.set(candidates.get(k));
                    Node next = new Node(applied, step(node.state(), operations.get(candidates.get(k))));
                    if (visited.add(next)) {
                        stack.add(next);
                    }
                }
                if (visited.size() > MAX_STATES) {
                    throw new IllegalStateException("gave up after " + MAX_STATES + " states");
                }
            }
            return false;
        }

        /**
         * Returns the operations that may come next, the likeliest first. An operation that leaves the state
         * unchanged is taken alone, as it rules out no other order.
         */
        private List<Integer> candidates(Node node) {
            List<Integer> candidates = new ArrayList<>();
            long firstCompletedNanos = firstCompletion(node.applied());
            for (int i = node.applied().nextClearBit(0); i < operations.size()
                && operations.get(i).invokedNanos() <= firstCompletedNanos;
                i = node.applied().nextClearBit(i + 1)) {
                State nextState = step(node.state(), operations.get(i));
                if (nextState != null && nextState.equals(node.state())) {
                    return List.of(i);
                } else if (nextState != null) {
                    candidates.add(i);
                }
            }
            candidates.sort(Comparator.comparingLong(i -> operations.get(i).completedNanos()));
            return candidates;
        }

        /**
         * Returns the first completion among the remaining operations; none invoked after it can come next.
         */
        private long firstCompletion(BitSet applied) {
            long firstNanos = Long.MAX_VALUE;
            for (int i = applied.nextClearBit(0); i < operations.size(); i = applied.nextClearBit(i + 1)) {
                firstNanos = Math.min(firstNanos, operations.get(i).completedNanos());
            }
            return firstNanos;
        }

        /** Returns the first operation that the longest valid order lacks. */
        String firstUnexplained() {
            return operations.get(longestApplied.nextClearBit(0)).toString();
        }
    }

    /** Returns the state after an operation, or null if the operation cannot have given its response. */
    private static State step(State state, Operation operation) {
        if (!operation.isWrite()) {
            return mayBeAt(state, operation.version()) && state.value() == operation.value()
                ? new State(operation.version(), true, state.value()) : null;
        }
        if (operation.isCompleted() && !operation.applied()) {
            return mayBeAt(state, operation.version()) && operation.expectedVersion() != null
                && operation.expectedVersion() != operation.version()
                ? new State(operation.version(), true, state.value()) : null;
        }
        if (operation.expectedVersion() != null && !mayBeAt(state, operation.expectedVersion())) {
            return null;
        }
        long versionBefore = operation.expectedVersion() != null ? operation.expectedVersion()
            : state.version();
        if (!operation.isCompleted()) {
            return new State(versionBefore, false, operation.value());
        }
        return operation.version() > versionBefore ? new State(operation.version(), true, operation.value())
            : null;
    }

    /** Returns whether the member may be at a version. */
    private static boolean mayBeAt(State state, long version) {
        return state.versionKnown() ? state.version() == version : version > state.version();
    }
}
