// The events, actions and settings of a gateway are declared in Gateway.java.
package willowyoke;

import java.util.*;
import java.util.function.Predicate;

/**
 * Every load balancing and quota decision of one gateway: admission, dispatch order, choice of a flag
 * server, health, retries and the rules that no request may break. It opens no socket and reads no clock or
 * file: the host calls {@link Gateway.Events}, and the policy answers by calling {@link Gateway.Actions}.
 * The same events give the same actions; all randomness comes from one seed.
 *
 * <ul>
 * <li><b>Quota.</b> Each customer has a token bucket (rate and burst of its plan) that all gateways share.
 * Gateways claim units by adding them to a running total on the shared counter; the answer tells how many
 * units were claimed before, and so which of the claimed ones the bucket covers. What it does not cover is
 * given back. Without a call the gateway spends by an estimate of the bucket, or, while the counter is
 * unavailable, its own share of the rate.</li>
 * <li><b>Dispatch.</b> Customers with pending requests are served round-robin, each one's earliest target
 * first, at a send rate that falls when answers are late on all servers (a token bucket with an adaptive
 * rate).</li>
 * <li><b>Server choice.</b> The least loaded server of this gateway's {@link Subset}, under an AIMD
 * concurrency limit per server; failing servers are ejected, restarted ones get a slow start.</li>
 * </ul>
 */
public final class GatewayPolicy implements Gateway.Events {
    // ---- constants ----

    /** Quota shares and counter allowances are recomputed this often. */
    private static final double QUOTA_PERIOD_MS = 250;
    /**
     * The running total of a customer starts anew under another counter id this often. A total is kept for
     * two epochs, as the counter keeps one for 60 s at most.
     */
    private static final double QUOTA_EPOCH_MS = 120 * QUOTA_PERIOD_MS;
    /** EWMA over about the last ten samples: it follows a server within a second of ordinary traffic. */
    private static final double FAST_EWMA_WEIGHT = 0.2;
    /** EWMA for means of whole classes, which move slowly because servers are judged by them. */
    private static final double SLOW_EWMA_WEIGHT = 0.03;
    /**
     * Half-life of the measured slowness of a server that gets no new samples. Other times for which health
     * or a list is distrusted are multiples of it.
     */
    private static final double SLOWNESS_HALF_LIFE_MS = 4000;
    /** First ejection: longer than a short disturbance, short against the time that a client waits. */
    private static final double BASE_EJECTION_MS = 500;
    /** Each further ejection lasts twice as long as the one before, this many times. */
    private static final int MAX_EJECTION_DOUBLINGS = 4;
    /**
     * Factor on a server's concurrency limit for each answer later than a quarter of its target latency. It
     * is mild, as some requests take long on an idle server too.
     */
    private static final double CONCURRENCY_DECREASE_FACTOR = 0.9;
    /**
     * Least step of the send rate for one answer, as a fraction. A late answer takes three such steps down,
     * so the rate falls when a quarter of the answers are late.
     */
    private static final double MIN_SEND_RATE_STEP_FRACTION = 0.03;
    /**
     * Least concurrency limit. Below 1 it is a pause between single attempts; at an eighth there is one
     * attempt in eight half target latencies, which still shows soon that a server has recovered.
     */
    private static final double MIN_CONCURRENCY_LIMIT = 1.0 / 8;
    /**
     * A pending request expires when less than this many mean latencies of its class are left: its answer
     * would be late too often to spend a server on it.
     */
    private static final double EXPIRY_MARGIN_MEAN_LATENCIES = 2;
    /**
     * A granted fraction above this means that the last two claims of a customer were granted wholly or
     * nearly so.
     */
    private static final double CONFIDENT_GRANTED_FRACTION = 0.9;
    /**
     * Counter calls of all gateways together in one period, at the start: the least that a counter serves
     * (380 calls a second). Later the allowance follows what the counter rejects.
     */
    private static final double INITIAL_COUNTER_CALLS_PER_PERIOD = 380 * QUOTA_PERIOD_MS / 1000;
    /**
     * Counter calls in flight at once, at the start: many, as a new gateway has to read the totals of all
     * customers. The counter serves one call after the other, so the last ones of a burst may be late; then
     * the window is cut.
     */
    private static final double INITIAL_COUNTER_CALL_WINDOW = INITIAL_COUNTER_CALLS_PER_PERIOD / 2;
    /** Least number of counter calls that may be in flight at once. */
    private static final double MIN_COUNTER_CALL_WINDOW = 2;
    /** This many consecutive counter calls without an answer are not chance: the counter is unavailable. */
    private static final int COUNTER_OUTAGE_FAILURE_COUNT = 8;
    /**
     * The count of concurrent requests of a customer starts anew under another counter id this often: slots
     * held by a gateway that was killed are forgotten by then.
     */
    private static final double SLOT_EPOCH_MS = 16 * QUOTA_PERIOD_MS;
    /**
     * A class that new settings drop is served for this long: clients stop using it later than it is
     * dropped here.
     */
    private static final double DROPPED_CLASS_GRACE_MS = 5000;
    /**
     * A reserve server stays in use for this long: as long as the measurements that made it necessary
     * count.
     */
    private static final double RESERVE_USE_MS = 2 * SLOWNESS_HALF_LIFE_MS;
    /**
     * This many attempts of a request go to the subset before the reserve is tried: what failed them may
     * affect the whole subset.
     */
    private static final int MAX_SUBSET_ATTEMPTS = 2;
    /**
     * Penalty on the score of a server for each round that its virtual time is ahead: it is used out of
     * turn only where it is better than the others by this much.
     */
    private static final double OUT_OF_TURN_PENALTY_PER_ROUND = 0.3;
    /** A retry that finds no server looks again after this time: a few of the shortest ticks. */
    private static final double RETRY_RECHECK_MS = 25;

    // ---- state ----

    private Gateway.Settings settings;
    private final Gateway.Actions actions;
    private final Random random;
    /** What the wall clock shows more than the clock of the events. */
    private double wallClockOffsetMs;
    private double nowMs;
    private long nextSerial;
    private final Map<String, ClassStats> classes = new HashMap<>();
    private final Map<String, Gateway.Plan> plans = new HashMap<>();
    private final CustomerTable customers = new CustomerTable();
    /** Customers with pending requests, in round-robin order. */
    private final ArrayDeque<Customer> dispatchRing = new ArrayDeque<>();
    private final Map<Long, ActiveRequest> requests = new HashMap<>();
    /** Servers by id; sorted, so that every iteration has the same order. */
    private final Map<String, TrackedServer> servers = new TreeMap<>();
    /** Counter calls in flight by counter id; answers for one id come in the order of the calls. */
    private final Map<Long, ArrayDeque<CounterCall>> counterCalls = new HashMap<>();
    private final TimerQueue timers = new TimerQueue();
    /** When the earliest timer of the host fires; others that were set before it may still fire later. */
    private double armedTimerMs = Double.MAX_VALUE;
    /** Sends a second to warm servers, for a subset share of 1 (EWMA). */
    private double warmSendsPerSecond;
    private double warmSendsInPeriod;
    /** Mean target latency of the classes. */
    private double meanAimMs;
    /** Longest target latency of the classes. */
    private double longestAimMs;
    /** The granted fraction of claims over all customers (EWMA), which a new customer starts with. */
    private double typicalGrantedFraction = 1;
    /** Until when the counter counts as unavailable. */
    private double counterDownUntilMs;
    /** Since when the counter has been unavailable. */
    private double counterDownSinceMs;
    private int consecutiveCounterFailures;
    /** The servers that are listed as up and not detached. */
    private List<TrackedServer> usableServers = List.of();
    private int usableServerCount;
    /** Number of servers in this gateway's subset, counted when the list changes and not with each send. */
    private int subsetSize;
    /** The settings that the subset was computed for. */
    private Gateway.Settings subsetSettings;
    /** The source of a list that is not accepted yet, null where there is none. */
    private Gateway.ListSource suspectListSource;
    private double suspectListSinceMs;
    private long periodCount;
    /** Adaptive rate of the token bucket that every send takes a token from. */
    private double sendRatePerSecond;
    private double sendTokens;
    private double sendTokensRefilledMs;
    /** When dispatch is woken because a token is there again. */
    private double sendWakeMs;
    /** Requests that arrive here a second (EWMA). */
    private double arrivalsPerSecond;
    private double arrivalsInPeriod;
    /** Allowance of counter calls, added each period. */
    private double callsPerPeriod;
    private double callsLeft;
    /** About the allowance at which the counter was last overloaded, 0 while it never was. */
    private double callsPerPeriodAtOverload;
    /** Whether the counter rejected a call in this period. */
    private boolean counterRejectedCalls;
    /** Whether another process has begun to take over from this one. */
    private boolean handedOver;
    private int callsAnsweredInTime;
    private int callsLate;
    /** Limit on the counter calls in flight, raised and cut like a TCP congestion window. */
    private double callWindow = INITIAL_COUNTER_CALL_WINDOW;
    private double nextWindowCutMs;
    private int callsInFlight;
    private double counterBackoffMs = QUOTA_PERIOD_MS;
    private double subscribeBackoffMs = 4 * QUOTA_PERIOD_MS;

