package barleyfall.lab.run;

import barleyfall.lab.experiment.Experiment;
import barleyfall.lab.net.LabClock;
import barleyfall.lab.plan.Plan;
import barleyfall.lab.process.AddressBlock;
import barleyfall.lab.process.EdgeProcess;
import barleyfall.lab.process.ResourceLimiter;
import barleyfall.lab.process.SignalSender;
import barleyfall.lab.process.SystemCallFaults;
import barleyfall.lab.seen.Event;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.stream.Stream;

/** Starts, configures and stops the edge nodes of a run. */
final class EdgeProcesses implements AutoCloseable {
    private static final int READY_TIMEOUT_SECONDS = 30;
    private static final int CONTROL_TIMEOUT_MS = 3000;
    private static final long PROCESS_END_MS = 1000;
    private static final double TERM_GRACE_MS = 2000;
    private static final Set<String> SYSTEM_CALL_FAULT_KINDS = Set.of("system-calls", "clock-step");
    /** What calls on files can fail: those of the shared folder, and the configuration. */
    private static final String AFFECTED_FILES = "/tmp/detached:/config.json";
    private static final String VIOLATION_PREFIX = "invariant ";

    private final Plan plan;
    private final LabClock clock;
    private final AddressBlock addresses;
    private final LabEnvironment environment;
    private final Consumer<Event> trace;
    private final ExecutorService spawnThread = Executors.newSingleThreadExecutor(r -> {
        Thread t = new Thread(r, "spawner");
        t.setDaemon(true);
        return t;
    });
    private final SignalSender signalSender = new SignalSender();
    private final List<EdgeProcess> processes = new ArrayList<>();
    private final ResourceLimiter limiter;
    /** By the number of the edge node; empty where the experiment has no such fault. */
    private final List<SystemCallFaults> systemCallFaults = new ArrayList<>();

    EdgeProcesses(Plan plan, LabClock clock, AddressBlock addresses, LabEnvironment environment,
        Project project, Path runFolder, Consumer<Event> trace) throws IOException {
        this.plan = plan;
        this.clock = clock;
        this.addresses = addresses;
        this.environment = environment;
        this.trace = trace;
        Experiment experiment = plan.experiment();
        for (int i = 0; i < experiment.topology().edges(); i++) {
            Path folder = Files.createDirectories(runFolder.resolve("edges/n" + i)).toAbsolutePath();
            Files.createDirectories(folder.resolve("state"));
            processes.add(new EdgeProcess(i, project.root(), project.startCommand(), folder,
                experiment.limits().descriptors(), clock, spawnThread, signalSender, trace));
        }
        if (experiment.faults().stream().anyMatch(fault -> SYSTEM_CALL_FAULT_KINDS.contains(fault.kind()))) {
            long seed = plan.randomStreams().of("system calls").nextLong();
            for (EdgeProcess edge : processes) {
                systemCallFaults.add(new SystemCallFaults(edge.folder().resolve("system-call-faults"),
                    seed + edge.number(), AFFECTED_FILES));
            }
        }
        limiter = new ResourceLimiter(processes, experiment.limits(), clock, trace);
    }

    /** Returns the process of an edge node. */
    EdgeProcess process(int number) {
        return processes.get(number);
    }

    /** Starts an edge node for the first time or again; does nothing where it runs already. */
    void start(int number) throws IOException {
        synchronized (processes.get(number)) {
            if (!processes.get(number).isAlive()) {
                startStopped(number);
            }
        }
    }

    private void startStopped(int number) throws IOException {
        long seed = plan.randomStreams().of("seed of n" + number + " at " + Math.round(clock.nowMs()))
            .nextLong();
        Map<String, String> variables = new HashMap<>(Map.of("EDGE_NAME", "n" + number, "EDGE_LISTEN",
            AddressBlock.hostAndPort(addresses.edge(number)), "EDGE_DISCOVERY",
            String.join(",", environment.discoveryAddresses(number))));
        if (!systemCallFaults.isEmpty()) {
            variables.putAll(systemCallFaults.get(number).environment());
        }
        processes.get(number).start(EdgeConfigWriter.write(plan, number, addresses, seed,
            environment.discoveryAddresses(number), environment.knownList(number)), variables);
        environment.front.announceStart(number);
    }

    /** Returns the faults of an edge node's system calls; throws if the experiment has none of these. */
    SystemCallFaults systemCallFaults(int number) {
        return systemCallFaults.get(number);
    }

    /** Returns where an edge node listens for clients. */
    InetSocketAddress address(int number) {
        return addresses.edge(number);
    }

