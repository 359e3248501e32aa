package willowyoke;

import java.util.List;
import java.util.Set;

/**
 * The interface between a host, which does the input and output, and the policy module, which makes every
 * decision of one gateway. The host calls {@link Events}; the module responds by calls of {@link Actions}
 * before the event's method returns, or not at all. All times are milliseconds on the host's clock.
 */
public interface Gateway {
    /** How a request may be repeated once an attempt may have run. */
    enum Effect {
        /** May be repeated on any server at any time. */
        SAFE,
        /** May be repeated within the group of servers that recognize its key, for a limited time. */
        IDEMPOTENCY_KEY,
        /** Must not be repeated. */
        NON_IDEMPOTENT
    }

    /** The servers that recognize and drop each other's repeats of a request with an idempotency key. */
    enum Group { ALL, ZONE, CELL }

    /** The state of a flag server according to discovery. */
    enum ServerState {
        /** Takes requests. */
        UP,
        /** Finishes the requests that it has and gets no new ones. */
        DRAINING,
        /** Has left the list. */
        GONE
    }

    /** The result of an attempt, a probe or a call to the shared counter. */
    enum Outcome {
        OK(false), ERROR(false), BUSY(true), TIMEOUT(false), NO_CONNECTION(true), RESET(false),
        CANCELLED(false), NOT_SENT(true);