    /**
     * What a call to the shared counter is for. The kinds before ACQUIRE_SLOT change a running total of quota
     * units, the others a count of concurrent requests.
     */
    private enum CounterCallKind { CLAIM, CORRECT, RETURN, ACQUIRE_SLOT, RELEASE_SLOT }

    /** A call to the shared counter whose answer is outstanding. */
    private record CounterCall(Customer customer, CounterCallKind kind, double amount) { }

    GatewayPolicy(Gateway.Settings settings, long seed, double nowMs, Gateway.Actions actions) {
        this.actions = actions;
        random = new Random(seed);
        this.nowMs = nowMs;
        applySettings(settings);
        callsPerPeriod = Math.max(1, INITIAL_COUNTER_CALLS_PER_PERIOD / settings.gatewayCount());
        callsLeft = callsPerPeriod;
        schedule(TimerQueue.Kind.QUOTA_PERIOD, nextPeriodMs(), null);
        if (settings.discoveryOnRequest()) {
            this.actions.subscribe();
        }
    }

    /** Takes over new settings; classes that they drop are served for a while, and known plans are kept. */
    private void applySettings(Gateway.Settings newSettings) {
        settings = newSettings;
        classes.values().forEach(
            stats -> stats.servedUntilMs = Math.min(stats.servedUntilMs, nowMs + DROPPED_CLASS_GRACE_MS));
        longestAimMs = meanAimMs = 0;
        for (Gateway.RequestClass definition : newSettings.classes()) {
            ClassStats known = classes.get(definition.name());
            ClassStats stats = new ClassStats(definition);
            stats.meanLatencyMs = known == null ? stats.meanLatencyMs : known.meanLatencyMs;
            classes.put(definition.name(), stats);
            longestAimMs = Math.max(longestAimMs, definition.aimMs());
            meanAimMs += definition.aimMs() / newSettings.classes().size();
        }
        for (Gateway.Plan plan : newSettings.plans()) {
            plans.put(plan.name(), plan);
        }
        customers.forEach(customer -> customer.plan = plans.get(customer.plan.name()));
    }

    // ---- events ----

    @Override public void settingsChanged(double timeMs, Gateway.Settings newSettings) {
        advanceTo(timeMs);
        applySettings(newSettings);
        updateSubset();
        dispatchPending();
    }

    @Override public void serverListUpdated(double timeMs, List<Gateway.Server> list, boolean complete) {
        advanceTo(timeMs);
        if (complete) {
            for (TrackedServer server : servers.values()) {
                server.listed = server.up = false;
            }
        }
        for (Gateway.Server descriptor : list) {
            TrackedServer server = servers.computeIfAbsent(descriptor.id(),
                id -> new TrackedServer(id, settings.gatewayIndex()));
            server.listed = descriptor.state() != Gateway.ServerState.GONE;
            server.up = descriptor.state() == Gateway.ServerState.UP;
            boolean restarted =
                server.descriptor != null && descriptor.startedAtMs() > server.descriptor.startedAtMs();
            server.descriptor = descriptor;
            if (descriptor.startedAtMs() > 0
                && descriptor.startedAtMs() + settings.rules().warmupMs() > nowMs) {
                markCold(server, descriptor.startedAtMs());
            }
            if (restarted) {
                resetHealth(server);
            }
        }
        updateSubset();
        if (periodCount < 4 && usableServerCount > 0) { // no arrival rate is known yet to derive it from
            sendRatePerSecond = Math.max(sendRatePerSecond, initialSendRate());
            sendTokens = Math.max(2, sendRatePerSecond * QUOTA_PERIOD_MS / 1000);
        }
        dispatchPending();
    }

    /**
     * A replica of the list service that lost data may send a list without most servers. A list that lacks
     * more than half of the usable servers is accepted only when a second replica sends such a list too, or
     * the same replica still does after a while. A server that is listed as having left is not missing, so
     * drains take effect at once.
     */
    @Override public boolean acceptsServerList(double timeMs, List<Gateway.Server> list,
        Gateway.ListSource source) {
        Set<String> listedIds = new HashSet<>(list.stream().map(Gateway.Server::id).toList());
        if (source == null
            || 2 * usableServers.stream().filter(server -> !listedIds.contains(server.id)).count()
                <= usableServers.size()) {
            suspectListSource = null;
        } else if (suspectListSource == null) {
            suspectListSource = source;
            suspectListSinceMs = timeMs;
        }
        return suspectListSource == null || !suspectListSource.replica().equals(source.replica())
            || timeMs >= suspectListSinceMs + SLOWNESS_HALF_LIFE_MS;
    }

    /**
     * Recomputes the subset where the usable servers or the settings changed; a new server is last in the
     * order.
     */
    private void updateSubset() {
        List<TrackedServer> usable =
            servers.values().stream().filter(server -> server.up && !server.detached).toList();
        usableServerCount = usable.size();
        if (usable.equals(usableServers) && subsetSettings == settings) {
            return;
        }
        usableServers = usable;
        subsetSettings = settings;
        Map<String, Double> shares = Subset.sharesOf(settings.gatewayIndex(), settings.gatewayCount(),
            usable.stream().map(server -> server.id).toList(),
            usable.stream().mapToDouble(server -> server.descriptor.weight()).toArray());
        subsetSize = shares.size();
        double lastVirtualTime =
            servers.values().stream().mapToDouble(server -> server.virtualTime).max().orElse(0);
        for (TrackedServer server : servers.values()) {
            double share = shares.getOrDefault(server.id, 0.0);
            server.virtualTime = share > 0 && server.subsetShare == 0
                ? lastVirtualTime + random.nextDouble() : server.virtualTime;
            server.subsetShare = share;
        }
    }

    @Override public void detachedServersChanged(double timeMs, Set<String> detachedIds) {
        advanceTo(timeMs);
        for (String detachedId : detachedIds) {
            TrackedServer server =
                servers.computeIfAbsent(detachedId, id -> new TrackedServer(id, settings.gatewayIndex()));
            server.detachedSinceMs = server.detached ? server.detachedSinceMs : nowMs;
            server.detached = true;
        }
        for (TrackedServer server : servers.values()) {
            if (server.detached && !detachedIds.contains(server.id)) {
                attach(server);
            }
        }
        updateSubset();
        dispatchPending();
    }

    /**
     * Puts a detached server back into use. Most are restarted while they are detached: what was measured
     * before no longer holds, and the list may report the restart late, so the server counts as cold.
     */
    private void attach(TrackedServer server) {
        server.detached = false;
        resetHealth(server);
        if (server.descriptor == null || server.descriptor.startedAtMs() < server.detachedSinceMs) {
            markCold(server, nowMs);
        }
    }

    /** Forgets what was measured of a server, as of one that was restarted. */
    private static void resetHealth(TrackedServer server) {
        server.failureScore = server.ejectedUntilMs = server.ejectionDoublings = 0;
        server.slowness = 1;
        server.halfOpen = server.unreachable = false;
        server.classFailures.clear();
    }

    @Override public void drainStarted(double timeMs, double answerByMs) {
        advanceTo(timeMs);
        for (ActiveRequest request : List.copyOf(requests.values())) {
            if (!request.finished && request.deadlineMs > answerByMs) {
                bringForward(request, answerByMs);
            }
        }
    }

    /** Brings the deadline of a request forward; one that has not been sent expires accordingly sooner. */
    private void bringForward(ActiveRequest request, double deadlineMs) {
        boolean waiting = request.customer.pending.remove(request); // it is sorted by the target
        request.deadlineMs = deadlineMs;
        request.targetMs = Math.min(request.targetMs, deadlineMs);
        if (waiting) {
            request.customer.pending.add(request);
            schedule(TimerQueue.Kind.PENDING_EXPIRY, Math.max(nowMs + settings.tickMs(), expiryMs(request)),
                request);
        } else {
            schedule(TimerQueue.Kind.DEADLINE, deadlineMs, request);
        }
    }

