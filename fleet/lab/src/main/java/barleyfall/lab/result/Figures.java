package barleyfall.lab.result;

import barleyfall.lab.experiment.Experiment;
import barleyfall.lab.plan.Plan;
import barleyfall.lab.rules.Violation;
import barleyfall.lab.seen.Event;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** Computes the figures that expectations name from the events of a run. A span includes its start. */
final class Figures {
    private static final double SECOND_MS = 1000;
    /** The service before a fault is measured over this time. */
    private static final double BASELINE_MS = 5000;
    /** Service counts as recovered after so many seconds in a row at this fraction of what it was before. */
    private static final double RECOVERED_FRACTION = 0.9;
    private static final int RECOVERED_SECONDS = 2;

    private final Experiment experiment;
    private final List<Event> trace;
    private final List<Violation> violations;
    private final Map<Integer, String> edgeZones = new HashMap<>();
    final RequestOutcomes outcomes;

    /** Trace and violations have to be in the order of time. */
    Figures(Plan plan, List<Event> trace, List<Violation> violations) {
        this.experiment = plan.experiment();
        this.trace = trace;
        this.violations = violations;
        for (int i = 0; i < experiment.topology().edges(); i++) {
            edgeZones.put(i, plan.zone(i));
        }
        outcomes = new RequestOutcomes(experiment, trace);
    }

    /**
     * Returns the figure of a measure over a span, NaN if there is nothing to measure.
     *
     * @param subject the fault or request class, for measures that need one
     */
    double compute(String measure, String subject, double fromMs, double toMs) {
        return switch (measure) {
            case "rules-broken" -> violations.stream().filter(v -> v.at() >= fromMs && v.at() < toMs).count();
            case "service" -> outcomes.serviceFraction(fromMs, toMs);
            case "served" -> outcomes.servedFraction(fromMs, toMs);
            case "recovery" -> recoveryMs(experiment.faults().stream()
                .filter(fault -> fault.name().equals(subject)).findFirst().orElseThrow());
            case "crossing" -> crossZoneFraction(fromMs, toMs);
            case "counter-calls" -> perRequest(count(Event.CounterCall.class, fromMs, toMs), fromMs, toMs);
            case "attempts" -> perRequest(count(Event.AttemptReceived.class, fromMs, toMs), fromMs, toMs);
            case "handshakes" -> perRequest(count(Event.Handshake.class, fromMs, toMs), fromMs, toMs);
            case "p99" -> latencyPercentileMs(subject, 99, fromMs, toMs);
            case "memory" -> maxMemoryMb(fromMs, toMs);
            case "cpu-per-request" -> perRequest(cpuMs(fromMs, toMs), fromMs, toMs);
            default -> throw new IllegalArgumentException("no measure " + measure);
        };
    }

    private double perRequest(double sum, double fromMs, double toMs) {
        int requestCount = outcomes.between(fromMs, toMs).size();
        return requestCount > 0 ? sum / requestCount : Double.NaN;
    }

    private double count(Class<? extends Event> kind, double fromMs, double toMs) {
        return trace.stream().filter(kind::isInstance)
            .filter(event -> event.atMs() >= fromMs && event.atMs() < toMs).count();
    }

    /** Returns the time from the start of a fault until service recovers, NaN if it does not by the end. */
    private double recoveryMs(Experiment.Fault fault) {
        double baseline = outcomes.serviceFraction(Math.max(0, fault.at() - BASELINE_MS), fault.at());
        int recoveredSeconds = 0;
        for (double fromMs = fault.at(); fromMs + SECOND_MS <= experiment.lengthMs(); fromMs += SECOND_MS) {
            double service = outcomes.serviceFraction(fromMs, fromMs + SECOND_MS);
            recoveredSeconds = Double.isNaN(service) || service >= RECOVERED_FRACTION * baseline
                ? recoveredSeconds + 1 : 0;
            if (recoveredSeconds == RECOVERED_SECONDS) {
                return fromMs + SECOND_MS - RECOVERED_SECONDS * SECOND_MS - fault.at();
            }
        }
        return Double.NaN;
    }

    private double crossZoneFraction(double fromMs, double toMs) {
        int attemptCount = 0;
        int crossZoneCount = 0;
        for (Event event : trace) {
            if (event instanceof Event.AttemptReceived attempt && attempt.atMs() >= fromMs
                && attempt.atMs() < toMs) {
                attemptCount++;
                crossZoneCount += attempt.zone().equals(edgeZones.get(attempt.edge())) ? 0 : 1;
            }
        }
        return attemptCount > 0 ? crossZoneCount / (double) attemptCount : Double.NaN;
    }

    /**
     * Returns the latencies from when a first try was scheduled until the request was served; one that was
     * never served counts with its deadline. Requests beyond the quotas are left out, as they are refused on
     * purpose.
     *
     * @param className the request class, or empty for all
     */
    Histogram latencyMicros(String className, double fromMs, double toMs) {
        Histogram histogram = new Histogram(3_600_000_000L, 3);
        for (RequestOutcomes.ClientRequest request : outcomes.between(fromMs, toMs)) {
            Experiment.RequestClass requestClass = experiment.classes().get(request.classIndex);
            if (request.withinQuota && (className.isEmpty() || requestClass.name().equals(className))) {
                histogram.recordValue((long) (1000 * Math.max(0,
                    (Double.isNaN(request.servedAtMs) ? requestClass.deadlineMs()
                    : request.servedAtMs - request.intendedAtMs))));
            }
        }
        return histogram;
    }

    private double latencyPercentileMs(String className, double percent, double fromMs, double toMs) {
        Histogram histogram = latencyMicros(className, fromMs, toMs);
        return histogram.getTotalCount() > 0 ? histogram.getValueAtPercentile(percent) / 1000 : Double.NaN;
    }

    private double maxMemoryMb(double fromMs, double toMs) {
        return resourceUsage(fromMs, toMs).stream().mapToDouble(Event.ResourceUsage::memoryMb).max()
            .orElse(Double.NaN);
    }

    /** Returns the readings of all edge nodes within a span. */
    List<Event.ResourceUsage> resourceUsage(double fromMs, double toMs) {
        List<Event.ResourceUsage> all = new ArrayList<>();
        for (Event event : trace) {
            if (event instanceof Event.ResourceUsage usage && usage.atMs() >= fromMs && usage.atMs() < toMs) {
                all.add(usage);
            }
        }
        return all;
    }

    /**
     * Returns the CPU time that all edge nodes used within a span, without what a process used before its
     * first reading.
     */
    double cpuMs(double fromMs, double toMs) {
        Map<Long, List<Double>> cpuByProcess = new HashMap<>();
        resourceUsage(fromMs, toMs).forEach(usage -> cpuByProcess.computeIfAbsent(usage.pid(),
            pid -> new ArrayList<>()).add(usage.cpuMs()));
        return cpuByProcess.values().stream()
            .mapToDouble(readings -> Collections.max(readings) - Collections.min(readings)).sum();
    }
}
