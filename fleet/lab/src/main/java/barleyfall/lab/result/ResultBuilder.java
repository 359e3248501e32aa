package barleyfall.lab.result;

import barleyfall.lab.experiment.Experiment;
import barleyfall.lab.plan.Plan;
import barleyfall.lab.rules.Violation;
import barleyfall.lab.seen.Event;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Computes the result of a run from its events and violations. */
public final class ResultBuilder {
    private static final List<String> WHOLE_RUN_MEASURES =
        List.of("crossing", "counter-calls", "attempts", "handshakes", "cpu-per-request", "memory");
    private static final double SECOND_MS = 1000;
    private static final double WORST_SPAN_MS = 10_000;

    private final Plan plan;
    private final Experiment experiment;
    private final List<Event> trace;
    private final List<Violation> violations;
    private final Figures figures;

    /** Trace and violations have to be in the order of time. */
    public ResultBuilder(Plan plan, List<Event> trace, List<Violation> violations) {
        this.plan = plan;
        this.experiment = plan.experiment();
        this.trace = trace;
        this.violations = violations;
        figures = new Figures(plan, trace, violations);
    }

    /**
     * Builds the result.
     *
     * @param build name of the folder that the edge nodes were started from
     * @param unsoundReasons why the run does not count; empty if it does
     * @param extraFigures figures to add to the computed ones
     */
    public Result build(long seed, String build, List<String> unsoundReasons,
        Map<String, Double> extraFigures) {
        Map<String, Double> allFigures = new LinkedHashMap<>();
        allFigures.put("service", nullIfNaN(figures.compute("service", "", 0, experiment.lengthMs())));
        allFigures.put("worst-10-s", nullIfNaN(worstService()));
        allFigures.put("served", nullIfNaN(figures.compute("served", "", 0, experiment.lengthMs())));
        for (String measure : WHOLE_RUN_MEASURES) {
            allFigures.put(measure, nullIfNaN(figures.compute(measure, "", 0, experiment.lengthMs())));
        }
        for (Experiment.RequestClass requestClass : experiment.classes()) {
            Histogram latencyMicros = figures.latencyMicros(requestClass.name(), 0, experiment.lengthMs());
            allFigures.put("p50 " + requestClass.name(), latencyMicros.getValueAtPercentile(50) / 1000.0);
            allFigures.put("p99 " + requestClass.name(), latencyMicros.getValueAtPercentile(99) / 1000.0);
        }
        allFigures.put("wishes-per-s",
            figures.outcomes.between(0, experiment.lengthMs()).size() * SECOND_MS / experiment.lengthMs());
        allFigures.putAll(crossedEnds());
        allFigures.putAll(extraFigures);
        return new Result(experiment.title(), experiment.file(), seed, plan.hash(), build,
            experiment.lengthMs(), unsoundReasons.isEmpty(), unsoundReasons, allFigures,
            expectations(), violations, windows(), servers(), edges(), experiment.faults().stream()
            .map(fault -> new Result.FaultPeriod(fault.name(), fault.kind(), fault.at(), fault.end()))
            .toList());
    }

    /** How many requests crossed the end of their connection, and the longest that one lay unread. */
    private Map<String, Double> crossedEnds() {
        double[] unreadMs = trace.stream().filter(Event.RequestCrossedEnd.class::isInstance)
            .mapToDouble(event -> ((Event.RequestCrossedEnd) event).unreadMs()).toArray();
        return Map.of("crossed-ends", (double) unreadMs.length,
            "crossed-end-unread-max-ms", Arrays.stream(unreadMs).max().orElse(0));
    }

    private List<Result.CheckedExpectation> expectations() {
        return experiment.expectations().stream().map(expectation -> {
            double figure = figures.compute(expectation.measure(), expectation.subject(),
                expectation.fromMs(), expectation.toMs());
            return new Result.CheckedExpectation(expectation.measure(), expectation.subject(),
                expectation.fromMs(), expectation.toMs(), nullIfNaN(expectation.atLeast()),
                nullIfNaN(expectation.atMost()), nullIfNaN(figure), expectation.isMetBy(figure),
                expectation.knownGap());
        }).toList();
    }

    private static Double nullIfNaN(double figure) {
        return Double.isNaN(figure) ? null : figure;
    }

    /** Returns the service in the worst span of 10 s. */
    private double worstService() {
        double worst = Double.NaN;
        for (double fromMs = 0;
            fromMs + Math.min(WORST_SPAN_MS, experiment.lengthMs()) <= experiment.lengthMs();
            fromMs += SECOND_MS) {
            double service = figures.outcomes.serviceFraction(fromMs, fromMs + WORST_SPAN_MS);
            worst = Double.isNaN(worst) || service < worst ? service : worst;
        }
        return worst;
    }