    @Override public void handoverStarted(double timeMs) {
        advanceTo(timeMs);
        handedOver = true;
    }

    @Override public boolean knowsServer(String id) {
        TrackedServer server = servers.get(id);
        return server != null && server.descriptor != null;
    }

    @Override public int excludedServerCount(double timeMs) {
        return (int) servers.values().stream()
            .filter(server -> server.listed
                && (!server.up || server.detached || timeMs < server.ejectedUntilMs))
            .count();
    }

    @Override public void discoveryFailed(double timeMs) {
        advanceTo(timeMs);
        if (settings.discoveryOnRequest()) {
            schedule(TimerQueue.Kind.SUBSCRIBE,
                nowMs + subscribeBackoffMs * (0.5 + random.nextDouble()), null);
            subscribeBackoffMs = Math.min(2 * subscribeBackoffMs, 32 * QUOTA_PERIOD_MS);
        }
    }

    @Override public void requestArrived(double timeMs, Gateway.Request arrival) {
        advanceTo(timeMs);
        ClassStats requestClass = classes.get(arrival.requestClass());
        Gateway.Plan plan = plans.get(arrival.plan());
        if (requestClass == null || plan == null || nowMs > requestClass.servedUntilMs) {
            // the settings name no such class or plan, so no quota can be kept for it
            actions.refuse(arrival.id(), 0);
            return;
        }
        Customer customer = customers.find(arrival.customer());
        if (customer == null) {
            if (!customers.makeRoom(arrival.source(), nowMs)) {
                actions.refuse(arrival.id(), refusalPauseMs());
                return;
            }
            customer = newCustomer(arrival, plan);
        }
        customer.lastArrivalMs = nowMs;
        customer.unitsInPeriod += arrival.units();
        arrivalsInPeriod++;
        ActiveRequest request = new ActiveRequest(arrival, requestClass, customer,
            settings.allowed().maxAttempts(), nowMs, nextSerial++);
        requests.put(arrival.id(), request);
        if (arrival.clientRetry() && nowMs < customer.shortOfQuotaUntilMs) {
            // its first try expired here for lack of quota: a fresh request is worth more
            refuseOrFail(request);
            return;
        }
        customer.pending.add(request);
        customer.pendingUnits += arrival.units();
        customers.markActive(customer);
        if (!customer.inDispatchRing) {
            customer.inDispatchRing = true;
            dispatchRing.add(customer);
        }
        dispatchPending();
        if (customer.pending.contains(request)) {
            schedule(TimerQueue.Kind.PENDING_EXPIRY, Math.max(nowMs + settings.tickMs(), expiryMs(request)),
                request);
        }
    }

    private Customer newCustomer(Gateway.Request arrival, Gateway.Plan plan) {
        Customer customer = new Customer(arrival, plan, nowMs);
        customer.credits =
            hasLocalQuota(customer) ? Math.floor(plan.burstUnits() / customer.gatewayCount) : 0;
        customer.grantedFraction = typicalGrantedFraction;
        customers.add(customer);
        return customer;
    }

    @Override public void responseStarted(double timeMs, long id, int attemptIndex) {
        advanceTo(timeMs);
        ActiveRequest request = requests.get(id);
        if (request == null || attemptIndex < 0 || attemptIndex >= request.attempts.size()) {
            return;
        }
        Attempt attempt = request.attempts.get(attemptIndex);
        request.streaming = true;
        if (attempt.outcome == null && !attempt.answerStarted) { // the rest takes as long as the client reads
            attempt.answerStarted = true;
            attempt.server.inFlight.remove(attempt);
            recordOutcome(attempt.server, request.requestClass, Gateway.Outcome.OK, nowMs - attempt.sentMs);
            dispatchPending();
        }
    }

    @Override public void attemptEnded(double timeMs, long id, int attemptIndex, Gateway.Outcome outcome,
        double durationMs, boolean requestDone, int actualUnits, double[] load) {
        advanceTo(timeMs);
        ActiveRequest request = requests.get(id);
        if (request == null || attemptIndex < 0 || attemptIndex >= request.attempts.size()
            || request.attempts.get(attemptIndex).outcome != null) {
            return;
        }
        Attempt attempt = request.attempts.get(attemptIndex);
        attempt.outcome = outcome;
        request.inFlight--;
        request.customer.inFlight--;
        if (!attempt.answerStarted) {
            attempt.server.inFlight.remove(attempt);
            recordOutcome(attempt.server, request.requestClass, outcome, durationMs);
        }
        if (outcome == Gateway.Outcome.OK && actualUnits > 0 && settings.actualUnitsReported()) {
            request.customer.unreportedUnits += actualUnits - request.arrival.units();
        }
        if (requestDone || request.finished) {
            finish(request);
        } else if (request.inFlight == 0) {
            retryOrAnswer(request);
        }
        dispatchPending();
        releaseUnusedSlots(request.customer);
    }

    @Override public void requestCancelled(double timeMs, long id) {
        advanceTo(timeMs);
        ActiveRequest request = requests.get(id);
        if (request != null) {
            finish(request);
        }
    }

    @Override public void timerFired(double timeMs, long token) {
        // a timer that was set before the armed one must not set a further one
        boolean isArmedTimer = timeMs >= armedTimerMs - 1e-3;
        advanceTo(timeMs);
        dispatchPending();
        if (isArmedTimer) {
            armedTimerMs = timers.nextDueMs();
            actions.setTimer(Math.max(0, armedTimerMs - nowMs), 0);
        }
    }

    @Override public void wallClockStepped(double timeMs, double offsetMs) {
        advanceTo(timeMs);
        wallClockOffsetMs = offsetMs;
    }

    @Override public void probeEnded(double timeMs, String server, Gateway.Outcome outcome, double durationMs,
        double[] load) {
        advanceTo(timeMs);
    }

    @Override public void counterCallEnded(double timeMs, long counterId, Gateway.Outcome outcome,
        double durationMs, double total) {
        advanceTo(timeMs);
        ArrayDeque<CounterCall> callsForId = counterCalls.get(counterId);
        if (callsForId == null) {
            return;
        }
        CounterCall call = callsForId.poll();
        if (callsForId.isEmpty()) {
            counterCalls.remove(counterId);
        }
        Customer customer = call.customer;
        customer.counterCalls--;
        boolean answered = outcome == Gateway.Outcome.OK;
        // a broken connection is no sign of an overloaded counter, nor of one that is unavailable
        consecutiveCounterFailures =
            answered ? 0 : consecutiveCounterFailures + (outcome == Gateway.Outcome.RESET ? 0 : 1);
        callsInFlight--;
        if (outcome == Gateway.Outcome.BUSY || outcome == Gateway.Outcome.TIMEOUT
            || answered && durationMs > settings.allowed().counterTimeoutMs()) {
            counterRejectedCalls |= outcome == Gateway.Outcome.BUSY;
            callsLate++;
            if (nowMs >= nextWindowCutMs) { // one cut for all calls that were in flight together
                callWindow = Math.max(MIN_COUNTER_CALL_WINDOW, callWindow * 0.7);
                nextWindowCutMs = nowMs + settings.allowed().counterTimeoutMs();
            }
        } else if (answered) {
            callsAnsweredInTime++;
            callWindow = Math.min(callWindow + 1 / callWindow, 4 * INITIAL_COUNTER_CALLS_PER_PERIOD);
        }
        if (answered) {
            counterBackoffMs = QUOTA_PERIOD_MS;
        } else if (consecutiveCounterFailures >= COUNTER_OUTAGE_FAILURE_COUNT
            && nowMs >= counterDownUntilMs) {
            counterDownSinceMs = counterBackoffMs == QUOTA_PERIOD_MS ? nowMs : counterDownSinceMs;
            counterDownUntilMs = nowMs + counterBackoffMs;
            counterBackoffMs = Math.min(2 * counterBackoffMs, 8 * QUOTA_PERIOD_MS);
        }
        switch (call.kind) {
            case CLAIM -> claimAnswered(customer, outcome, total);
            case RETURN -> customer.unreportedUnits -= outcome.neverRan ? call.amount : 0;
            case CORRECT -> correctionAnswered(customer, answered, total);
            case ACQUIRE_SLOT -> slotAnswered(customer, answered, total);
            default -> { }
        }
        dispatchPending();
        releaseUnusedSlots(customer);
    }

