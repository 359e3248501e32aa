package barleyfall.lab.result;

import barleyfall.lab.experiment.Experiment;
import barleyfall.lab.seen.Event;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The outcome of each client request, over all of its tries. */
final class RequestOutcomes {
    /** One request of a client with all of its tries; {@code servedAtMs} is NaN if it was never served. */
    static final class ClientRequest {
        final double intendedAtMs;
        final int classIndex;
        final int planIndex;
        final long customer;
        final int units;
        /** Whether a single gateway that saw all first tries would have admitted it. */
        boolean withinQuota;
        /** Whether the try that was served was within the quota at its first attempt. */
        boolean sentWithinQuota;
        int tryCount;
        double servedAtMs = Double.NaN;
        String lastOutcome = "unanswered";

        ClientRequest(double intendedAtMs, int classIndex, int planIndex, long customer, int units) {
            this.intendedAtMs = intendedAtMs;
            this.classIndex = classIndex;
            this.planIndex = planIndex;
            this.customer = customer;
            this.units = units;
        }
    }

    /** What is left of a customer's quota. */
    private static final class TokenBucket {
        double levelUnits;
        double updatedAtMs;
    }

    private final Experiment experiment;
    private final Map<Long, ClientRequest> requests = new LinkedHashMap<>();

    /** Evaluates a trace that is in the order of time. */
    RequestOutcomes(Experiment experiment, List<Event> trace) {
        this.experiment = experiment;
        Map<Long, Event.RequestSent> sentTries = new HashMap<>();
        Map<Long, Boolean> sentWithinQuota = new HashMap<>();
        Map<Long, TokenBucket> buckets = new HashMap<>();
        for (Event event : trace) {
            if (event instanceof Event.RequestSent sent) {
                sentTries.put(sent.id(), sent);
                recordTry(sent.firstTryId(), sent.intendedAtMs(), sent.classIndex(), sent.planIndex(),
                    sent.customer(), sent.units());
            } else if (event instanceof Event.RequestNotSent notSent) {
                recordTry(notSent.firstTryId(), notSent.intendedAtMs(), notSent.classIndex(),
                    notSent.planIndex(), notSent.customer(), notSent.units()).lastOutcome = "not taken";
            } else if (event instanceof Event.AttemptReceived attempt && sentTries.containsKey(attempt.id())
                && !sentWithinQuota.containsKey(attempt.id())) {
                Event.RequestSent sent = sentTries.get(attempt.id());
                sentWithinQuota.put(attempt.id(),
                    take(buckets, sent.customer(), sent.planIndex(), sent.units(), attempt.atMs()));
            } else if (event instanceof Event.ResponseReceived response
                && sentTries.containsKey(response.id())) {
                ClientRequest request = requests.get(sentTries.get(response.id()).firstTryId());
                request.lastOutcome = response.outcome();
                if (response.outcome().equals("served") && Double.isNaN(request.servedAtMs)) {
                    request.servedAtMs = response.atMs();
                    request.sentWithinQuota = sentWithinQuota.getOrDefault(response.id(), false);
                }
            }
        }
        markWithinQuota();
    }

    private ClientRequest recordTry(long firstTryId, double intendedAtMs, int classIndex, int planIndex,
        long customer, int units) {
        ClientRequest request = requests.computeIfAbsent(firstTryId,
            id -> new ClientRequest(intendedAtMs, classIndex, planIndex, customer, units));
        request.tryCount++;
        return request;
    }

    /** Marks the requests that a single gateway that saw all first tries would admit. */
    private void markWithinQuota() {
        Map<Long, TokenBucket> buckets = new HashMap<>();
        List<ClientRequest> sorted = new ArrayList<>(requests.values());
        sorted.sort(Comparator.comparingDouble(request -> request.intendedAtMs));
        for (ClientRequest request : sorted) {
            request.withinQuota = take(buckets, request.customer, request.planIndex, request.units,
                request.intendedAtMs);
        }
    }

    /** Takes the units from a customer's token bucket if it holds them; returns whether it did. */
    private boolean take(Map<Long, TokenBucket> buckets, long customer, int planIndex, int units,
        double atMs) {
        Experiment.Plan plan = experiment.plans().get(planIndex);
        TokenBucket bucket = buckets.computeIfAbsent(customer, id -> {
            TokenBucket filled = new TokenBucket();
            filled.levelUnits = plan.burstUnits();
            filled.updatedAtMs = atMs;
            return filled;
        });
        bucket.levelUnits = Math.min(plan.burstUnits(), bucket.levelUnits
            + (atMs - bucket.updatedAtMs) * plan.unitsPerSecond() / 1000);
        bucket.updatedAtMs = atMs;
        boolean withinQuota = bucket.levelUnits >= units;
        bucket.levelUnits -= withinQuota ? units : 0;
        return withinQuota;
    }

    /** Returns the requests whose first try was scheduled within a span, which includes its start. */
    List<ClientRequest> between(double fromMs, double toMs) {
        return requests.values().stream().filter(request -> request.intendedAtMs >= fromMs
            && request.intendedAtMs < toMs).toList();
    }

    /** Returns what a request earns if it is served within the aim. */
    double worth(ClientRequest request) {
        return experiment.classes().get(request.classIndex).worth() * experiment.plans()
            .get(request.planIndex).price() * request.units;
    }

    /**
     * Returns the share of its worth that a request earned: all within the aim, a part until the deadline.
     */
    double earnedFraction(ClientRequest request) {
        Experiment.RequestClass requestClass = experiment.classes().get(request.classIndex);
        if (Double.isNaN(request.servedAtMs)
            || request.servedAtMs > request.intendedAtMs + requestClass.deadlineMs()) {
            return 0;
        }
        return request.servedAtMs <= request.intendedAtMs + requestClass.aimMs() ? 1
            : requestClass.lateShare();
    }

    /**
     * Returns the worth earned divided by the worth offered, at most 1; NaN if nothing was offered. Offered
     * are the requests that a single gateway that saw all first tries would admit. Earned is what was within
     * the quota at its first attempt, whichever of a customer's requests that was.
     */
    double serviceFraction(double fromMs, double toMs) {
        double offeredWorth = 0;
        double earnedWorth = 0;
        for (ClientRequest request : between(fromMs, toMs)) {
            offeredWorth += request.withinQuota ? worth(request) : 0;
            earnedWorth += request.sentWithinQuota ? worth(request) * earnedFraction(request) : 0;
        }
        return offeredWorth > 0 ? Math.min(1, earnedWorth / offeredWorth) : Double.NaN;
    }

    /** Returns the share of the requests within their quotas that were served in time, unweighted. */
    double servedFraction(double fromMs, double toMs) {
        long withinQuotaCount = 0;
        long servedCount = 0;
        for (ClientRequest request : between(fromMs, toMs)) {
            if (request.withinQuota) {
                withinQuotaCount++;
                servedCount += earnedFraction(request) >= 1 ? 1 : 0;
            }
        }
        return withinQuotaCount > 0 ? servedCount / (double) withinQuotaCount : Double.NaN;
    }
}
