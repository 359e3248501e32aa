package barleyfall.lab.experiment;

import barleyfall.common.toml.Range;
import java.util.List;
import java.util.Map;

/**
 * One experiment, as its file states it. All times are milliseconds, all shares run from 0 to 1; ranges are
 * drawn from once for each party, from the seed.
 */
public record Experiment(String file, String title, double length, long seed, String run, Topology topology,
    Delays delays, Limits limits, Servers servers, Counter counter, Discovery discovery, Load load,
    List<Plan> plans, List<RequestClass> classes, List<Fault> faults, List<Expectation> expectations) {

    /** Zones are dealt to edge nodes and flag servers in turn; each zone belongs to one region at most. */
    public record Topology(int edges, int servers, List<String> zones, Map<String, List<String>> regions) {
        /** The region of a zone, or its own name where none is stated. */
        public String region(String zone) {
            return regions.entrySet().stream().filter(r -> r.getValue().contains(zone)).map(Map.Entry::getKey)
                .findFirst().orElse(zone);
        }
    }

    /** One way, in ms; jitter is the largest share that a single delivery is late by. */
    public record Delays(Range sameZone, Range crossZone, Range crossRegion, Range client, double jitter) { }

    /** For each edge node: cores (0 or above 1 is no limit), memory in MB, descriptors. */
    public record Limits(double cores, int memoryMb, int sockets) { }

    /**
     * What a flag server is like; a core does speed ms of work in a ms, and a cold one coldFrom of that at
     * first. Queue and slots are for each core, connections too; a report is made every period and seen
     * after delay.
     */
    public record Servers(int cores, Range speed, double slots, double queue, double connections,
        Range handshake,
        double idle, Range coldFrom, Range coldFor, double fallFactor, double fallFor, double errors,
        double probeWork, Range reportEvery, Range reportLate, double noise, boolean dropsExpired,
        double thrashAt, double thrash) { }

    /** The shared counter: calls a second that it serves, ms beside the way, calls that may wait. */
    public record Counter(double rate, double call, int queue, double limit) { }

    /**
     * How late a list is told, how late a silent death is noticed, how late an added server is listed; by so
     * many replicas of the list service, 0 for the lab's own agents; guard: the share of the members that may
     * be lost at once before the list service holds their leases.
     */
    public record Discovery(Range late, Range silentDeath, Range added, int replicas, double guard) { }

    /**
     * Open-loop load: first tries a second over the whole fleet, by as many customers as it takes. Most use a
     * calm share of their quota; some nearly all, some (heavy) times as much, some (spiky) for a few seconds.
     * Skew is the exponent of a customer's spread over its edge nodes, which is drawn anew every shift.
     * Ramp: ms in which the rate rises from a tenth.
     */
    public record Load(double rate, Use use, double skew, Range shift, int retries, String backoff,
        double backoffMs, double honour, Range patience, Range noticeDeath, int mostUnits, double swing,
        double ramp) { }

    /** What part of the customers ask for how much of their quota. */
    public record Use(Range calm, double full, double heavy, Range heavyTimes, double spiky,
        Range spikyTimes) { }

    /** A plan; a rate is units a second of one customer, a burst is in units; a ceiling of 0 is none. */
    public record Plan(String name, double share, double rate, double burst, double price, double overCost,
        double ceilingRate, double ceilingBurst) {
        /** What the ceiling's store may fall below nothing, in units. */
        public double slack(int mostUnits) {
            return ceilingRate > 0 ? Math.max(0.1 * ceilingBurst, mostUnits) : 0;
        }
    }

    /** A class of requests; effect is {@code safe}, {@code keyed} or {@code unsafe}. */
    public record RequestClass(String name, double share, Range work, double cv, double aim, double deadline,
        double worth, double lateShare, String effect, double window) { }

    /**
     * Something that goes wrong from {@code at} for {@code length}; what a kind has no use for is null or 0.
     */
    public record Fault(String name, String kind, double at, double length, String target, String from,
        String to,
        String how, boolean bothWays, double size, double every, double down, String file, int line) {
        /** When it ends. */
        public double end() {
            return at + length;
        }
    }

    /** What is expected; a bound that is not stated is NaN. */
    public record Expectation(String measure, String of, double from, double to, double atLeast,
        double atMost,
        String knownGap, int line) {
        /** Whether a figure is within the bounds; NaN never is. */
        public boolean met(double figure) {
            return !Double.isNaN(figure) && !(figure < atLeast) && !(figure > atMost);
        }
    }
}