    // ---- quota: claims on the shared counter, credits, estimates ----

    /**
     * The start of the next period here: gateways spread theirs, or the counter would get all calls at
     * once.
     */
    private double nextPeriodMs() {
        double phaseMs = QUOTA_PERIOD_MS * settings.gatewayIndex() / settings.gatewayCount();
        // the 1e-5 keeps rounding from returning the current time
        return (Math.floor((nowMs - phaseMs) / QUOTA_PERIOD_MS + 1e-5) + 1) * QUOTA_PERIOD_MS + phaseMs;
    }

    /**
     * Whether this gateway keeps the quota by itself: without a counter, or as the customer's only gateway.
     */
    private boolean hasLocalQuota(Customer customer) {
        return !settings.allowed().counter() || customer.gatewayCount == 1;
    }

    /** Whether the counter counts as available and the allowance of this period has a call left. */
    private boolean mayCallCounter() {
        return nowMs >= counterDownUntilMs && callsLeft >= 1;
    }

    /**
     * Updates the rates and the allowance of counter calls, then claims or gives back quota for each
     * customer.
     */
    private void startPeriod() {
        schedule(TimerQueue.Kind.QUOTA_PERIOD, nextPeriodMs(), null);
        double warmShare = usableServers.stream().filter(server -> warmth(server) >= 1)
            .mapToDouble(server -> server.subsetShare).sum();
        if (warmShare > 0) {
            warmSendsPerSecond += (warmSendsInPeriod * 1000 / QUOTA_PERIOD_MS / warmShare
                - warmSendsPerSecond) * FAST_EWMA_WEIGHT;
        }
        warmSendsInPeriod = 0;
        arrivalsPerSecond += (arrivalsInPeriod * 1000 / QUOTA_PERIOD_MS - arrivalsPerSecond)
            * Math.max(FAST_EWMA_WEIGHT, 1.0 / ++periodCount);
        arrivalsInPeriod = 0;
        // a few late calls are no overload: the counter serves a burst one after the other
        if (counterRejectedCalls || callsLate > callsAnsweredInTime) {
            // as TCP congestion control: remember the limit that failed and go below it
            callsPerPeriodAtOverload = callsPerPeriod > 0.8 * callsPerPeriodAtOverload
                ? callsPerPeriod : 0.99 * callsPerPeriodAtOverload;
            callsPerPeriod = Math.max(INITIAL_COUNTER_CALLS_PER_PERIOD / settings.gatewayCount() / 16,
                callsPerPeriod * 0.8);
        } else if (callsLeft < Math.max(1, callsPerPeriod)) { // used up, or too little for one call
            // doubled in a second until any call fails; then quickly near the failed limit, slowly past it
            callsPerPeriod *= callsPerPeriodAtOverload == 0 ? 1.2
                : callsPerPeriod < 0.8 * callsPerPeriodAtOverload ? 1.1 : 1.01;
        }
        counterRejectedCalls = false;
        callsAnsweredInTime = callsLate = 0;
        callsLeft = Math.min(4 * callsPerPeriod, callsLeft + callsPerPeriod);
        for (Iterator<Customer> iterator = customers.active(); iterator.hasNext();) {
            Customer customer = iterator.next();
            customer.meanUnitsPerPeriod +=
                (customer.unitsInPeriod - customer.meanUnitsPerPeriod) * FAST_EWMA_WEIGHT;
            customer.unitsInPeriod = 0;
            accrueCredits(customer);
            double missingUnits = Math.floor(customer.meanUnitsPerPeriod) + customer.pendingUnits
                - customer.credits - customer.scheduledUnits;
            if (missingUnits >= 1 && customer.meanUnitsPerPeriod >= 1 && customer.grantedFraction > 0.5) {
                claim(customer, missingUnits);
            } else if (missingUnits <= -1 && !customer.awaitingCounter && mayCallCounter()
                && !hasLocalQuota(customer) && customer.plan.ratePerSecond() > 0) {
                double returnedUnits = Math.min(Math.floor(-missingUnits), Math.floor(customer.credits));
                customer.credits -= returnedUnits;
                callCounter(customer, quotaCounterId(customer, quotaEpoch()), -returnedUnits,
                    CounterCallKind.RETURN);
            }
            if (customer.isUnused() && customer.meanUnitsPerPeriod < 0.1) {
                iterator.remove();
            }
        }
        if (periodCount % 64 == 0) { // an idle customer is dropped once its buckets must be full
            customers.forgetIdleSince(nowMs - QUOTA_EPOCH_MS);
        }
    }

    /** The time that all gateways agree on, whenever each of them started: that of the wall clock. */
    private double sharedMs() {
        return nowMs + wallClockOffsetMs;
    }

    private long quotaEpoch() {
        return (long) Math.floor(sharedMs() / QUOTA_EPOCH_MS);
    }

    /** Adds an amount to a total on the shared counter; the answer comes as {@link #counterCallEnded}. */
    private void callCounter(Customer customer, long counterId, double amount, CounterCallKind kind) {
        callsLeft--;
        callsInFlight++;
        customer.counterCalls++;
        counterCalls.computeIfAbsent(counterId, id -> new ArrayDeque<>())
            .add(new CounterCall(customer, kind, amount));
        actions.addToCounter(counterId, amount,
            kind.ordinal() < CounterCallKind.ACQUIRE_SLOT.ordinal() ? 2 * QUOTA_EPOCH_MS : 2 * SLOT_EPOCH_MS);
    }

    /** The counter id of a customer's running total in a quota epoch; the same at every gateway. */
    private static long quotaCounterId(Customer customer, long epoch) {
        return Subset.mix(customer.nameHash + 2 * epoch) >>> 1;
    }

    /** The counter id of a customer's concurrent requests in a slot epoch; the same at every gateway. */
    private static long slotCounterId(Customer customer, long epoch) {
        return Subset.mix(customer.nameHash + 2 * epoch + 1) >>> 1;
    }

    /**
     * Claims units from the shared quota: adds them, and what is still unreported, to the running total.
     * The total in the answer tells what all gateways added before, and so which of the claimed units the
     * quota covers.
     */
    private void claim(Customer customer, double units) {
        if (customer.awaitingCounter || hasLocalQuota(customer) || customer.plan.ratePerSecond() <= 0
            || nowMs < customer.nextCallMs || !mayCallCounter() || callsInFlight >= (int) callWindow) {
            return;
        }
        customer.awaitingCounter = true;
        customer.claimedUnits = units;
        customer.addedUnits = units + customer.unreportedUnits;
        customer.unreportedUnits = 0;
        customer.claimEpoch = quotaEpoch();
        customer.claimClockOffsetMs = wallClockOffsetMs;
        callCounter(customer, quotaCounterId(customer, customer.claimEpoch), customer.addedUnits,
            CounterCallKind.CLAIM);
    }

    /**
     * The units that the quota allows from the start of the epoch of the last claim until now: a burst and
     * the rate since.
     */
    private double unitsAllowedSinceClaimEpoch(Customer customer) {
        double epochStartMs = customer.claimEpoch * QUOTA_EPOCH_MS - customer.claimClockOffsetMs;
        return customer.plan.burstUnits() + customer.plan.ratePerSecond() * (nowMs - epochStartMs) / 1000;
    }

