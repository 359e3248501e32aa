package barleyfall.lab.run;

import barleyfall.lab.experiment.Experiment;
import barleyfall.lab.net.LabClock;
import barleyfall.lab.plan.Plan;
import barleyfall.lab.process.EdgeProcess;
import barleyfall.lab.process.SystemCallFaults;
import barleyfall.lab.seen.Event;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Injects the faults of an experiment at their times. A fault that cannot be carried out makes the run
 * unsound; no fault is skipped silently.
 */
final class FaultScheduler {
    private static final Logger LOG = LoggerFactory.getLogger(FaultScheduler.class);
    /** A restarted edge node is killed this long after the time that its requests may need: the earliest. */
    private static final double KILL_GRACE_MS = 700;
    /** A longer deadline counts as this long. */
    private static final double MAX_DRAIN_MS = 3000;
    private static final double SIGNAL_INTERVAL_MS = 3;
    private static final double FURTHER_SIGNAL_INTERVAL_MS = 120;
    private static final int THREAD_COUNT = 32;

    /** One step of a fault. */
    private interface FaultStep {
        void run() throws IOException;
    }

    private final Plan plan;
    private final LabClock clock;
    private final LabEnvironment environment;
    private final EdgeProcesses edges;
    private final LinkFaults linkFaults;
    private final Consumer<Event> trace;
    private final ScheduledExecutorService executor = Executors.newScheduledThreadPool(THREAD_COUNT, r -> {
        Thread t = new Thread(r, "faults");
        t.setDaemon(true);
        return t;
    });
    /** Flag servers that a deploy has replaced; each is replaced once. */
    private final Set<Integer> replacedServers = ConcurrentHashMap.newKeySet();
    /** By the name of the fault, so that its end restores the replicas that its start affected. */
    private final Map<String, List<Integer>> affectedReplicas = new ConcurrentHashMap<>();
    /** The idle clients of each fault, by its name. */
    private final Map<String, Crowd> crowds = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<String> failures = new ConcurrentLinkedQueue<>();

    FaultScheduler(Plan plan, LabClock clock, LabEnvironment environment, EdgeProcesses edges,
        Consumer<Event> trace) {
        this.plan = plan;
        this.clock = clock;
        this.environment = environment;
        this.edges = edges;
        this.trace = trace;
        linkFaults = new LinkFaults(plan, environment, clock, trace);
    }

    /** Schedules all faults of the experiment. */
    void schedule() {
        for (Experiment.Fault fault : plan.experiment().faults()) {
            scheduleStep(fault.at(), fault, () -> {
                recordFault(fault, true);
                begin(fault);
            });
            if (fault.length() > 0) {
                scheduleStep(fault.end(), fault, () -> {
                    end(fault);
                    recordFault(fault, false);
                });
            }
        }
    }

