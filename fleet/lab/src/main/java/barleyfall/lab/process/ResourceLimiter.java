package barleyfall.lab.process;

import barleyfall.lab.experiment.Experiment;
import barleyfall.lab.net.LabClock;
import barleyfall.lab.seen.Event;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

/**
 * Limits and measures the CPU and memory of each edge node. CPU is a budget that fills with time: a process
 * that has used it up is stopped until the budget has filled again, as cpulimit does. This works in steps of
 * about 10 ms, the resolution of the kernel's CPU accounting.
 */
public final class ResourceLimiter {
    private static final double TURN_MS = 5;
    private static final double METER_INTERVAL_MS = 500;
    /** Longest time (of the wall clock) for which unused CPU budget is kept. */
    private static final double MAX_SAVED_MS = 100;
    private static final double NANOS_PER_MS = 1e6;

    /** The CPU budget of one process. */
    private static final class CpuBudget {
        long pid;
        double creditMs;
        double usedMs;
        double updatedAtMs;
    }

    private final List<EdgeProcess> edges;
    private final Experiment.Limits limits;
    private final LabClock clock;
    private final Consumer<Event> trace;
    private final Map<Integer, CpuBudget> budgets = new HashMap<>();
    private volatile boolean stopping;
    private Thread thread;

    /** CPU is not limited if the limit is 0 or above 1 core. */
    public ResourceLimiter(List<EdgeProcess> edges, Experiment.Limits limits, LabClock clock,
        Consumer<Event> trace) {
        this.edges = edges;
        this.limits = limits;
        this.clock = clock;
        this.trace = trace;
    }

    /** Starts the thread that limits and measures. */
    public void start() {
        thread = new Thread(this::run, "limiter");
        thread.setDaemon(true);
        thread.start();
    }

    /** Stops the thread; processes that it holds continue. */
    public void stop() {
        stopping = true;
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        edges.forEach(edge -> edge.setThrottled(false));
    }

    private void run() {
        double nextMeterMs = Double.NEGATIVE_INFINITY;
        boolean limitsCpu = limits.cores() > 0 && limits.cores() <= 1;
        while (!stopping) {
            boolean measure = clock.nowMs() >= nextMeterMs;
            if (measure) {
                nextMeterMs = clock.nowMs() + METER_INTERVAL_MS;
            }
            for (EdgeProcess edge : edges) {
                if (edge.isAlive() && (limitsCpu || measure)) {
                    updateEdge(edge, limitsCpu, measure);
                }
            }
            LockSupport.parkNanos((long) (TURN_MS * NANOS_PER_MS));
        }
    }

    private void updateEdge(EdgeProcess edge, boolean limitsCpu, boolean measure) {
        long pid = edge.process().pid();
        double cpuMs = ProcStat.cpuMs(pid);
        if (Double.isNaN(cpuMs)) {
            return;
        }
        double nowMs = clock.nowMs();
        CpuBudget budget = budgets.computeIfAbsent(edge.number(), n -> new CpuBudget());
        if (budget.pid != pid) {
            budget.pid = pid;
            budget.creditMs = MAX_SAVED_MS * limits.cores();
            budget.usedMs = 0;
            budget.updatedAtMs = nowMs;
        }
        budget.creditMs = Math.min(MAX_SAVED_MS * limits.cores(), budget.creditMs
            + (nowMs - budget.updatedAtMs) * limits.cores()) - (cpuMs - budget.usedMs);
        budget.usedMs = cpuMs;
        budget.updatedAtMs = nowMs;
        if (limitsCpu) {
            edge.setThrottled(budget.creditMs < 0);
        }
        if (measure) {
            double memoryMb = ProcStat.memoryMb(pid);
            trace.accept(new Event.ResourceUsage(nowMs, edge.number(), pid, cpuMs, memoryMb,
                ProcStat.descriptorCount(pid)));
            if (memoryMb > limits.memoryMb()) {
                edge.reportOverLimit(String.format("%.0f MB resident, %d MB allowed", memoryMb,
                    limits.memoryMb()));
                edge.kill();
            }
        }
    }
}