    /** Takes over what a claim was granted, at once or as the rate fills it, and returns the rest. */
    private void claimAnswered(Customer customer, Gateway.Outcome outcome, double total) {
        customer.awaitingCounter = false;
        if (outcome != Gateway.Outcome.OK) {
            // an overloaded counter serves late calls too, so the units count as added unless nothing ran
            customer.unreportedUnits +=
                outcome.neverRan ? customer.addedUnits - customer.claimedUnits : -customer.claimedUnits;
            customer.nextCallMs = nextPeriodMs();
            return;
        }
        double ratePerMs = customer.plan.ratePerSecond() / 1000;
        // the level before this claim; negative where units are claimed that the rate has yet to fill
        double levelBefore = unitsAllowedSinceClaimEpoch(customer) - (total - customer.addedUnits);
        // the bucket holds at most a burst, and at most what was last read of it and the rate since
        double knownLevel = Math.min(customer.plan.burstUnits(),
            Math.max(0, customer.bucketLevel) + ratePerMs * (nowMs - customer.bucketLevelMs));
        // positive: units missing from the total; negative: units beyond what the rate fills within the
        // longest target latency
        double excess = levelBefore - Math.max(-ratePerMs * longestAimMs, Math.min(levelBefore, knownLevel));
        boolean needsCorrection = Math.abs(excess) > customer.plan.burstUnits() / 2;
        if (needsCorrection) { // idle time, a new or lost counter id or lost calls: the total is put right
            customer.correctionUnits = excess;
            callCounter(customer, quotaCounterId(customer, customer.claimEpoch), excess,
                CounterCallKind.CORRECT);
        }
        levelBefore -= (needsCorrection ? excess : Math.max(0, excess))
            + customer.addedUnits - customer.claimedUnits;
        double longestWaitMs = customer.pending.isEmpty() ? 0 : expiryMs(customer.pending.last()) - nowMs;
        double granted = Math.floor(Math.max(0,
            Math.min(customer.claimedUnits, levelBefore + ratePerMs * longestWaitMs)) + 1e-6);
        double grantedNow = Math.floor(Math.max(0, Math.min(granted, levelBefore)) + 1e-6);
        customer.credits += grantedNow;
        for (double unit = grantedNow + 1; unit <= granted; unit++) {
            customer.scheduledCredits.add(new double[] {nowMs + (unit - levelBefore) / ratePerMs, 1});
            customer.scheduledUnits++;
            schedule(TimerQueue.Kind.RETRY, nowMs + (unit - levelBefore) / ratePerMs, null);
        }
        customer.bucketLevel = customer.estimatedLevel = levelBefore - granted;
        if (customer.lastTotalEpoch == customer.claimEpoch && customer.addedUnits > 0) {
            // what this gateway added, of all that was added since its last claim
            customer.trafficShare += (customer.addedUnits
                / Math.max(customer.addedUnits, total - customer.lastTotal) - customer.trafficShare)
                * FAST_EWMA_WEIGHT;
            customer.trafficShare = Math.max(customer.trafficShare, 0.1 / customer.gatewayCount);
        }
        customer.lastTotalEpoch = customer.claimEpoch;
        customer.lastTotal = total + granted - customer.claimedUnits + (needsCorrection ? excess : 0);
        customer.bucketLevelMs = customer.estimatedLevelMs = nowMs;
        // half the weight: claims are few, and the last one tells most
        customer.grantedFraction += (grantedNow / customer.claimedUnits - customer.grantedFraction) / 2;
        typicalGrantedFraction +=
            (grantedNow / customer.claimedUnits - typicalGrantedFraction) * SLOW_EWMA_WEIGHT;
        if (granted < customer.claimedUnits) {
            customer.nextCallMs = nextPeriodMs();
            callCounter(customer, quotaCounterId(customer, customer.claimEpoch),
                granted - customer.claimedUnits, CounterCallKind.RETURN);
        }
    }

    /**
     * Takes a correction back where another gateway has corrected the same excess before: the total then
     * shows it corrected twice.
     */
    private void correctionAnswered(Customer customer, boolean answered, double total) {
        if (answered && customer.correctionUnits > 0
            && unitsAllowedSinceClaimEpoch(customer) - total
                < Math.max(0, customer.bucketLevel) - customer.correctionUnits / 2) {
            callCounter(customer, quotaCounterId(customer, customer.claimEpoch), -customer.correctionUnits,
                CounterCallKind.RETURN);
        }
    }

    /**
     * Adds the scheduled credits that are due. With a local quota, or while the counter is unavailable,
     * also adds this gateway's traffic share of the rate; the share then drifts from the last one measured
     * to an equal one.
     */
    private void accrueCredits(Customer customer) {
        while (!customer.scheduledCredits.isEmpty() && customer.scheduledCredits.peek()[0] <= nowMs + 1e-6) {
            customer.credits += customer.scheduledCredits.peek()[1];
            customer.scheduledUnits -= customer.scheduledCredits.poll()[1];
        }
        if (hasLocalQuota(customer) || nowMs < counterDownUntilMs) {
            double fromMs =
                Math.max(customer.creditsUpdatedMs, hasLocalQuota(customer) ? 0 : counterDownSinceMs);
            double capacity =
                Math.max(settings.maxRequestUnits(), customer.plan.burstUnits() * customer.trafficShare);
            customer.trafficShare += (1.0 / customer.gatewayCount - customer.trafficShare) * SLOW_EWMA_WEIGHT
                * Math.min(1, (nowMs - fromMs) / QUOTA_PERIOD_MS);
            customer.credits = Math.max(customer.credits, Math.min(capacity, customer.credits
                + customer.plan.ratePerSecond() * customer.trafficShare * (nowMs - fromMs) / 1000));
        }
        customer.creditsUpdatedMs = nowMs;
    }

    /**
     * Whether the customer's limit on concurrent requests allows one more here: by a slot counted on the
     * shared counter, or by an equal share of the limit while no call can be made. Where there is no slot,
     * asks the counter for one.
     */
    private boolean hasSlot(Customer customer) {
        if (customer.plan.maxInFlight() <= 0 || customer.inFlight < customer.slotEpochs.size()) {
            return true;
        }
        if (hasLocalQuota(customer) || !mayCallCounter()) {
            // where the equal share is under one: one at a time while the last counts showed room
            return customer.inFlight < customer.plan.maxInFlight() / customer.gatewayCount
                || customer.inFlight == 0 && isWorthTheRisk(customer);
        }
        if (!customer.awaitingCounter && nowMs >= customer.nextCallMs) {
            customer.awaitingCounter = true;
            customer.requestedSlotEpoch = (long) Math.floor(sharedMs() / SLOT_EPOCH_MS);
            callCounter(customer, slotCounterId(customer, customer.requestedSlotEpoch), 1,
                CounterCallKind.ACQUIRE_SLOT);
        }
        return false;
    }

    /** Keeps a requested slot where the count is within the limit; else releases it and tries again later. */
    private void slotAnswered(Customer customer, boolean answered, double total) {
        customer.awaitingCounter = false;
        customer.grantedFraction +=
            answered ? ((total <= customer.plan.maxInFlight() ? 1 : 0) - customer.grantedFraction) / 2 : 0;
        if (answered && total <= customer.plan.maxInFlight()) {
            customer.slotEpochs.add(customer.requestedSlotEpoch);
        } else if (answered) {
            callCounter(customer, slotCounterId(customer, customer.requestedSlotEpoch), -1,
                CounterCallKind.RELEASE_SLOT);
            customer.nextCallMs = nowMs + RETRY_RECHECK_MS;
            schedule(TimerQueue.Kind.RETRY, customer.nextCallMs, null);
        }
    }

    /** Gives back the slots that no request needs; with requests pending they are kept for these. */
    private void releaseUnusedSlots(Customer customer) {
        while (customer.slotEpochs.size() > customer.inFlight && customer.pending.isEmpty()) {
            callCounter(customer, slotCounterId(customer, customer.slotEpochs.poll()), -1,
                CounterCallKind.RELEASE_SLOT);
        }
    }

    /** From when on it is of no use to send a pending request: its answer would probably be late. */
    private double expiryMs(ActiveRequest request) {
        return Math.min(request.targetMs - EXPIRY_MARGIN_MEAN_LATENCIES * request.requestClass.meanLatencyMs,
            request.deadlineMs - 2 * settings.tickMs());
    }

    /**
     * Whether the quota, the ceiling and the limit on concurrent requests let this request go now: by
     * credits, or, where no counter call is made for it, by the estimate of the bucket. Where credits are
     * short, claims more.
     */
    private boolean isAdmitted(Customer customer, ActiveRequest request) {
        accrueCredits(customer);
        if (customer.plan.ratePerSecond() > 0 && customer.credits < request.arrival.units()) {
            if (skipsClaim(customer, request)) {
                return isUnderCeiling(customer, request) && hasSlot(customer);
            }
            double units =
                Math.ceil(customer.pendingUnits - customer.credits - customer.scheduledUnits - 1e-6);
            // no claim where the bucket as last read leaves nothing for this request before it expires
            double levelAtExpiry = customer.bucketLevel + customer.plan.ratePerSecond() / 1000
                * (nowMs - customer.bucketLevelMs + expiryMs(request) - nowMs);
            if (units > 0 && levelAtExpiry >= request.arrival.units()) {
                claim(customer, units);
            }
            if (!isAdmittedByEstimate(customer, request)) {
                return false;
            }
        }
        return isUnderCeiling(customer, request) && hasSlot(customer);
    }

    /**
     * Whether the counter has rejected calls and now allows this gateway fewer calls than it gets requests.
     */
    private boolean areCallsScarce() {
        return callsPerPeriodAtOverload > 0
            && callsPerPeriod < arrivalsPerSecond * QUOTA_PERIOD_MS / 1000;
    }

