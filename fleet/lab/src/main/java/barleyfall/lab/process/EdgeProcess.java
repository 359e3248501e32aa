package barleyfall.lab.process;

import barleyfall.lab.net.LabClock;
import barleyfall.lab.seen.Seen;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One edge node: a process started by the deploy file's {@code run}, in a folder of its own. It ends when
 * the lab does: the kernel kills it with the thread that started it (PR_SET_PDEATHSIG), however the lab
 * ends.
 */
public final class EdgeProcess {
    private static final Logger LOG = LoggerFactory.getLogger(EdgeProcess.class);
    /** Without these, root heeds the modes of files as others do, so that a read-only folder is one. */
    private static final String NO_OVERRIDE = "-dac_override,-dac_read_search";

    /** Behind the lab's own threads: what is late for want of a core should be an edge node, not the load. */
    private static final String NICE = "5";

    private final int number;
    private final Path root;
    private final String run;
    private final Path folder;
    private final int descriptors;
    private final LabClock clock;
    private final ExecutorService spawner;
    private final Signaller signaller;
    private final Consumer<Seen> trace;
    private volatile Process process;
    private volatile CompletableFuture<Void> exited = CompletableFuture.completedFuture(null);
    private volatile boolean stopped;
    private volatile boolean held;
    private int starts;
    private volatile String fileLimit = "";

    /** Spawner: a thread that lives as long as the run, as what it starts ends with it. */
    public EdgeProcess(int number, Path root, String run, Path folder, int descriptors, LabClock clock,
        ExecutorService spawner, Signaller signaller, Consumer<Seen> trace) {
        this.number = number;
        this.root = root;
        this.run = run;
        this.folder = folder;
        this.descriptors = descriptors;
        this.clock = clock;
        this.spawner = spawner;
        this.signaller = signaller;
        this.trace = trace;
    }

    /** Where its files are: config.json, tmp, and what it keeps. */
    public Path folder() {
        return folder;
    }

    /** The process of its last start, or null. */
    public Process process() {
        return process;
    }

    /** The number it goes by. */
    public int number() {
        return number;
    }

    /** From the next start on no file that it writes can grow, as on a full disk; false lifts that. */
    public void diskFull(boolean full) {
        fileLimit = full ? "ulimit -f 0; trap '' XFSZ; " : "";
    }

    /** Starts it with that configuration; its log goes to its folder, one file for each start. */
    public void start(String config, Map<String, String> environment) throws IOException {
        Path tmp = folder.resolve("tmp");
        empty(tmp);
        Files.createDirectories(tmp);
        Files.writeString(folder.resolve("config.json"), config);
        File log = folder.resolve("log-" + ++starts + ".txt").toFile();
        boolean root0 = "root".equals(System.getProperty("user.name"));
        List<String> command = root0
            ? List.of("nice", "-n", NICE, "setpriv", "--pdeathsig", "KILL", "--bounding-set",
            NO_OVERRIDE, "/bin/sh", "-c",
            shell())
            : List.of("nice", "-n", NICE, "setpriv", "--pdeathsig", "KILL", "/bin/sh", "-c", shell());
        ProcessBuilder builder = new ProcessBuilder(command).directory(this.root.toFile())
            .redirectErrorStream(true).redirectOutput(log).redirectInput(new File("/dev/null"));
        builder.environment().put("TMPDIR", tmp.toString());
        builder.environment().put("EDGE_CONFIG", folder.resolve("config.json").toString());
        builder.environment().putAll(environment);
        try {
            process = spawner.submit(builder::start).get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while starting n" + number, e);
        } catch (ExecutionException e) {
            throw new IOException("cannot start n" + number + " (util-linux's setpriv is needed): "
                + e.getCause().getMessage(), e);
        }
        stopped = false;
        held = false;
        Process started = process;
        saw("started", "pid " + started.pid());
        // one future for all who wait, so that the end is on record before whatever comes after it
        exited = started.onExit()
            .thenAccept(p -> saw("exit", "exit code " + p.exitValue() + ", log " + log.getName()));
    }

    private String shell() {
        return "ulimit -n " + descriptors + "; " + fileLimit + run;
    }

    private static void empty(Path dir) throws IOException {
        if (!Files.exists(dir)) {
            return;
        }
        try (Stream<Path> all = Files.walk(dir)) {
            for (Path p : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(p);
            }
        }
    }

    private void saw(String what, String text) {
        LOG.info("n{} {} {}", number, what, text);
        trace.accept(new Seen.Edge(clock.now(), number, what, text));
    }

    /** Whether its process runs. */
    public boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** SIGKILL; returns when it has ended. */
    public void kill() {
        if (isAlive()) {
            saw("kill", "");
            process.destroyForcibly();
            exited.join();
        }
    }

    /** SIGTERM; done when it has ended. */
    public CompletableFuture<Void> term() {
        saw("term", "");
        process.destroy();
        return exited;
    }

    /** SIGTERM, and SIGKILL where it has not ended in so many ms. */
    public void termOrKill(double ms) {
        if (!isAlive()) {
            return;
        }
        try {
            term().get((long) ms, TimeUnit.MILLISECONDS);
        } catch (java.util.concurrent.TimeoutException late) {
            kill();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            kill();
        } catch (ExecutionException e) {
            throw new IllegalStateException(e);
        }
    }

    /** SIGSTOP, until {@link #goOn}. */
    public void stop() {
        stopped = true;
        saw("stop", "");
        signaller.send("STOP", process);
    }

    /** SIGCONT. */
    public void goOn() {
        stopped = false;
        saw("cont", "");
        if (!held) {
            signaller.send("CONT", process);
        }
    }

    /** Held back by its CPU limit, or not; a fault that has stopped it is stronger. */
    void hold(boolean hold) {
        if (hold != held) {
            held = hold;
            if (!stopped) {
                signaller.send(hold ? "STOP" : "CONT", process);
            }
        }
    }

    /** Notes that it went over a limit. */
    void overLimit(String text) {
        saw("over-limit", text);
    }
}