    /** Sends SIGHUP to an edge node that is ready, as the platform does; its configuration is unchanged. */
    void reload(int number) {
        if (processes.get(number).isAlive() && environment.front.isUp(number)) {
            signalSender.send("HUP", processes.get(number).process());
        }
    }

    /** Returns how many faults were injected into the system calls of all edge nodes. */
    long injectedFaultCount() {
        return systemCallFaults.stream().mapToLong(SystemCallFaults::injectedCount).sum();
    }

    /** Records the violated invariants that the edge nodes have logged, in all of their starts. */
    void recordViolations() throws IOException {
        for (EdgeProcess edge : processes) {
            try (Stream<Path> files = Files.list(edge.folder())) {
                for (Path file : files.filter(f -> f.getFileName().toString().startsWith("log-")).toList()) {
                    recordViolations(edge.number(), file);
                }
            }
        }
    }

    private void recordViolations(int number, Path log) throws IOException {
        for (String line : Files.readAllLines(log, StandardCharsets.ISO_8859_1)) {
            if (line.startsWith(VIOLATION_PREFIX)) {
                trace.accept(new Event.InvariantViolated(clock.nowMs(), number,
                    line.substring(VIOLATION_PREFIX.length())));
            }
        }
    }

    /** Starts all edge nodes and waits until each has answered PING; throws if one has not within 30 s. */
    void startAll(Consumer<String> progress) throws IOException {
        limiter.start();
        for (EdgeProcess edge : processes) {
            start(edge.number());
        }
        environment.front.startHealthChecks();
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_TIMEOUT_SECONDS);
        for (EdgeProcess edge : processes) {
            try {
                environment.front.whenReady(edge.number()).get(Math.max(1, deadlineNanos - System.nanoTime()),
                    TimeUnit.NANOSECONDS);
                progress.accept("edge nodes ready: " + (edge.number() + 1) + " of " + processes.size());
            } catch (TimeoutException late) {
                throw new IOException("n" + edge.number() + " took no clients within " + READY_TIMEOUT_SECONDS
                    + " s; see " + edge.folder().resolve("log-1.txt"), late);
            } catch (InterruptedException stop) {
                Thread.currentThread().interrupt();
                throw new IOException("interrupted", stop);
            } catch (java.util.concurrent.ExecutionException never) {
                throw new IllegalStateException(never);
            }
        }
    }

    /**
     * Sends an operator command to the control address of every running edge node; each has to succeed,
     * unless its process ends in that moment by another fault.
     */
    void sendCommandToAll(String command, String server) throws IOException {
        for (EdgeProcess edge : processes) {
            Process process = edge.process();
            if (!edge.isAlive()) {
                continue;
            }
            try {
                sendCommand(edge.number(), command, server);
            } catch (IOException e) {
                if (!endsNow(process)) {
                    throw e;
                }
            }
        }
    }

    private void sendCommand(int number, String command, String server) throws IOException {
        String answer = sendCommand(number, command + " " + server);
        if (!answer.equals("SUCCESS")) {
            throw new IOException("n" + number + " answered '" + answer + "' to " + command + " " + server);
        }
        trace.accept(new Event.DiscoveryUpdate(clock.nowMs(), number, server,
            command.equals("DETACH") ? "out by hand" : "active", -1e12, 0));
    }

    /** Whether a process ends: the kernel closes its sockets some time before its end shows. */
    private static boolean endsNow(Process process) {
        try {
            return process.waitFor(PROCESS_END_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private String sendCommand(int number, String line) throws IOException {
        try (Socket s = new Socket()) {
            s.connect(addresses.control(number), CONTROL_TIMEOUT_MS);
            s.setSoTimeout(CONTROL_TIMEOUT_MS);
            s.getOutputStream().write((line + "\n").getBytes(StandardCharsets.US_ASCII));
            String answer = new BufferedReader(
                new InputStreamReader(s.getInputStream(), StandardCharsets.US_ASCII)).readLine();
            return answer == null ? "" : answer;
        }
    }

    /** Stops all edge nodes, with SIGTERM and then SIGKILL. */
    @Override public void close() throws IOException {
        limiter.stop();
        for (EdgeProcess edge : processes) {
            if (edge.isAlive()) {
                signalSender.send("CONT", edge.process()); // a paused process does not react to SIGTERM
            }
        }
        ExecutorService executor = Executors.newFixedThreadPool(Math.max(1, processes.size()));
        processes.forEach(edge -> executor.execute(() -> edge.termOrKill(TERM_GRACE_MS)));
        executor.shutdown();
        try {
            executor.awaitTermination(30, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        processes.forEach(EdgeProcess::kill);
        signalSender.close();
        spawnThread.shutdown();
    }
}