    /**
     * Whether a request goes without a claim although one could be made. Where calls are scarce, every
     * second request of a customer whose last claims were granted does: its units are reported with the
     * next claim, and the call is saved for a customer that may be out of quota.
     */
    private boolean skipsClaim(Customer customer, ActiveRequest request) {
        return areCallsScarce() && !hasLocalQuota(customer)
            && customer.grantedFraction > CONFIDENT_GRANTED_FRACTION && request.serial % 2 == 0
            && isCoveredByEstimate(customer, request);
    }

    /**
     * Whether a request goes by the estimate because no call can be made. The estimate is the bucket as
     * last read, less what was sent here since divided by this gateway's traffic share. In addition,
     * sending must pay off given the granted fraction of the last claims. For a plan with a hard ceiling an
     * equal share of the quota takes the place of that second condition, so that all gateways together stay
     * within the quota. Where calls are not scarce, the next period brings one, and a request that has the
     * time waits for it.
     */
    private boolean isAdmittedByEstimate(Customer customer, ActiveRequest request) {
        boolean waitsForCall = nowMs >= counterDownUntilMs && !areCallsScarce()
            && expiryMs(request) - nowMs > 2 * QUOTA_PERIOD_MS;
        return !hasLocalQuota(customer) && !customer.awaitingCounter && !mayCallCounter() && !waitsForCall
            && isCoveredByEstimate(customer, request)
            && (customer.plan.ceilingRatePerSecond() > 0
                || isWorthTheRisk(customer) && !request.arrival.clientRetry());
    }

    /**
     * Whether the estimate covers a request, and under a hard ceiling the equal share of the quota does
     * too.
     */
    private boolean isCoveredByEstimate(Customer customer, ActiveRequest request) {
        return estimatedLevel(customer) >= request.arrival.units()
            && (customer.plan.ceilingRatePerSecond() <= 0
                || equalShareTokens(customer) >= request.arrival.units());
    }

    /** What is left of an equal share of the quota, if it had to cover all that is sent here. */
    private double equalShareTokens(Customer customer) {
        return customer.equalShareBucket.refill(nowMs, customer.plan.ratePerSecond() / customer.gatewayCount,
            customer.plan.burstUnits() / customer.gatewayCount);
    }

    /**
     * Whether a request without a confirmed grant is expected to earn more than it costs, by the plan's
     * worth and cost of requests over quota, while the servers keep up with the arrivals.
     */
    private boolean isWorthTheRisk(Customer customer) {
        double cost = customer.plan.overQuotaCost();
        return sendRatePerSecond >= arrivalsPerSecond && customer.grantedFraction
            > cost / (1 + cost - Math.min(customer.plan.overQuotaWorth(), 0.99));
    }

    /** The estimated level of the shared bucket now. */
    private double estimatedLevel(Customer customer) {
        return Math.min(customer.plan.burstUnits(), customer.estimatedLevel
            + customer.plan.ratePerSecond() / 1000 * (nowMs - customer.estimatedLevelMs));
    }

    // ---- dispatch ----

    /**
     * Sends pending requests: customers in turn, the earliest target of each first, while servers have
     * capacity.
     */
    private void dispatchPending() {
        int blocked = 0;
        while (blocked < dispatchRing.size()) {
            Customer customer = dispatchRing.poll();
            if (customer.pending.isEmpty()) {
                customer.inDispatchRing = false;
                continue;
            }
            dispatchRing.add(customer);
            ActiveRequest request = customer.pending.first();
            if (!isAdmitted(customer, request)) {
                blocked++;
                continue;
            }
            TrackedServer server = hasSendToken() ? chooseServer(request) : null;
            if (server == null) {
                return;
            }
            removeFromPending(request);
            customer.noteSpent(request.arrival.units(), nowMs);
            customer.credits -= customer.plan.ratePerSecond() > 0 ? request.arrival.units() : 0;
            customer.ceilingBucket.tokens -= request.arrival.units();
            customer.equalShareBucket.tokens =
                Math.max(0, equalShareTokens(customer) - request.arrival.units());
            if (customer.credits < 0 || nowMs < counterDownUntilMs) { // reported with the next claim
                customer.estimatedLevel =
                    estimatedLevel(customer) - request.arrival.units() / customer.trafficShare;
                customer.estimatedLevelMs = nowMs;
                customer.unreportedUnits +=
                    customer.credits < 0 ? -customer.credits : request.arrival.units();
                customer.credits = Math.max(0, customer.credits);
            }
            schedule(TimerQueue.Kind.DEADLINE, request.deadlineMs, request);
            send(request, server);
            blocked = 0;
        }
    }

    /**
     * Whether the send rate allows an attempt now; if not, dispatch is woken when it does. The rate covers
     * overload of all servers at once, as each server gives a single gateway too few answers for its
     * concurrency limit to react.
     */
    private boolean hasSendToken() {
        double capacity = Math.max(2, sendRatePerSecond * QUOTA_PERIOD_MS / 1000);
        sendTokens =
            Math.min(capacity, sendTokens + sendRatePerSecond * (nowMs - sendTokensRefilledMs) / 1000);
        sendTokensRefilledMs = nowMs;
        if (sendTokens < 1 && nowMs >= sendWakeMs) {
            sendWakeMs = nowMs + Math.max(settings.tickMs(), (1 - sendTokens) / sendRatePerSecond * 1000);
            schedule(TimerQueue.Kind.RETRY, sendWakeMs, null);
        }
        return sendTokens >= 1;
    }

    /**
     * Sends a second that keep two attempts of all gateways in flight at each server, at the assumed mean
     * latency.
     */
    private double initialSendRate() {
        return 2000.0 * usableServerCount / settings.gatewayCount() / (meanAimMs / 8);
    }

    /**
     * Lowers the send rate for a late answer, raises it for a timely one. A gateway with few answers takes
     * larger steps, so that all gateways slow down and recover equally fast.
     */
    private void adaptSendRate(boolean late) {
        double step =
            Math.max(MIN_SEND_RATE_STEP_FRACTION, Math.min(0.25, 1 / Math.max(1, arrivalsPerSecond)));
        sendRatePerSecond =
            late ? sendRatePerSecond * Math.pow(1 - step, 3) : sendRatePerSecond + step * arrivalsPerSecond;
        // never capped under the initial rate: after idle time the arrival rate is low and must not hold
        // requests back
        double maxRate =
            periodCount < 4 ? sendRatePerSecond : Math.max(initialSendRate(), 2 * arrivalsPerSecond);
        sendRatePerSecond =
            Math.max(Math.max(0.1, arrivalsPerSecond / 8), Math.min(sendRatePerSecond, maxRate));
    }

    // ---- server choice and health ----

    /**
     * A server for the next attempt, null where none can take it. The first attempts go to the subset;
     * where none of it can take the request, or those attempts failed, to the reserve: to a server that is
     * in use already, else to the next in this gateway's order.
     */
    private TrackedServer chooseServer(ActiveRequest request) {
        if (request.attempts.size() < MAX_SUBSET_ATTEMPTS) {
            TrackedServer inUse =
                leastLoaded(request, server -> server.subsetShare > 0 || nowMs < server.reserveUseUntilMs);
            return inUse != null ? inUse : nextReserve(request);
        }
        TrackedServer reserveInUse = leastLoaded(request, server -> server.subsetShare == 0
            && nowMs < server.reserveUseUntilMs && !wasTried(request, server));
        TrackedServer reserve = reserveInUse != null ? reserveInUse : nextReserve(request);
        return reserve != null ? reserve
            : leastLoaded(request, server -> server.subsetShare > 0 || nowMs < server.reserveUseUntilMs);
    }

    /**
     * Takes the warm reserve server with the highest rank into use; each gateway ranks the servers
     * differently.
     */
    private TrackedServer nextReserve(ActiveRequest request) {
        TrackedServer best = null;
        for (TrackedServer server : usableServers) {
            if (server.subsetShare == 0 && nowMs >= server.reserveUseUntilMs && warmth(server) >= 1
                && (best == null || server.rank > best.rank) && isAllowed(request, server)
                && hasCapacity(server)) {
                best = server;
            }
        }
        if (best != null) {
            best.reserveUseUntilMs = nowMs + RESERVE_USE_MS;
            best.virtualTime = minVirtualTime(server -> server.subsetShare > 0);
        }
        return best;
    }

