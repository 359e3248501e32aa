// A part of the decisions, whose events and actions Gateway.java declares.
package willowyoke;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.TreeSet;

/** A customer's pending requests and what this gateway knows and holds of its quota. */
final class Customer {
    private static final Comparator<ActiveRequest> EARLIEST_TARGET_FIRST =
        Comparator.<ActiveRequest>comparingDouble(request -> request.targetMs)
            .thenComparingLong(request -> request.serial);

    final String name;
    final long nameHash;
    /** The connection that brought its first request. */
    final long source;
    Gateway.Plan plan;
    /** Over how many gateways the customer's requests are spread. */
    final int gatewayCount;
    /** Pending requests, earliest target first. */
    final TreeSet<ActiveRequest> pending = new TreeSet<>(EARLIEST_TARGET_FIRST);
    /**
     * The slots of the limit on concurrent requests that are held here, each by the epoch of its count.
     */
    final ArrayDeque<Long> slotEpochs = new ArrayDeque<>();
    /** Granted units that the rate has yet to fill, each entry a time (ms) and a number of units. */
    final ArrayDeque<double[]> scheduledCredits = new ArrayDeque<>();
    /** This gateway's share of the customer's traffic (EWMA). */
    double trafficShare;
    /** Granted units that are not spent yet. */
    double credits;
    double creditsUpdatedMs;
    /** The sum of the units in scheduledCredits. */
    double scheduledUnits;
    double pendingUnits;
    double unitsInPeriod;
    /** Units that arrive here in a period (EWMA). */
    double meanUnitsPerPeriod;
    /**
     * Level of the shared bucket in units, as read with the last claim, less what that one was granted.
     */
    double bucketLevel;
    double bucketLevelMs;
    /**
     * The same, less what all gateways probably sent since, judged by what was sent here without a
     * claim.
     */
    double estimatedLevel;
    double estimatedLevelMs;
    /** The running total as the last claim of this gateway left it. */
    double lastTotal;
    /** Units wanted by the claim in flight. */
    double claimedUnits;
    /** Units added to the total by the claim in flight: the claimed and the unreported ones. */
    double addedUnits;
    /** Units spent without a claim, less those added in vain; the next claim adds them to the total. */
    double unreportedUnits;
    /** What the correction in flight adds to the total. */
    double correctionUnits;
    /** The part of the claims that was granted at once (EWMA). */
    double grantedFraction;
    /** The next counter call waits until this time. */
    double nextCallMs;
    /** Until when clients' retries are refused, because a request expired here for lack of quota. */
    double shortOfQuotaUntilMs;
    double lastArrivalMs;
    /** The hard ceiling; it starts empty, as an earlier process may have taken all of it. */
    final TokenBucket ceilingBucket = new TokenBucket();
    /** An equal share of the quota, less all that is sent here. */
    final TokenBucket equalShareBucket = new TokenBucket();
    long claimEpoch;
    /** The offset of the wall clock by which the epoch of the claim was named. */
    double claimClockOffsetMs;
    long requestedSlotEpoch;
    long lastTotalEpoch;
    /** Attempts in flight. */
    int inFlight;
    /** Whether the answer to a claim or to a request for a slot is outstanding. */
    boolean awaitingCounter;
    /** Counter calls for it whose answers are outstanding. */
    int counterCalls;
    boolean inDispatchRing;
    /** When the rate will have refilled all that was sent here. */
    private double refilledMs;

    /** Creates the state of the customer of a request, which is the first one here. */
    Customer(Gateway.Request request, Gateway.Plan plan, double nowMs) {
        name = request.customer();
        this.plan = plan;
        gatewayCount = Math.max(1, request.customerGatewayCount());
        source = request.source();
        nameHash = Subset.key(name);
        lastArrivalMs = ceilingBucket.refilledMs = bucketLevelMs = estimatedLevelMs = creditsUpdatedMs =
            equalShareBucket.refilledMs = nowMs;
        equalShareBucket.tokens = Math.floor(plan.burstUnits() / this.gatewayCount);
        bucketLevel = estimatedLevel = plan.burstUnits();
        trafficShare = 1.0 / this.gatewayCount;
    }

    /** Notes that units of its quota are sent, which an equal share of the rate refills with time. */
    void noteSpent(int units, double nowMs) {
        if (plan.ratePerSecond() > 0) {
            refilledMs = Math.max(nowMs, refilledMs)
                + 1000.0 * units * gatewayCount / plan.ratePerSecond();
        }
    }

    /** Whether nothing is open, nor held or owed on the shared counter, nor missing from its quota. */
    boolean isForgettable(double nowMs) {
        return isUnused() && counterCalls == 0 && !inDispatchRing && nowMs >= refilledMs;
    }

    /** Whether no request is open, and no slot is held or asked for. */
    boolean isUnused() {
        return pending.isEmpty() && inFlight == 0 && !awaitingCounter && slotEpochs.isEmpty();
    }
}