    /** Stops; returns one line for each step that failed. */
    List<String> stop() {
        executor.shutdownNow();
        try {
            executor.awaitTermination(10, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        crowds.values().forEach(Crowd::close);
        return List.copyOf(failures);
    }

    private void scheduleStep(double atMs, Experiment.Fault fault, FaultStep step) {
        executor.schedule(() -> {
            try {
                step.run();
            } catch (IOException | RuntimeException e) {
                if (!executor.isShutdown()) {
                    LOG.error("fault {}", fault.name(), e);
                    failures.add(fault.name() + ": " + e);
                }
            }
        }, clock.nanosUntil(atMs), TimeUnit.NANOSECONDS);
    }

    private void recordFault(Experiment.Fault fault, boolean begins) {
        String target = fault.target() != null ? fault.target()
            : fault.from() != null ? fault.from() + " - " + fault.to() : "";
        LOG.info("fault {} {} ({} {})", fault.name(), begins ? "begins" : "ends", fault.kind(), target);
        trace.accept(new Event.Fault(clock.nowMs(), fault.name(), fault.kind(), begins, target));
    }

    private void begin(Experiment.Fault fault) throws IOException {
        switch (fault.kind()) {
            case "kill" -> inParallel(plan.affectedEdges(fault), number -> edges.process(number).kill());
            case "pause" -> plan.affectedEdges(fault).forEach(number -> edges.process(number).pause());
            case "restart" -> inBatches(fault, plan.affectedEdges(fault), number -> restart(fault, number));
            case "disk" -> {
                for (int number : plan.affectedEdges(fault)) {
                    edges.process(number).kill();
                    damageDisk(fault, edges.process(number));
                }
            }
            case "server-crash" -> inParallel(plan.affectedServers(fault), environment.servers::crash);
            case "server-silent", "zone-lost" -> inParallel(plan.affectedServers(fault),
                environment.servers::silence);
            case "server-slow" -> plan.affectedServers(fault)
                .forEach(number -> environment.servers.setSlowdown(number, fault.size()));
            case "deploy" -> inBatches(fault, plan.affectedServers(fault), number -> deploy(fault, number));
            case "rotate" -> inBatches(fault, plan.affectedServers(fault), number -> rotate(fault, number));
            case "cut", "delay", "throttle", "loss", "reset" -> linkFaults.begin(fault);
            case "system-calls" -> plan.affectedEdges(fault)
                .forEach(number -> SystemCallFaults.Rule.parseAll(fault.how())
                    .forEach(edges.systemCallFaults(number)::begin));
            case "clock-step" -> plan.affectedEdges(fault).forEach(number -> edges.systemCallFaults(number)
                .setWallClockOffsetMs(Math.round(fault.how().equals("back") ? -fault.size() : fault.size())));
            case "reload" -> {
                for (int i = 0; i < fault.size(); i++) {
                    scheduleStep(fault.at() + i * SIGNAL_INTERVAL_MS, fault,
                        () -> plan.affectedEdges(fault).forEach(edges::reload));
                }
            }
            case "crowd", "half-sent" -> {
                Crowd.Habit habit = fault.kind().equals("crowd") ? Crowd.Habit.SILENT : Crowd.Habit.HALF_SENT;
                for (int number : plan.affectedEdges(fault)) {
                    crowds.computeIfAbsent(fault.name(), name -> new Crowd(habit))
                        .join(edges.address(number), (int) fault.size());
                }
            }
            case "counter-away" -> environment.counter.setAway(true);
            case "counter-forget" -> environment.counter.clearCounts();
            case "list-kill", "list-pause", "list-cut" -> {
                List<Integer> affected = affectedReplicas(fault);
                affectedReplicas.put(fault.name(), affected);
                for (int replica : affected) {
                    applyReplicaFault(fault.kind(), replica, true);
                }
            }
            case "discovery-silent" -> environment.registry.setSilent(true);
            case "burst", "hot-customer" -> LOG.debug("drawn with the load"); // part of the plan already
            default -> throw new IllegalStateException("no action for fault kind " + fault.kind());
        }
    }

    private void end(Experiment.Fault fault) throws IOException {
        switch (fault.kind()) {
            case "kill" -> inParallel(plan.affectedEdges(fault), edges::start);
            case "pause" -> plan.affectedEdges(fault).forEach(number -> edges.process(number).resume());
            case "disk" -> {
                for (int number : plan.affectedEdges(fault)) {
                    edges.start(number);
                    if (fault.how().equals("fill")) {
                        edges.process(number).setDiskFull(false); // applies from the next start on
                    }
                }
            }
            case "server-crash", "server-silent", "zone-lost" ->
                inParallel(plan.affectedServers(fault), number -> environment.servers.restart(number));
            case "server-slow" -> plan.affectedServers(fault)
                .forEach(number -> environment.servers.setSlowdown(number, 1));
            case "cut", "delay", "throttle", "loss" -> linkFaults.end(fault);
            case "system-calls" -> plan.affectedEdges(fault)
                .forEach(number -> SystemCallFaults.Rule.parseAll(fault.how())
                    .forEach(edges.systemCallFaults(number)::end));
            case "clock-step" -> plan.affectedEdges(fault)
                .forEach(number -> edges.systemCallFaults(number).setWallClockOffsetMs(0));
            case "crowd", "half-sent" -> {
                Crowd crowd = crowds.remove(fault.name());
                if (crowd != null) {
                    crowd.close();
                }
            }
            case "counter-away" -> environment.counter.setAway(false);
            case "list-kill", "list-pause", "list-cut" -> {
                for (int replica : affectedReplicas.getOrDefault(fault.name(), List.of())) {
                    applyReplicaFault(fault.kind(), replica, false);
                }
            }
            case "discovery-silent" -> environment.registry.setSilent(false);
            default -> LOG.debug("{} ends by itself", fault.name());
        }
    }

    /** Returns the replicas that a fault applies to; "leader" means the leader when the fault begins. */
    private List<Integer> affectedReplicas(Experiment.Fault fault) throws IOException {
        if (fault.target().equals("all")) {
            return IntStream.range(0, environment.replicas.size()).boxed().toList();
        }
        int replica = fault.target().equals("leader") ? environment.replicas.leader()
            : Integer.parseInt(fault.target());
        if (replica < 0) {
            throw new IOException("the list service has no leader");
        }
        return List.of(replica);
    }

    private void applyReplicaFault(String kind, int replica, boolean begins) throws IOException {
        switch (kind) {
            case "list-kill" -> {
                if (begins) {
                    environment.replicas.process(replica).kill();
                } else {
                    environment.replicas.start(replica);
                }
            }
            case "list-pause" -> {
                if (begins) {
                    environment.replicas.process(replica).pause();
                } else {
                    environment.replicas.process(replica).resume();
                }
            }
            default -> environment.replicas.setCutOff(replica, begins);
        }
    }

    /** An action on the edge node or flag server with a number. */
    private interface NumberedAction {
        void on(int number) throws IOException;
    }

    /** Runs an action on all at once, as far as there are threads. */
    private void inParallel(List<Integer> numbers, NumberedAction action) throws IOException {
        List<java.util.concurrent.Callable<Void>> tasks = new ArrayList<>();
        numbers.forEach(number -> tasks.add(() -> {
            action.on(number);
            return null;
        }));
        try {
            for (var task : executor.invokeAll(tasks)) {
                task.get();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (java.util.concurrent.ExecutionException e) {
            throw new IOException(e.getCause());
        }
    }

    /**
     * Schedules an action in batches over the length of a fault; the last batch is one interval before its
     * end.
     */
    private void inBatches(Experiment.Fault fault, List<Integer> numbers, NumberedAction action) {
        int batchSize = (int) Math.max(1, Math.round(fault.size() * numbers.size()));
        int batchCount = (numbers.size() + batchSize - 1) / batchSize;
        double intervalMs = fault.every() > 0 ? fault.every() : fault.length() / Math.max(1, batchCount);
        for (int i = 0; i < numbers.size(); i++) {
            int number = numbers.get(i);
            scheduleStep(fault.at() + intervalMs * (i / batchSize), fault, () -> action.on(number));
        }
    }

    private void restart(Experiment.Fault fault, int number) throws IOException {
        double longestDeadlineMs = plan.experiment().classes().stream()
            .mapToDouble(Experiment.RequestClass::deadlineMs).max().orElse(0);
        environment.front.announceRestart(number);
        scheduleFurtherSignals(fault, number);
        edges.process(number).termOrKill(Math.min(MAX_DRAIN_MS, longestDeadlineMs) + KILL_GRACE_MS);
        edges.start(number);
    }

    /** Schedules the signals that follow the first SIGTERM, one after the other. */
    private void scheduleFurtherSignals(Experiment.Fault fault, int number) {
        Process ending = edges.process(number).process();
        String[] signals = fault.how() == null ? new String[0] : fault.how().split(" ");
        for (int i = 0; i < signals.length; i++) {
            boolean reload = signals[i].equals("HUP");
            scheduleStep(clock.nowMs() + (i + 1) * FURTHER_SIGNAL_INTERVAL_MS, fault, () -> {
                if (reload) {
                    edges.reload(number);
                } else {
                    edges.process(number).termAgain(ending);
                }
            });
        }
    }

    private void deploy(Experiment.Fault fault, int number) throws IOException {
        if (replacedServers.add(number)) {
            environment.servers.drain(number);
            scheduleStep(clock.nowMs() + fault.down(), fault, () -> {
                environment.servers.retire(number);
                environment.servers.startSuccessor(number);
            });
        }
    }

    /** Detaches a flag server at every edge node by hand, restarts it, and attaches it again. */
    private void rotate(Experiment.Fault fault, int number) throws IOException {
        edges.sendCommandToAll("DETACH", environment.servers.machine(number).id());
        scheduleStep(clock.nowMs() + fault.down(), fault, () -> {
            environment.servers.restartByHand(number);
            edges.sendCommandToAll("ATTACH", environment.servers.machine(number).id());
        });
    }

    private void damageDisk(Experiment.Fault fault, EdgeProcess edge) throws IOException {
        if (fault.how().equals("fill")) {
            edge.setDiskFull(true);
            return;
        }
        DiskDamage.damage(edge.folder().resolve("state"), fault.file(), fault.how(),
            plan.randomStreams().of("disk " + fault.name()))
            .forEach(line -> LOG.info("n{}: {}", edge.number(), line));
    }
}