    /** The least virtual time of the candidates: the one whose turn it is. */
    private double minVirtualTime(Predicate<TrackedServer> candidates) {
        double least = Double.MAX_VALUE;
        for (TrackedServer server : usableServers) {
            least = candidates.test(server) ? Math.min(least, server.virtualTime) : least;
        }
        return least == Double.MAX_VALUE ? 0 : least;
    }

    private static boolean wasTried(ActiveRequest request, TrackedServer server) {
        return request.attempts.stream().anyMatch(attempt -> attempt.server == server);
    }

    /**
     * The candidate with the lowest score that may get this request: (attempts in flight + 1) x slowness,
     * raised for cold servers, for those ahead of their turn, for those that fail the class, and for those
     * that were tried already.
     */
    private TrackedServer leastLoaded(ActiveRequest request, Predicate<TrackedServer> candidates) {
        TrackedServer best = null;
        double bestScore = 0;
        double minVirtualTime = minVirtualTime(candidates);
        for (TrackedServer server : usableServers) {
            if (!candidates.test(server) || !isAllowed(request, server) || !hasCapacity(server)) {
                continue;
            }
            double score = (server.inFlight.size() + 1) * slowness(server) / Math.sqrt(warmth(server));
            score *= (1 + OUT_OF_TURN_PENALTY_PER_ROUND
                * Math.min(server.virtualTime - minVirtualTime, 2 / OUT_OF_TURN_PENALTY_PER_ROUND))
                * (1 + 8 * failureFraction(server, request.requestClass))
                * (wasTried(request, server) ? 8 : 1);
            if (best == null || score < bestScore) {
                best = server;
                bestScore = score;
            }
        }
        return best;
    }

    /** The fraction of attempts of this class that fail at the server; it decays without new samples. */
    private double failureFraction(TrackedServer server, ClassStats requestClass) {
        double[] measured = server.classFailures.get(requestClass.definition.name());
        return measured == null ? 0
            : measured[0] * Math.pow(0.5, (nowMs - measured[1]) / (4 * SLOWNESS_HALF_LIFE_MS));
    }

    /**
     * How many times slower than usual: the EWMA with its half-life, or what the oldest attempt in flight
     * shows.
     */
    private double slowness(TrackedServer server) {
        double slowness = 1 + (server.slowness - 1)
            * Math.pow(0.5, (nowMs - server.slownessUpdatedMs) / SLOWNESS_HALF_LIFE_MS);
        if (!server.inFlight.isEmpty()) {
            Attempt oldest = server.inFlight.iterator().next();
            slowness = Math.max(slowness,
                (nowMs - oldest.sentMs) / oldest.request.requestClass.meanLatencyMs / 2);
        }
        return slowness;
    }

    /**
     * Whether the concurrency limit allows one more attempt. A limit under 1 is a pause between single
     * attempts, as even one attempt of every gateway can be too much for a server.
     */
    private boolean hasCapacity(TrackedServer server) {
        return server.inFlight.isEmpty()
            ? server.concurrencyLimit >= 1
                || nowMs >= server.lastSentMs + meanAimMs / 2 / server.concurrencyLimit
            : !server.halfOpen && server.inFlight.size() + 1 <= server.concurrencyLimit;
    }

    /**
     * AIMD: raises the concurrency limit where it was reached and the answer was quick, lowers it for a
     * slow one.
     */
    private void adaptConcurrencyLimit(TrackedServer server, ClassStats requestClass, double latencyMs) {
        if (latencyMs <= requestClass.definition.aimMs() / 2) { // ATTEMPT_LATE has counted the later ones
            adaptSendRate(false);
        }
        // a quarter of the target latency; the rest is for the wait here and for another attempt
        if (latencyMs > requestClass.definition.aimMs() / 4) {
            server.concurrencyLimit =
                Math.max(MIN_CONCURRENCY_LIMIT, server.concurrencyLimit * CONCURRENCY_DECREASE_FACTOR);
        } else if (server.inFlight.size() + 1 >= (int) server.concurrencyLimit) {
            server.concurrencyLimit += 1 / Math.max(1, server.concurrencyLimit);
        }
    }

    /** Updates latency, failures and ejection of a server by how an attempt ended. */
    private void recordOutcome(TrackedServer server, ClassStats requestClass, Gateway.Outcome outcome,
        double latencyMs) {
        boolean ok = outcome == Gateway.Outcome.OK;
        if (outcome != Gateway.Outcome.CANCELLED && outcome != Gateway.Outcome.NOT_SENT) {
            server.classFailures.put(requestClass.definition.name(),
                new double[] {(failureFraction(server, requestClass) + (ok ? 0 : 1)) / 2, nowMs});
        }
        switch (outcome) {
            case OK -> {
                recordSlowness(server, latencyMs / requestClass.meanLatencyMs);
                requestClass.meanLatencyMs += (latencyMs - requestClass.meanLatencyMs) * SLOW_EWMA_WEIGHT;
                adaptConcurrencyLimit(server, requestClass, latencyMs);
                if (server.unreachable) {
                    markCold(server, nowMs); // it may have restarted before the list says so
                }
                server.failureScore = 0;
                server.halfOpen = false;
                server.unreachable = false;
                server.ejectionDoublings = 0;
            }
            case TIMEOUT -> {
                recordSlowness(server, Math.max(1, latencyMs / requestClass.meanLatencyMs));
                // the answer would have taken at least this long
                requestClass.meanLatencyMs +=
                    Math.max(0, latencyMs - requestClass.meanLatencyMs) * SLOW_EWMA_WEIGHT;
                adaptConcurrencyLimit(server, requestClass, latencyMs);
                recordFailure(server, 1);
            }
            case BUSY -> {
                recordSlowness(server, 2 * server.slowness);
                recordFailure(server, 0.5);
            }
            // one connection broke: a server that died also refuses new ones
            case RESET -> recordFailure(server, 1);
            case NO_CONNECTION -> {
                server.unreachable = true;
                recordFailure(server, 2);
            }
            default -> { }
        }
    }

    /** Adds a sample to the slowness of a server: a latency over the mean of its class, 30 at most. */
    private void recordSlowness(TrackedServer server, double latencyRatio) {
        server.slowness = 1 + (server.slowness - 1)
            * Math.pow(0.5, (nowMs - server.slownessUpdatedMs) / SLOWNESS_HALF_LIFE_MS);
        server.slowness += (Math.min(latencyRatio, 30) - server.slowness) * FAST_EWMA_WEIGHT;
        server.slownessUpdatedMs = nowMs;
    }

    /**
     * Ejects a server after repeated failures, each time for longer, and never more than half of the
     * servers.
     */
    private void recordFailure(TrackedServer server, double weight) {
        server.failureScore += weight;
        if (server.failureScore < 3 && !server.halfOpen && !(server.unreachable && weight >= 2)
            || nowMs < server.ejectedUntilMs) {
            return;
        }
        if (2 * servers.values().stream()
            .filter(other -> other.up && nowMs < other.ejectedUntilMs).count() + 2 <= usableServerCount) {
            server.ejectedUntilMs = nowMs + BASE_EJECTION_MS * Math.pow(2, server.ejectionDoublings);
            server.ejectionDoublings = Math.min(server.ejectionDoublings + 1, MAX_EJECTION_DOUBLINGS);
            server.halfOpen = true;
        }
    }

    // ---- attempts: sends, retries, answers ----

    /** Sends an attempt and charges it to the rate limits and the order of the servers. */
    private void send(ActiveRequest request, TrackedServer server) {
        // a connection may take a while to open: the attempt must be written before repeats are no longer
        // allowed
        actions.send(request.arrival.id(), server.id, 0, repeatDeadlineMs(request));
        Attempt attempt = new Attempt(request, server, nowMs);
        request.attempts.add(attempt);
        request.inFlight++;
        request.customer.inFlight++;
        server.inFlight.add(attempt);
        server.coldTokens -= 1;
        server.lastSentMs = nowMs;
        warmSendsInPeriod += warmth(server) >= 1 ? 1 : 0;
        server.virtualTime += server.subsetShare > 0 ? 1 / (server.subsetShare * subsetSize) : 1;
        sendTokens--;
        schedule(TimerQueue.Kind.ATTEMPT_LATE, nowMs + request.requestClass.definition.aimMs() / 2, request);
    }

