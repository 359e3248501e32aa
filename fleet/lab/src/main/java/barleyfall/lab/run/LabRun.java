package barleyfall.lab.run;

import barleyfall.lab.experiment.Experiment;
import barleyfall.lab.net.LabClock;
import barleyfall.lab.plan.Plan;
import barleyfall.lab.process.AddressBlock;
import barleyfall.lab.result.Result;
import barleyfall.lab.result.ResultBuilder;
import barleyfall.lab.rules.RuleChecker;
import barleyfall.lab.rules.RuleLimits;
import barleyfall.lab.rules.Violation;
import barleyfall.lab.seen.Event;
import barleyfall.lab.seen.Trace;
import com.sun.management.OperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs an experiment once. */
public final class LabRun {
    private static final Logger LOG = LoggerFactory.getLogger(LabRun.class);
    /** Name of the file with the events in the folder of a run. */
    public static final String EVENTS_FILE_NAME = "events.jsonl";
    /**
     * A run does not count if the lateness of its first tries, or that of its stand-ins, exceeds this at p99.
     */
    private static final double MAX_LATENESS_MS = 5;
    /** Time between the start of the clock and the start of the load. */
    private static final double START_DELAY_MS = 200;
    /** How long a run waits after the last deadline for late answers. */
    private static final double TAIL_MS = 1000;

    private final Plan plan;
    private final long seed;
    private final Project project;
    private final Path folder;
    private final Consumer<String> progress;

    /** Draws the plan of the run; everything that the run writes goes to the folder, which is created. */
    public LabRun(Experiment experiment, long seed, Project project, Path folder, Consumer<String> progress) {
        plan = Plan.draw(experiment, seed);
        this.seed = seed;
        this.project = EdgeCommand.resolve(experiment, project);
        this.folder = folder;
        this.progress = progress;
    }

    /** Runs the experiment; writes the result and the events to the folder and leaves no process behind. */
    public Result run() throws IOException {
        Files.createDirectories(folder);
        progress.accept("warming up");
        LabWarmUp.run();
        Experiment experiment = plan.experiment();
        Trace trace = new Trace();
        LabClock clock = new LabClock();
        List<String> unsoundReasons = new ArrayList<>();
        Histogram latenessMicros;
        double cpuMs;
        double standInLagMs;
        long injectedFaults;
        try (AddressBlock addresses = AddressBlock.claim()) {
            LabEnvironment environment = new LabEnvironment(plan, clock, addresses, folder, trace);
            try (EdgeProcesses edges =
                new EdgeProcesses(plan, clock, addresses, environment, project, folder, trace)) {
                edges.startAll(progress);
                FaultScheduler faults = new FaultScheduler(plan, clock, environment, edges, trace);
                clock.startLoadIn(START_DELAY_MS);
                faults.schedule();
                double cpuBeforeMs = cpuMs();
                Thread progressThread = startProgressThread(clock, experiment.lengthMs());
                environment.lag.setRecording(true);
                environment.front.play();
                awaitEnd(clock, experiment);
                environment.lag.setRecording(false);
                progressThread.interrupt();
                cpuMs = cpuMs() - cpuBeforeMs;
                unsoundReasons.addAll(faults.stop());
                injectedFaults = edges.injectedFaultCount();
                edges.close(); // what they log at their end counts
                edges.recordViolations();
            } finally {
                environment.stop();
            }
            latenessMicros = environment.front.latenessMicros();
            standInLagMs = environment.lag.lagMs(99);
        }
        List<Event> events = trace.sortedByTime();
        Trace.write(folder.resolve(EVENTS_FILE_NAME), events);
        List<Violation> violations = RuleChecker.check(events, RuleLimits.of(experiment));
        double latenessMs = latenessMicros.getValueAtPercentile(99) / 1000.0;
        if (latenessMs > MAX_LATENESS_MS) {
            unsoundReasons.add(String.format("load was sent late: %.1f ms at p99, %.0f allowed", latenessMs,
                MAX_LATENESS_MS));
        }
        LOG.info("lateness of the load in us: p50 {} p90 {} p95 {} p99 {} p99.9 {} max {}",
            latenessMicros.getValueAtPercentile(50), latenessMicros.getValueAtPercentile(90),
            latenessMicros.getValueAtPercentile(95), latenessMicros.getValueAtPercentile(99),
            latenessMicros.getValueAtPercentile(99.9), latenessMicros.getMaxValue());
        if (standInLagMs > MAX_LATENESS_MS) {
            unsoundReasons.add(String.format("the stand-ins were late: %.1f ms at p99, %.0f allowed",
                standInLagMs, MAX_LATENESS_MS));
        }
        Map<String, Double> extraFigures = new LinkedHashMap<>();
        extraFigures.put("lab-late-p50-ms", latenessMicros.getValueAtPercentile(50) / 1000.0);
        extraFigures.put("lab-late-p99-ms", latenessMs);
        extraFigures.put("stand-ins-late-p99-ms", standInLagMs);
        extraFigures.put("system-call-faults", (double) injectedFaults);
        extraFigures.put("lab-cpu-cores", cpuMs / (experiment.lengthMs() + START_DELAY_MS));
        Result result = new ResultBuilder(plan, events, violations)
            .build(seed, project.root().getFileName().toString(), unsoundReasons, extraFigures);
        result.write(folder);
        return result;
    }

    /** Waits for the end of the experiment and for the answers to the last requests. */
    private void awaitEnd(LabClock clock, Experiment experiment) {
        double longestDeadlineMs =
            experiment.classes().stream().mapToDouble(Experiment.RequestClass::deadlineMs).max().orElse(0);
        double lastArrivalMs = plan.arrivals().isEmpty() ? 0
            : plan.arrivals().get(plan.arrivals().size() - 1).atMs();
        sleepUntil(clock, Math.max(experiment.lengthMs(), lastArrivalMs + longestDeadlineMs + TAIL_MS));
    }

    private static void sleepUntil(LabClock clock, double untilMs) {
        try {
            Thread.sleep((long) Math.max(0, untilMs - clock.nowMs()));
        } catch (InterruptedException stop) {
            Thread.currentThread().interrupt();
        }
    }

    private Thread startProgressThread(LabClock clock, double lengthMs) {
        Thread thread = new Thread(() -> {
            for (int second = 0; second * 1000 < lengthMs
                && !Thread.currentThread().isInterrupted(); second++) {
                sleepUntil(clock, second * 1000);
                progress.accept("running: " + second + " of " + Math.round(lengthMs / 1000) + " s");
            }
        }, "progress");
        thread.setDaemon(true);
        thread.start();
        LOG.info("load begins: {} first tries over {} s, plan {}", plan.arrivals().size(), lengthMs / 1000,
            plan.hash());
        return thread;
    }

    private static double cpuMs() {
        return ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class).getProcessCpuTime() / 1e6;
    }
}
