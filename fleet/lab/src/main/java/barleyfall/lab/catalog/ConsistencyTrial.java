package barleyfall.lab.catalog;

import barleyfall.lab.history.LinearizabilityChecker;
import barleyfall.lab.history.Operation;
import barleyfall.lab.history.WatchChecker;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

/**
 * Tests the consistency of the list service under faults: clients write and read, and watches follow the
 * list, while replicas are killed, paused and cut off. Afterwards everything that they observed is checked.
 * The seed decides the faults.
 */
public final class ConsistencyTrial {
    private static final int CLIENT_COUNT = 4;
    private static final int WATCH_COUNT = 3;
    private static final int KEY_COUNT = 3;
    private static final int CATCH_UP_TIMEOUT_MS = 20_000;

    /**
     * The faults of replicas. A name that ends in LEADER means the current leader; the seed depends on the
     * order.
     */
    private enum Fault { KILL_LEADER, STOP_LEADER, CUT_LEADER, KILL_ANY, CUT_ANY, KILL_ALL }

    /**
     * The result of a trial.
     *
     * @param operationCount number of recorded reads and writes
     * @param appliedWriteCount number of writes that were applied
     * @param unknownWriteCount number of writes without a response
     * @param failoverMs for each kill of the leader, the time until the next write was applied
     * @param violations one line for each violation
     */
    public record TrialResult(long seed, int operationCount, int appliedWriteCount, int unknownWriteCount,
        List<Double> failoverMs, List<String> violations) { }

    private final ReplicaCluster cluster;

    /** The replicas have to run and have a leader. */
    public ConsistencyTrial(ReplicaCluster cluster) {
        this.cluster = cluster;
    }

    /** Runs a trial with so many faults; all replicas run again afterwards. */
    public TrialResult run(long seed, int faultCount) throws IOException {
        return run(seed, faultCount, 0);
    }

    /**
     * Runs a trial with so many faults, and with more where fewer writes than asked for are applied by then;
     * all replicas run again afterwards.
     */
    public TrialResult run(long seed, int minFaultCount, int minAppliedWriteCount) throws IOException {
        SplittableRandom random = new SplittableRandom(seed);
        List<String> keys = IntStream.range(0, KEY_COUNT).mapToObj(i -> "t" + seed + "-" + i).toList();
        AtomicBoolean end = new AtomicBoolean();
        AtomicInteger lastValue = new AtomicInteger();
        List<RegisterClient> clients = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENT_COUNT; i++) {
            RegisterClient client = new RegisterClient(i, cluster.httpAddressesFrom(i), keys,
                random.nextLong(), lastValue, end::get);
            clients.add(client);
            threads.add(new Thread(client, "client " + i));
        }
        List<WatchClient> watches = new ArrayList<>();
        for (int i = 0; i < WATCH_COUNT; i++) {
            watches.add(new WatchClient("watch " + i, cluster.httpAddressesFrom(i)));
        }
        threads.forEach(Thread::start);
        List<Long> killedNanos = new ArrayList<>();
        try {
            for (int i = 0; i < minFaultCount || appliedWriteCount(clients) < minAppliedWriteCount; i++) {
                inject(Fault.values()[random.nextInt(Fault.values().length)], random, killedNanos);
            }
        } finally {
            end.set(true);
            join(threads);
        }
        List<Operation> history = new ArrayList<>();
        clients.forEach(client -> history.addAll(client.history()));
        history.sort(Comparator.comparingLong(Operation::invokedNanos));
        List<String> violations = new ArrayList<>(LinearizabilityChecker.check(history));
        violations.addAll(checkWatches(watches));
        clients.stream().filter(client -> client.unexpectedRefusal() != null)
            .forEach(client -> violations.add("refused: " + client.unexpectedRefusal()));
        return new TrialResult(seed, history.size(), appliedWriteCount(clients),
            (int) history.stream().filter(operation -> !operation.isCompleted()).count(),
            failoverMs(killedNanos, history), violations);
    }

    private static int appliedWriteCount(List<RegisterClient> clients) {
        return clients.stream().mapToInt(RegisterClient::appliedWriteCount).sum();
    }

    /** Every watch has to reach the version of the leader and to have received all changes. */
    private List<String> checkWatches(List<WatchClient> watches) throws IOException {
        long lastVersion = cluster.awaitStatus(0, status -> !status.path("stale").asBoolean(true)).path("seq")
            .asLong();
        WatchChecker checker = new WatchChecker();
        List<String> violations = new ArrayList<>();
        for (int i = 0; i < watches.size(); i++) {
            if (!watches.get(i).awaitVersion(lastVersion, CATCH_UP_TIMEOUT_MS)) {
                violations.add("watch " + i + " did not receive version " + lastVersion);
            }
            watches.get(i).close();
            checker.add("watch " + i, watches.get(i).lines());
        }
        violations.addAll(checker.violations());
        return violations;
    }

    private static List<Double> failoverMs(List<Long> killedNanos, List<Operation> history) {
        List<Double> failoverMs = new ArrayList<>();
        for (long killedAtNanos : killedNanos) {
            history.stream().filter(operation -> operation.isWrite() && operation.isCompleted()
                    && operation.applied() && operation.invokedNanos() > killedAtNanos)
                .mapToLong(Operation::completedNanos).min()
                .ifPresent(completedNanos -> failoverMs.add((completedNanos - killedAtNanos) / 1e6));
        }
        return failoverMs;
    }

    private static void join(List<Thread> threads) {
        for (Thread t : threads) {
            try {
                t.join();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    // ---- faults ----

    /** Injects a fault and waits until all replicas are ready again. */
    private void inject(Fault fault, SplittableRandom random, List<Long> killedNanos) throws IOException {
        pause(200 + random.nextInt(400));
        int leader = cluster.leader();
        int anyReplica = random.nextInt(cluster.size());
        int durationMs = 300 + random.nextInt(900);
        int replica = fault.name().endsWith("LEADER") && leader >= 0 ? leader : anyReplica;
        switch (fault) {
            case KILL_ALL -> {
                IntStream.range(0, cluster.size()).parallel().forEach(i -> cluster.process(i).kill());
                for (int i = 0; i < cluster.size(); i++) {
                    cluster.start(i);
                }
            }
            case KILL_LEADER, KILL_ANY -> {
                cluster.process(replica).kill();
                if (replica == leader) {
                    killedNanos.add(System.nanoTime());
                }
                pause(durationMs);
                cluster.start(replica);
            }
            case STOP_LEADER -> {
                cluster.process(replica).pause();
                pause(durationMs);
                cluster.process(replica).resume();
            }
            default -> {
                cluster.setCutOff(replica, true);
                pause(durationMs);
                cluster.setCutOff(replica, false);
            }
        }
        for (int i = 0; i < cluster.size(); i++) {
            cluster.awaitStatus(i, ConsistencyTrial::isReady);
        }
    }

    /** Returns whether a replica is up to date and knows a leader. */
    private static boolean isReady(JsonNode status) {
        return !status.path("stale").asBoolean(true) && status.path("leader").isTextual();
    }

    private static void pause(long ms) {
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