        /** True where this outcome proves that the request was not executed. */
        public final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }
    }

    /**
     * A class of requests.
     *
     * @param aimMs the target latency
     * @param deadlineMs the longest time that a client waits for an answer
     * @param worth what an answer within the aim earns
     * @param lateWorth the fraction of the worth that an answer after the aim still earns
     * @param repeatWindowMs how long the servers of a group recognize a repeated key
     * @param streamed whether answers may be streamed
     */
    record RequestClass(String name, Effect effect, Group group, double aimMs, double deadlineMs,
        double worth, double lateWorth, double repeatWindowMs, boolean streamed) { }

    /**
     * A customer's plan. A ratePerSecond, maxInFlight or ceilingRatePerSecond of 0 means that there is no
     * such limit.
     *
     * @param ratePerSecond the quota, in units
     * @param burstUnits how much unused quota accumulates
     * @param maxInFlight the most requests of a customer that may be at flag servers at once
     * @param overQuotaWorth what a request beyond the quota earns, where one within it earns 1
     * @param overQuotaCost what a request that is sent beyond the quota costs, on the same scale
     * @param ceilingRatePerSecond the rate, in units, that no customer may exceed, whatever the shared
     *     counter tells
     * @param ceilingSlackUnits the units by which the ceiling may be exceeded
     */
    record Plan(String name, double ratePerSecond, double burstUnits, int maxInFlight, double price,
        double overQuotaWorth, double overQuotaCost, double ceilingRatePerSecond, double ceilingBurstUnits,
        double ceilingSlackUnits) { }

    /**
     * What the site supports or permits.
     *
     * @param probes whether servers may be probed for their load
     * @param cancel whether attempts in flight may be cancelled
     * @param copies whether a second attempt may be sent while the first is in flight
     * @param retryAfter whether a refusal may tell the client when to come back
     * @param peers whether gateways may send messages to each other
     * @param counter whether the gateways share a counter
     * @param maxAttempts the most attempts for one request
     * @param counterTimeoutMs after this time an answer of the counter is late
     */
    record Allowed(boolean probes, boolean cancel, boolean copies, boolean retryAfter, boolean peers,
        boolean counter, int maxAttempts, double maxRetryAfterMs, double counterTimeoutMs) { }

    /**
     * The parameters of the rules that every gateway has to keep.
     *
     * @param answerGraceMs how much later than the deadline an answer may come
     * @param drainGraceMs how long a server that drains may still get requests
     * @param coldCapacityFraction the capacity of a server that has just started, relative to a warm one
     * @param warmupMs the time after its start in which a server reaches its full capacity
     * @param overloadFactor a server that gets more than this multiple of its capacity is overloaded
     * @param overloadWindowMs the length of the time window over which that load is counted
     */
    record Rules(double answerGraceMs, double drainGraceMs, double coldCapacityFraction, double warmupMs,
        double overloadFactor, double overloadWindowMs) { }

    /** What wasted work, probes, counter calls, requests across zones and late failures cost. */
    record Prices(double waste, double probe, double counter, double crossZone, double lateFailure) { }

    /**
     * The configuration of one gateway.
     *
     * @param gatewayIndex the position of this gateway among all gateways, from 0
     * @param gatewayCount the number of gateways
     * @param tickMs the resolution of the host's timers
     * @param discoveryOnRequest whether the server list comes only after {@link Actions#subscribe}
     * @param actualUnitsReported whether the end of an attempt tells how many units the request used
     * @param maxRequestUnits the most units of one request
     * @param loadFields the names of the load figures that servers report, in the order of the arrays
     */
    record Settings(int gatewayIndex, int gatewayCount, String zone, double tickMs,
        boolean discoveryOnRequest, boolean actualUnitsReported, int maxRequestUnits,
        List<String> loadFields, List<RequestClass> classes, List<Plan> plans, Allowed allowed, Rules rules,
        Prices prices) { }

    /**
     * A flag server as it is listed.
     *
     * @param startedAtMs when it started, 0 where that is long ago
     * @param weight the server's part of the load, relative to the other servers
     */
    record Server(String id, int cell, String zone, ServerState state, String kind, double startedAtMs,
        double weight) { }

    /** The replica of the list service that sent a server list, with the epoch and version of the list. */
    record ListSource(String replica, long epoch, long version) { }

    /**
     * A client's request.
     *
     * @param timeoutMs how long the client still waits
     * @param customerGatewayCount the number of gateways that get requests of this customer
     * @param firstGateway the index of the first of these gateways; the others follow it
     * @param clientRetry whether the client has tried this request before
     * @param source the connection on which it came; 0 where the host knows of none
     */
    record Request(long id, String requestClass, String plan, String customer, double timeoutMs, int units,
        int customerGatewayCount, int firstGateway, boolean clientRetry, long source) {

        /** Creates a request of which the host does not know the connection. */
        public Request(long id, String requestClass, String plan, String customer, double timeoutMs,
            int units, int customerGatewayCount, int firstGateway, boolean clientRetry) {
            this(id, requestClass, plan, customer, timeoutMs, units, customerGatewayCount, firstGateway,
                clientRetry, 0);
        }
    }

    /** The events that a host reports to the module. */
    interface Events {
        /**
         * Discovery has sent a list of servers.
         *
         * @param complete true where servers that are not in the list are gone, false where the list has only
         *     the servers that changed
         */
        void serverListUpdated(double nowMs, List<Server> servers, boolean complete);

        /**
         * Returns whether to apply a complete list. Where it is rejected, the host requests the complete list
         * from the next source.
         *
         * @param source who sent the list, null where that is the platform's agent
         */
        boolean acceptsServerList(double nowMs, List<Server> servers, ListSource source);

        /** A call to discovery failed or the subscription was dropped. */
        void discoveryFailed(double nowMs);

        /** A client's request has arrived. */
        void requestArrived(double nowMs, Request request);

        /**
         * The first part of a streamed answer has been passed on to the client, so that no other attempt can
         * answer the request.
         */
        void responseStarted(double nowMs, long id, int attempt);

        /**
         * An attempt has ended.
         *
         * @param attempt the number of the attempt, from 0 in the order of {@link Actions#send}
         * @param requestDone true where the request needs no answer any more
         * @param actualUnits the units that the request used, 0 where that is unknown
         * @param load the server's load figures in the order of {@link Settings#loadFields}, or empty
         */
        void attemptEnded(double nowMs, long id, int attempt, Outcome outcome, double durationMs,
            boolean requestDone, int actualUnits, double[] load);

        /** The request needs no answer any more: its client left, or the host has answered it. */
        void requestCancelled(double nowMs, long id);

        /** A timer that was set with {@link Actions#setTimer} has expired. */
        void timerFired(double nowMs, long token);

        /** A probe has ended. */
        void probeEnded(double nowMs, String server, Outcome outcome, double durationMs, double[] load);

        /**
         * A call to the shared counter has ended.
         *
         * @param total the value of the counter after the addition
         */
        void counterCallEnded(double nowMs, long counterId, Outcome outcome, double durationMs, double total);

        /**
         * The set of servers that an operator has detached has changed.
         *
         * @param servers all detached servers, also such as are not listed
         */
        void detachedServersChanged(double nowMs, Set<String> servers);

        /** The settings have changed. They apply to new requests; open requests keep their old rules. */
        void settingsChanged(double nowMs, Settings settings);

        /**
         * This process is to end. It may be killed soon after the given time, so all requests have to be
         * answered by then, whatever time their clients have left.
         */
        void drainStarted(double nowMs, double answerByMs);

        /**
         * A new process takes over the clients of this one. From here on this gateway's part of what the
         * gateways share accrues to the new process.
         */
        void handoverStarted(double nowMs);

        /**
         * The wall clock has stepped. Gateways that started before and after that have clocks that differ;
         * what they share, such as the names of counters, goes by the wall clock.
         *
         * @param offsetMs what the wall clock shows more than the clock of the events, from here on
         */
        void wallClockStepped(double nowMs, double offsetMs);

        /** Returns whether any list so far has named this server. */
        boolean knowsServer(String server);

        /** Returns how many listed servers get no requests now: detached, draining or ejected. */
        int excludedServerCount(double nowMs);
    }

    /** The actions that the module asks of its host. */
    interface Actions {
        /**
         * Starts the next attempt of a request.
         *
         * @param giveUpAtMs when the attempt times out, 0 where it lasts until the client's timeout
         * @param writeByMs the attempt must not be written to the server after this time
         */
        void send(long id, String server, double giveUpAtMs, double writeByMs);

        /** Cancels an attempt in flight. */
        void cancel(long id, int attempt);

        /** Answers "busy" to the client, to come back after this time where it is above 0. */
        void refuse(long id, double retryAfterMs);

        /** Answers the client with an error. */
        void fail(long id);

        /** Sets a timer, which reports its token to {@link Events#timerFired}. */
        void setTimer(double delayMs, long token);

        /** Asks a server for its load. */
        void probe(String server);

        /** Adds an amount to a value on the shared counter, which forgets the value after a time to live. */
        void addToCounter(long counterId, double amount, double timeToLiveMs);

        /** Asks discovery for the list of servers and its changes. */
        void subscribe();
    }
}
