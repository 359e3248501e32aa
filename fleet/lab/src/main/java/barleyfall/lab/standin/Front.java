package barleyfall.lab.standin;

import barleyfall.lab.experiment.Experiment;
import barleyfall.lab.net.LabClock;
import barleyfall.lab.net.Link;
import barleyfall.lab.plan.Arrival;
import barleyfall.lab.plan.Plan;
import barleyfall.lab.seen.Event;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * The clients and the front that stands before the edge nodes. First tries are sent at the times that were
 * drawn, whatever became of earlier ones (open loop). A client that was not served retries as its request
 * class allows.
 */
public final class Front {
    private static final double NANOS_PER_MS = 1e6;
    /** Below this the thread spins instead of parking, which is not precise enough. */
    private static final long SPIN_NANOS = 60_000;

    private final Plan plan;
    private final Experiment experiment;
    private final LabClock clock;
    private final RequestLog requests;
    private final Consumer<Event> trace;
    private final ScheduledExecutorService timers;
    private final List<EdgeConnectionPool> pools = new ArrayList<>();
    /** Delays between the time at which a first try was due and the time at which it was handled. */
    private final Histogram startDelayMicros = new ConcurrentHistogram(60_000_000L, 3);
    private volatile boolean stopped;

    /**
     * Creates the front.
     *
     * @param addresses addresses of the edge nodes, by number
     * @param links links to the edge nodes, by number
     */
    public Front(Plan plan, LabClock clock, EventLoopGroup loops, RequestLog requests,
        List<InetSocketAddress> addresses, List<Link> links, ScheduledExecutorService timers,
        Consumer<Event> trace) {
        this.plan = plan;
        this.experiment = plan.experiment();
        this.clock = clock;
        this.requests = requests;
        this.trace = trace;
        this.timers = timers;
        for (int i = 0; i < addresses.size(); i++) {
            double deathNoticeMs = experiment.load().deathNoticeMs()
                .at(plan.randomStreams().of("front n" + i).nextDouble());
            pools.add(new EdgeConnectionPool(this, i, loops.next(), addresses.get(i), links.get(i),
                deathNoticeMs, experiment.limits().descriptors() / 3));
        }
    }

    /** Returns the clock of the run. */
    LabClock clock() {
        return clock;
    }

    /** Returns the log of what clients have sent. */
    RequestLog requests() {
        return requests;
    }

    /** Returns the receiver of what the front observes. */
    Consumer<Event> trace() {
        return trace;
    }

    /** Returns the experiment. */
    Experiment experiment() {
        return experiment;
    }

    /** Returns the plan. */
    Plan plan() {
        return plan;
    }

    /** Returns a future that completes when an edge node has answered its first PING. */
    public CompletableFuture<Void> whenReady(int edge) {
        return pools.get(edge).ready();
    }

    /** Starts to check which edge nodes are up. */
    public void startHealthChecks() {
        pools.forEach(EdgeConnectionPool::startHealthChecks);
    }

    /**
     * Announces a planned restart: 300 ms later the front opens no more connections to the edge node. Those
     * that are open are used for as long as they stay open.
     */
    public void announceRestart(int edge) {
        pools.get(edge).markEnding();
        timers.schedule(pools.get(edge)::markDown, 300, TimeUnit.MILLISECONDS);
    }

    /** Returns whether an edge node answers its health checks and has not been told to end. */
    public boolean isUp(int edge) {
        return pools.get(edge).isUp();
    }

    /** Announces that an edge node is started again, so that it is checked for health. */
    public void announceStart(int edge) {
        pools.get(edge).markStarting();
    }

    /**
     * Returns after what time the client of a try leaves, or a negative number where it stays. It depends on
     * the try's id only.
     */
    double leaveAfterMs(ClientTry clientTry, double remainingMs) {
        SplittableRandom random = new SplittableRandom(clientTry.id());
        boolean leaves = random.nextDouble() < experiment.load().leaveFraction();
        return leaves ? random.nextDouble() * remainingMs : -1;
    }

    /** Returns how the client of a try writes its command; it depends on the try's id only. */
    CommandStyle styleOf(ClientTry clientTry) {
        return CommandStyle.draw(experiment.load(), new SplittableRandom(~clientTry.id()));
    }

    /** Returns whether a try may be written behind others that are open; it depends on its id only. */
    boolean isPipelined(ClientTry clientTry) {
        return new SplittableRandom(clientTry.id() + 1).nextDouble() < experiment.load().pipelineFraction();
    }

    /** Returns how late first tries were handled, in microseconds. */
    public Histogram latenessMicros() {
        return startDelayMicros;
    }