    private List<Result.Window> windows() {
        List<Result.Window> windows = new ArrayList<>();
        for (double startMs = 0; startMs < experiment.lengthMs(); startMs += SECOND_MS) {
            double fromMs = startMs;
            double toMs = startMs + SECOND_MS;
            Histogram latencyMicros = figures.latencyMicros("", fromMs, toMs);
            int attempts = 0;
            int counterCalls = 0;
            for (Event event : trace) {
                if (event.atMs() >= fromMs && event.atMs() < toMs) {
                    attempts += event instanceof Event.AttemptReceived ? 1 : 0;
                    counterCalls += event instanceof Event.CounterCall ? 1 : 0;
                }
            }
            windows.add(new Result.Window(startMs, figures.outcomes.between(startMs, toMs).size(),
                nullIfNaN(figures.outcomes.serviceFraction(startMs, toMs)),
                nullIfNaN(figures.outcomes.servedFraction(startMs, toMs)),
                latencyMicros.getValueAtPercentile(50) / 1000.0,
                latencyMicros.getValueAtPercentile(99) / 1000.0, attempts, counterCalls,
                // readings are half a second apart, so the one before the window covers its start
                figures.cpuMs(fromMs - 500, toMs), zeroIfNone(figures.compute("memory", "", fromMs, toMs)),
                (int) violations.stream()
                    .filter(violation -> violation.at() >= fromMs && violation.at() < toMs).count()));
        }
        return windows;
    }

    private static double zeroIfNone(double figure) {
        return Double.isNaN(figure) ? 0 : figure;
    }

    private List<Result.ServerRow> servers() {
        Map<String, String> zones = new TreeMap<>();
        Map<String, Map<String, Integer>> counts = new HashMap<>();
        for (Event event : trace) {
            if (event instanceof Event.ServerStarted started) {
                zones.put(started.server(), started.zone());
            } else if (event instanceof Event.AttemptReceived attempt) {
                count(counts, attempt.server(), "all");
            } else if (event instanceof Event.AttemptEnded ended) {
                count(counts, ended.server(), ended.outcome());
            } else if (event instanceof Event.Handshake handshake) {
                count(counts, handshake.server(), "handshakes");
            } else if (event instanceof Event.ProbeReceived probe) {
                count(counts, probe.server(), "probes");
            }
        }
        List<Result.ServerRow> rows = new ArrayList<>();
        zones.forEach((server, zone) -> {
            Map<String, Integer> serverCounts = counts.getOrDefault(server, Map.of());
            int served = serverCounts.getOrDefault("served", 0);
            int error = serverCounts.getOrDefault("error", 0);
            int busy = serverCounts.getOrDefault("busy", 0);
            int cancelled = serverCounts.getOrDefault("left", 0);
            rows.add(new Result.ServerRow(server, zone, served, error, busy, cancelled,
                serverCounts.getOrDefault("all", 0) - served - error - busy - cancelled,
                serverCounts.getOrDefault("handshakes", 0), serverCounts.getOrDefault("probes", 0)));
        });
        return rows;
    }

    private static void count(Map<String, Map<String, Integer>> counts, String server, String what) {
        counts.computeIfAbsent(server, s -> new HashMap<>()).merge(what, 1, Integer::sum);
    }

    private List<Result.EdgeRow> edges() {
        int edgeCount = experiment.topology().edges();
        int[] starts = new int[edgeCount];
        int[] received = new int[edgeCount];
        int[] failed = new int[edgeCount]; // a broken value has failed
        Map<String, int[]> responses = Map.of("served", new int[edgeCount], "refused", new int[edgeCount],
            "failed", failed, "broken", failed);
        for (Event event : trace) {
            if (event instanceof Event.ProcessChange change && change.change().equals("started")) {
                starts[change.edge()]++;
            } else if (event instanceof Event.RequestSent sent) {
                received[sent.edge()]++;
            } else if (event instanceof Event.ResponseReceived response) {
                responses.get(response.outcome())[response.edge()]++;
            }
        }
        List<Event.ResourceUsage> usage =
            figures.resourceUsage(Double.NEGATIVE_INFINITY, Double.POSITIVE_INFINITY);
        List<Result.EdgeRow> rows = new ArrayList<>();
        for (int i = 0; i < edgeCount; i++) {
            int edge = i;
            List<Event.ResourceUsage> ownUsage =
                usage.stream().filter(reading -> reading.edge() == edge).toList();
            Map<Long, Double> cpuMsByPid = new HashMap<>();
            ownUsage.forEach(reading -> cpuMsByPid.merge(reading.pid(), reading.cpuMs(), Math::max));
            rows.add(new Result.EdgeRow(i, plan.zone(i), starts[i], received[i], responses.get("served")[i],
                responses.get("refused")[i], responses.get("failed")[i],
                cpuMsByPid.values().stream().mapToDouble(Double::doubleValue).sum(),
                ownUsage.stream().mapToDouble(Event.ResourceUsage::memoryMb).max().orElse(0),
                ownUsage.stream().mapToInt(Event.ResourceUsage::descriptors).max().orElse(0)));
        }
        return rows;
    }
}
