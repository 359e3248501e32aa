package barleyfall.lab.experiment;

import barleyfall.common.toml.Range;
import java.util.List;
import java.util.Map;

/**
 * An experiment as its TOML file describes it. All times are in milliseconds, all fractions run from 0 to 1.
 * A {@link Range} is sampled once for each component that it applies to, from the seed.
 *
 * @param file name of the file, for messages
 * @param lengthMs how long the load is generated
 * @param edgeCommand what runs as the edge nodes: empty for the project's own, {@code stand-in} or
 * {@code stand-in:DEFECT} for the lab's, otherwise a shell command
 */
public record Experiment(String file, String title, double lengthMs, long seed, String edgeCommand,
    Topology topology, Delays delays, Limits limits, Servers servers, Counter counter, Discovery discovery,
    Load load, List<Plan> plans, List<RequestClass> classes, List<Fault> faults,
    List<Expectation> expectations) {

    /**
     * How many edge nodes and flag servers there are, and where. Zones are assigned to edge nodes and to flag
     * servers round robin; each zone belongs to at most one region.
     */
    public record Topology(int edges, int servers, List<String> zones, Map<String, List<String>> regions) {
        /** Returns the region of a zone, or the zone's own name if the file assigns it to none. */
        public String region(String zone) {
            return regions.entrySet().stream().filter(r -> r.getValue().contains(zone)).map(Map.Entry::getKey)
                .findFirst().orElse(zone);
        }
    }

    /**
     * One-way network delays in ms.
     *
     * @param jitterFraction the largest fraction of its delay by which a single delivery is late
     */
    public record Delays(Range sameZoneMs, Range crossZoneMs, Range crossRegionMs, Range clientMs,
        double jitterFraction) { }

    /**
     * Resource limits of each edge node: CPU cores (0 or more than 1 means no limit), memory in MB and file
     * descriptors.
     */
    public record Limits(double cores, int memoryMb, int descriptors) { }

    /**
     * The model of the flag servers. A warm core of speed 1 does one ms of work per ms.
     *
     * @param coldSpeedFraction fraction of its speed that a cold server has right after a start
     * @param warmUpMs time after which a cold server has its full speed
     * @param overloadFactor a cold server crashes when it is sent more than this multiple of the work that it
     * can do
     * @param overloadWindowMs the time window over which that is measured
     * @param errorFraction fraction of the requests that end with an error
     * @param longValueFraction fraction of the values that are too long to be read at once
     * @param secondAnswerFraction fraction of the answers that come a second time, some milliseconds later
     * @param brokenAnswerFraction fraction of the answers that break off
     * @param reportIntervalMs how often the load report is made
     * @param reportDelayMs how long after that it becomes visible
     * @param reportNoiseFraction largest relative error of the figures in a report
     * @param dropsExpired whether a queued request is dropped when the connection that it came by has closed
     * @param thrashJobsPerCore jobs per core above which the server loses throughput
     * @param maxThrashFraction the largest fraction of its speed that it loses so
     */
    public record Servers(int cores, Range speed, double slotsPerCore, double queuePerCore,
        double connectionsPerCore, Range handshakeMs, double idleTimeoutMs, Range coldSpeedFraction,
        Range warmUpMs, double overloadFactor, double overloadWindowMs, double errorFraction,
        double longValueFraction, double secondAnswerFraction, double brokenAnswerFraction,
        double probeWorkMs, Range reportIntervalMs, Range reportDelayMs, double reportNoiseFraction,
        boolean dropsExpired, double thrashJobsPerCore, double maxThrashFraction) { }

    /**
     * The shared counter.
     *
     * @param callsPerSecond calls that it serves
     * @param callMs latency of a call, in addition to the network delay
     * @param maxQueuedCalls calls that may wait
     * @param timeoutMs after this time an edge node gives up a call
     */
    public record Counter(double callsPerSecond, double callMs, int maxQueuedCalls, double timeoutMs) { }

    /**
     * Discovery.
     *
     * @param propagationMs delay until a change of the list reaches an edge node
     * @param deathDetectionMs delay until a server that died without deregistering is removed
     * @param registrationMs delay until a started server is listed
     * @param replicas replicas of the list service, 0 for the lab's own agents
     * @param guardFraction fraction of the members that may be lost at once before the list service keeps
     * their leases
     */
    public record Discovery(Range propagationMs, Range deathDetectionMs, Range registrationMs, int replicas,
        double guardFraction) { }

    /**
     * Open-loop load.
     *
     * @param requestsPerSecond first tries over all edge nodes, from as many customers as that rate needs
     * @param skew exponent of the Zipf-like distribution of a customer's requests over its edge nodes
     * @param shiftIntervalMs how often that distribution is drawn again
     * @param maxRetries retries that a client makes at most
     * @param backoff {@code none}, {@code fixed} or {@code exp}
     * @param honoursBusyFraction fraction of the tries that respect the retry-after time of a refusal
     * @param patienceFraction fraction of the deadline that a client waits for an answer
     * @param deathNoticeMs how long the front takes to notice that an edge node has died
     * @param maxUnits largest number of units of a request
     * @param swingFraction amplitude of the periodic variation of a customer's rate
     * @param rampMs time over which the rate rises from a tenth to all of it
     * @param leaveFraction fraction of the tries whose client closes its connection before its time is over
     * @param piecesFraction fraction of the commands that are written in pieces, with pauses between them
     * @param pipelineFraction fraction of the commands that are written behind others that are open, and
     *     together with others
     */
    public record Load(double requestsPerSecond, QuotaUse quotaUse, double skew, Range shiftIntervalMs,
        int maxRetries, String backoff, double firstBackoffMs, double honoursBusyFraction,
        Range patienceFraction, Range deathNoticeMs, int maxUnits, double swingFraction, double rampMs,
        double leaveFraction, double piecesFraction, double pipelineFraction) { }

    /**
     * How much of their quota the customers use. The default is {@code calmFraction} of it. A fraction of the
     * customers ({@code fullFraction}) uses nearly all of it, a second one ({@code heavyFraction}) a multiple
     * of it all the time, a third one ({@code spikyFraction}) a multiple of it for a few seconds at a time.
     */
    public record QuotaUse(Range calmFraction, double fullFraction, double heavyFraction, Range heavyFactor,
        double spikyFraction, Range spikyFactor) { }

    /**
     * A customer plan. Rates are units per second of one customer, bursts are units; a ceiling of 0 means
     * that there is none.
     */
    public record Plan(String name, double share, double unitsPerSecond, double burstUnits, double price,
        double overCost, double ceilingUnitsPerSecond, double ceilingBurstUnits) {
        /** Returns the number of units by which the ceiling's token bucket may go below zero. */
        public double ceilingSlackUnits(int maxUnits) {
            return ceilingUnitsPerSecond > 0 ? Math.max(0.1 * ceilingBurstUnits, maxUnits) : 0;
        }
    }

    /**
     * A class of requests.
     *
     * @param workVariation coefficient of variation of the work
     * @param worth value of one unit that is served within the aim
     * @param lateShare fraction of that value for an answer between the aim and the deadline
     * @param effect {@code safe}, {@code keyed} (has an idempotency key) or {@code unsafe} (must not be
     * repeated)
     * @param repeatWindowMs for how long repeats of a key are recognised
     */
    public record RequestClass(String name, double share, Range workMs, double workVariation, double aimMs,
        double deadlineMs, double worth, double lateShare, String effect, double repeatWindowMs) { }

    /**
     * A fault that lasts from {@code at} for {@code length} (ms). What a kind does not use is null or 0. The
     * plan's hash contains the text form of this record, so its name and its components keep their names.
     *
     * @param how kind of damage to a disk, calls that fail, direction of a step, or further signals
     * @param size strength of the fault, in the unit of its kind
     * @param every interval between the batches of a rolling restart (ms)
     * @param down how long a node is down, or how long a server drains before it is replaced (ms)
     * @param file pattern of the files that are damaged
     * @param line where the fault stands in the experiment's file
     */
    public record Fault(String name, String kind, double at, double length, String target, String from,
        String to, String how, boolean bothWays, double size, double every, double down, String file,
        int line) {
        /** Returns the time at which the fault ends, in ms. */
        public double end() {
            return at + length;
        }
    }

    /**
     * An expected result; a bound that is not stated is NaN.
     *
     * @param subject the fault or the request class that the measure is about, or empty
     * @param knownGap why the expectation is known not to be met, or empty
     */
    public record Expectation(String measure, String subject, double fromMs, double toMs, double atLeast,
        double atMost, String knownGap, int line) {
        /** Returns whether a measured value is within the bounds; NaN never is. */
        public boolean isMetBy(double value) {
            return !Double.isNaN(value) && !(value < atLeast) && !(value > atMost);
        }
    }
}