    /** Sends all first tries at their times; returns after the last one. */
    public void play() {
        for (Arrival arrival : plan.arrivals()) {
            for (long waitNanos = clock.nanosUntil(arrival.atMs()); waitNanos > 0;
                waitNanos = clock.nanosUntil(arrival.atMs())) {
                if (waitNanos > SPIN_NANOS) {
                    LockSupport.parkNanos(waitNanos - SPIN_NANOS / 2);
                } else {
                    Thread.onSpinWait();
                }
            }
            if (stopped) {
                return;
            }
            begin(new ClientTry(arrival, 0, arrival.atMs(), arrival.atMs()));
        }
    }

    /** Begins no more tries. */
    public void stop() {
        stopped = true;
        pools.forEach(EdgeConnectionPool::stop);
    }

    /** Records how late a first try is handled. */
    void recordStartDelay(ClientTry clientTry) {
        if (clientTry.tryNumber == 0 && !clientTry.resent) {
            startDelayMicros.recordValue((long) Math.max(0,
                Math.min(59e6, 1000 * (clock.nowMs() - clientTry.scheduledMs))));
        }
    }

    /**
     * Sends a try to the edge node that was drawn for it, or to the next one of the customer's set that is
     * up.
     */
    private void begin(ClientTry clientTry) {
        if (stopped) {
            return;
        }
        int drawnEdge = clientTry.drawnTry().edge();
        var customer = plan.customers().get(clientTry.arrival.customerIndex());
        int edges = experiment.topology().edges();
        int offset = Math.floorMod(drawnEdge - customer.first(), edges);
        for (int i = 0; i < customer.spread(); i++) {
            int edge = (customer.first() + (offset + i) % customer.spread()) % edges;
            if (pools.get(edge).isUp()
                || !clientTry.resent && pools.get(edge).hasConnectionToEndingEdge()) {
                pools.get(edge).submit(clientTry);
                return;
            }
        }
        recordStartDelay(clientTry);
        recordNotTaken(clientTry, drawnEdge, "every edge node of the set is down");
    }

    /** Sends a try to another edge node, as the one that was chosen takes no new connections. */
    void reroute(ClientTry clientTry) {
        begin(clientTry);
    }

    /** Records a try that no edge node took, and ends it. */
    void recordNotTaken(ClientTry clientTry, int edge, String reason) {
        Arrival arrival = clientTry.arrival;
        trace.accept(new Event.RequestNotSent(clock.nowMs(), clientTry.scheduledMs, clientTry.id(),
            arrival.id(), clientTry.tryNumber, edge, plan.customers().get(arrival.customerIndex()).number(),
            plan.customers().get(arrival.customerIndex()).plan(), arrival.classIndex(), arrival.units(),
            reason));
        tryFinished(clientTry, false, true, 0);
    }

    /**
     * Ends a try for its client and schedules the next one, if the request class, the deadline and the
     * client's retry policy allow it.
     *
     * @param notExecuted whether the request was certainly not executed, so that an unsafe one may be
     * repeated
     * @param retryAfterMs time that a refusal asked the client to wait, or 0
     */
    void tryFinished(ClientTry clientTry, boolean served, boolean notExecuted, double retryAfterMs) {
        Experiment.RequestClass requestClass = experiment.classes().get(clientTry.arrival.classIndex());
        if (served || clientTry.tryNumber + 1 >= clientTry.arrival.tries().length
            || requestClass.effect().equals("unsafe") && !notExecuted) {
            return;
        }
        Arrival.Try nextDraw = clientTry.arrival.tries()[clientTry.tryNumber + 1];
        double baseMs = experiment.load().firstBackoffMs() * nextDraw.pause();
        double pauseMs = switch (experiment.load().backoff()) {
            case "none" -> 0;
            case "fixed" -> baseMs;
            default -> baseMs * (1 << clientTry.tryNumber);
        };
        if (retryAfterMs > 0 && nextDraw.honours()) {
            pauseMs = Math.max(pauseMs, retryAfterMs);
        }
        double startMs = clock.nowMs() + pauseMs;
        double deadlineMs = clientTry.arrival.atMs() + requestClass.deadlineMs();
        boolean inWindow = !requestClass.effect().equals("keyed")
            || startMs < clientTry.arrival.atMs() + requestClass.repeatWindowMs();
        if (startMs < deadlineMs && inWindow) {
            ClientTry nextTry = new ClientTry(clientTry.arrival, clientTry.tryNumber + 1, startMs,
                clientTry.arrival.atMs());
            timers.schedule(() -> begin(nextTry), (long) (pauseMs * NANOS_PER_MS), TimeUnit.NANOSECONDS);
        }
    }
}
