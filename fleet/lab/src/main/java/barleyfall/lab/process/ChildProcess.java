package barleyfall.lab.process;

import java.io.File;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BiConsumer;

/**
 * A process started by the lab. It never outlives the lab: the kernel kills it when the thread that started
 * it ends (PR_SET_PDEATHSIG), however the lab ends.
 */
public class ChildProcess {
    /** Without these, file modes apply to root as well, so that a read-only folder is read-only. */
    private static final String DROPPED_CAPABILITIES = "-dac_override,-dac_read_search";
    /** Below the lab's own threads, so that a lack of CPU delays child processes rather than the load. */
    private static final String NICE_INCREMENT = "5";

    private final String name;
    private final ExecutorService spawnThread;
    private final SignalSender signalSender;
    private final BiConsumer<String, String> listener;
    private volatile Process process;
    private volatile CompletableFuture<Void> exited = CompletableFuture.completedFuture(null);
    private volatile boolean paused;
    private volatile boolean throttled;

    /**
     * Creates a process that is not started yet.
     *
     * @param spawnThread a single thread that lives as long as the run, as processes end with the thread that
     *     started them
     * @param listener called with each change of the process's state and a detail of it
     */
    public ChildProcess(String name, ExecutorService spawnThread, SignalSender signalSender,
        BiConsumer<String, String> listener) {
        this.name = name;
        this.spawnThread = spawnThread;
        this.signalSender = signalSender;
        this.listener = listener;
    }

    /** Starts a shell command in a folder; its output goes to the log, which is overwritten. */
    public void start(String shellCommand, File folder, Map<String, String> environment, File log)
        throws IOException {
        List<String> command = new ArrayList<>(List.of("nice", "-n", NICE_INCREMENT, "setpriv",
            "--pdeathsig", "KILL"));
        if ("root".equals(System.getProperty("user.name"))) {
            command.addAll(List.of("--bounding-set", DROPPED_CAPABILITIES));
        }
        command.addAll(List.of("/bin/sh", "-c", shellCommand));
        ProcessBuilder builder = new ProcessBuilder(command).directory(folder).redirectErrorStream(true)
            .redirectOutput(log).redirectInput(new File("/dev/null"));
        builder.environment().putAll(environment);
        try {
            process = spawnThread.submit(builder::start).get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while starting " + name, e);
        } catch (ExecutionException e) {
            throw new IOException("cannot start " + name + " (util-linux's setpriv is needed): "
                + e.getCause().getMessage(), e);
        }
        paused = false;
        throttled = false;
        Process started = process;
        listener.accept("started", "pid " + started.pid());
        // everybody waits for this future, so that the exit is recorded before anything that follows it
        exited = started.onExit()
            .thenAccept(ended -> listener.accept("exit", "exit code " + ended.exitValue() + ", log "
                + log.getName()));
    }

    /** Returns the process of the last start, or null. */
    public final Process process() {
        return process;
    }

    /** Returns whether the process runs. */
    public final boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Sends SIGKILL and waits until the process has ended. */
    public final void kill() {
        if (isAlive()) {
            listener.accept("kill", "");
            process.destroyForcibly();
            exited.join();
        }
    }

    /** Sends SIGTERM; the future completes when the process has ended. */
    public final CompletableFuture<Void> term() {
        listener.accept("term", "");
        process.destroy();
        return exited;
    }

    /** Sends a further SIGTERM to a process that has been told to end, unless it has ended. */
    public final void termAgain(Process ending) {
        if (ending == process) {
            signalSender.send("TERM", ending);
        }
    }

    /** Sends SIGTERM, and SIGKILL if the process has not ended after the grace period. */
    public final void termOrKill(double graceMs) {
        if (!isAlive()) {
            return;
        }
        try {
            term().get((long) graceMs, TimeUnit.MILLISECONDS);
        } catch (TimeoutException late) {
            kill();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            kill();
        } catch (ExecutionException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Pauses the process with SIGSTOP until {@link #resume}. */
    public final void pause() {
        paused = true;
        listener.accept("stop", "");
        signalSender.send("STOP", process);
    }

    /** Resumes the process with SIGCONT, unless its CPU limit holds it. */
    public final void resume() {
        paused = false;
        listener.accept("cont", "");
        if (!throttled) {
            signalSender.send("CONT", process);
        }
    }

    /** Stops or continues the process for its CPU limit; a pause by a fault takes precedence. */
    final void setThrottled(boolean throttle) {
        if (throttle != throttled) {
            throttled = throttle;
            if (!paused) {
                signalSender.send(throttle ? "STOP" : "CONT", process);
            }
        }
    }
}