    /**
     * Once every attempt has ended without an answer: retries where that is allowed and of use, else
     * answers.
     */
    private void retryOrAnswer(ActiveRequest request) {
        if (nowMs >= request.targetMs || nowMs >= request.deadlineMs - 2 * settings.tickMs()
            || nowMs >= repeatDeadlineMs(request) || request.attempts.size() >= request.maxAttempts) {
            refuseOrFail(request);
            return;
        }
        // the send rate is the retry budget too, as first attempts and retries take from the same tokens
        TrackedServer server = hasSendToken() ? chooseServer(request) : null;
        if (server == null) {
            schedule(TimerQueue.Kind.RETRY, nowMs + RETRY_RECHECK_MS, request);
        } else {
            send(request, server);
        }
    }

    /** Gives the final answer to a request that no attempt can answer any more. */
    private void refuseOrFail(ActiveRequest request) {
        if (mayRefuse(request)) {
            // a shortage lasts for a while: a client that comes back sooner costs calls and finds no more
            actions.refuse(request.arrival.id(), refusalPauseMs());
        } else {
            actions.fail(request.arrival.id());
        }
        finish(request);
    }

    /** How long a refused client is asked to stay away. */
    private double refusalPauseMs() {
        return settings.allowed().retryAfter() ? settings.allowed().maxRetryAfterMs() : 0;
    }

    /** Ends a request: cancels its attempts where that is allowed, and forgets it when none is in flight. */
    private void finish(ActiveRequest request) {
        for (int i = 0; i < request.attempts.size() && !request.finished && !request.streaming
            && settings.allowed().cancel(); i++) {
            if (request.attempts.get(i).outcome == null) {
                actions.cancel(request.arrival.id(), i);
            }
        }
        request.finished = true;
        removeFromPending(request);
        if (request.inFlight == 0 && requests.remove(request.arrival.id()) != null) {
            timers.requestEnded(request);
        }
    }

    private static void removeFromPending(ActiveRequest request) {
        if (request.customer.pending.remove(request)) {
            request.customer.pendingUnits -= request.arrival.units();
        }
    }

    // ---- rules that every attempt and answer keeps ----

    /** Whether drains, ejections, groups and slow start allow this request to go to this server now. */
    private boolean isAllowed(ActiveRequest request, TrackedServer server) {
        return server.up && !server.detached && nowMs >= server.ejectedUntilMs && isInGroup(request, server)
            && (warmth(server) >= 1 || refillColdTokens(server) >= 1);
    }

    /**
     * Slow start: refills this gateway's token bucket for a cold server. The rate is what the gateway sends
     * to a warm server, scaled to what this one can do. While no server is warm, the last such mean counts:
     * a mean over cold servers would shrink with itself. The bucket starts at a random level under one
     * send, as one send of each gateway at once would be far too much.
     */
    private double refillColdTokens(TrackedServer server) {
        double allowedOverload = Math.max(1, settings.rules().overloadFactor() / 2);
        double sendsPerMs = server.subsetShare * warmSendsPerSecond / 1000 * warmth(server) * allowedOverload;
        server.coldTokens = Math.min(Math.max(1, sendsPerMs * settings.rules().overloadWindowMs()),
            server.coldTokens + sendsPerMs * (nowMs - server.coldTokensRefilledMs));
        server.coldTokensRefilledMs = nowMs;
        return server.coldTokens;
    }

    /** Begins or prolongs the slow start of a server that may have (re)started at the given time. */
    private void markCold(TrackedServer server, double sinceMs) {
        if (warmth(server) >= 1) {
            server.coldTokens = random.nextDouble();
            server.coldTokensRefilledMs = nowMs;
        }
        server.coldSinceMs = Math.max(server.coldSinceMs, sinceMs);
    }

    /**
     * The least capacity that a server can have by now, as a fraction: it rises evenly to 1 when it is
     * warm.
     */
    private double warmth(TrackedServer server) {
        double ageMs = nowMs - server.coldSinceMs;
        double coldFraction = settings.rules().coldCapacityFraction();
        double warmupMs = settings.rules().warmupMs();
        return ageMs >= warmupMs ? 1 : coldFraction + (1 - coldFraction) * Math.max(0, ageMs) / warmupMs;
    }

    /**
     * Until when another attempt may go out, whichever server it goes to; two are never in flight together.
     */
    private double repeatDeadlineMs(ActiveRequest request) {
        OptionalDouble firstRunMs = request.attempts.stream().filter(Attempt::mayHaveRun)
            .mapToDouble(attempt -> attempt.sentMs).min();
        return firstRunMs.isEmpty() ? request.deadlineMs : switch (request.requestClass.definition.effect()) {
            case SAFE -> request.deadlineMs;
            case IDEMPOTENCY_KEY -> firstRunMs.getAsDouble()
                + request.requestClass.definition.repeatWindowMs() - 2 * settings.tickMs();
            case NON_IDEMPOTENT -> Double.NEGATIVE_INFINITY;
        };
    }

    /**
     * Whether the server drops repeats of every attempt that may have run, where the class depends on that.
     */
    private boolean isInGroup(ActiveRequest request, TrackedServer server) {
        Gateway.Group group = request.requestClass.definition.group();
        return request.requestClass.definition.effect() != Gateway.Effect.IDEMPOTENCY_KEY
            || group == Gateway.Group.ALL
            || request.attempts.stream().noneMatch(attempt -> attempt.mayHaveRun()
                && (group == Gateway.Group.ZONE
                    ? !attempt.server.descriptor.zone().equals(server.descriptor.zone())
                    : attempt.server.descriptor.cell() != server.descriptor.cell()));
    }

    /**
     * Whether "busy, retry after" is a correct answer: a retry by the client must be safe or the first run.
     */
    private static boolean mayRefuse(ActiveRequest request) {
        return request.requestClass.definition.effect() == Gateway.Effect.SAFE
            || request.requestClass.definition.effect() == Gateway.Effect.IDEMPOTENCY_KEY
                && request.requestClass.definition.group() == Gateway.Group.ALL
            || request.attempts.stream().noneMatch(Attempt::mayHaveRun);
    }

    /**
     * Whether the hard ceiling of the plan allows a request: this gateway's equal share of it, rounded down
     * and empty at the start, whatever the counter says.
     */
    private boolean isUnderCeiling(Customer customer, ActiveRequest request) {
        if (customer.plan.ceilingRatePerSecond() <= 0) {
            return true;
        }
        // after a handover the next process fills this share
        double ratePerSecond = handedOver ? 0 : customer.plan.ceilingRatePerSecond() / customer.gatewayCount;
        return customer.ceilingBucket.refill(nowMs, ratePerSecond,
            customer.plan.ceilingBurstUnits() / customer.gatewayCount) >= request.arrival.units();
    }

    // ---- timers ----

    /** How many timers are set. */
    int timerCount() {
        return timers.size();
    }

    /** Adds a timer, and arms the host's one where this is the earliest. */
    private void schedule(TimerQueue.Kind kind, double dueMs, ActiveRequest request) {
        timers.add(new TimerQueue.Timer(dueMs, nextSerial++, kind, request));
        if (dueMs < armedTimerMs - 1e-6) {
            armedTimerMs = dueMs;
            actions.setTimer(Math.max(0, armedTimerMs - nowMs), 0);
        }
    }

    /** Begins an event: advances the clock, which never goes back, and runs the timers that are due. */
    private void advanceTo(double timeMs) {
        nowMs = Math.max(nowMs, timeMs);
        for (TimerQueue.Timer timer = timers.pollDue(nowMs); timer != null; timer = timers.pollDue(nowMs)) {
            ActiveRequest request = timer.request();
            switch (timer.kind()) {
                case QUOTA_PERIOD -> startPeriod();
                case SUBSCRIBE -> actions.subscribe();
                case PENDING_EXPIRY -> {
                    if (!request.finished && request.attempts.isEmpty()) {
                        request.customer.shortOfQuotaUntilMs =
                            nowMs + request.requestClass.definition.aimMs();
                        refuseOrFail(request);
                    }
                }
                case ATTEMPT_LATE -> {
                    double lastSentMs = request.attempts.get(request.attempts.size() - 1).sentMs;
                    if (request.inFlight > 0 && !request.streaming
                        && lastSentMs <= nowMs - request.requestClass.definition.aimMs() / 2) {
                        adaptSendRate(true);
                    }
                }
                case DEADLINE -> {
                    if (!request.finished && !request.streaming) {
                        refuseOrFail(request);
                    }
                }
                default -> {
                    if (request != null && !request.finished && request.inFlight == 0) {
                        retryOrAnswer(request);
                    }
                }
            }
        }
    }
}
