package barleyfall.lab.experiment;

import barleyfall.common.toml.InvalidFileException;
import barleyfall.common.toml.Table;
import barleyfall.common.toml.Units;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Reads and validates the file of an experiment. An experiment with any problem is refused as a whole. */
public final class ExperimentReader {
    /** The measures of an expectation, each with the key that names its subject, or an empty string. */
    private static final Map<String, String> MEASURES = Map.ofEntries(Map.entry("rules-broken", ""),
        Map.entry("service", ""), Map.entry("served", ""), Map.entry("recovery", "fault"),
        Map.entry("crossing", ""), Map.entry("counter-calls", ""), Map.entry("attempts", ""),
        Map.entry("handshakes", ""), Map.entry("p99", "class"), Map.entry("memory", ""),
        Map.entry("cpu-per-request", ""));
    /** The address block of a run has no addresses for more edge nodes and flag servers than this. */
    private static final int MAX_EDGES = 200;
    private static final int MAX_SERVERS = 1000;
    private static final double MAX_LENGTH_MS = 3_600_000;

    private final String file;

    private ExperimentReader(String file) {
        this.file = file;
    }

    /**
     * Reads a file.
     *
     * @throws InvalidFileException with one line for each problem found
     */
    public static Experiment read(Path path) throws IOException, InvalidFileException {
        return parse(path.toString(), Files.readString(path, StandardCharsets.UTF_8));
    }

    /**
     * Parses the text of a file; the file name is for messages only.
     *
     * @throws InvalidFileException with one line for each problem found
     */
    public static Experiment parse(String file, String text) throws InvalidFileException {
        return Table.read(file, text, new ExperimentReader(file)::readExperiment);
    }

    private Experiment readExperiment(Table table) {
        String title = table.string("title", null);
        if (title == null) {
            table.addProblem("title", "is missing");
        }
        double lengthMs = table.requiredNumber("length", Units.Kind.TIME);
        if (lengthMs > MAX_LENGTH_MS) {
            table.addProblem("length", "must be one hour at most");
        }
        long seed = table.integer("seed", 1, 0, Integer.MAX_VALUE);
        Experiment.Topology topology = readTopology(table.table("topology"));
        Experiment.Delays delays = readDelays(table.table("delays"));
        Table edgeTable = table.table("edge");
        String edgeCommand = edgeTable.string("run", "");
        Experiment.Limits limits = new Experiment.Limits(edgeTable.number("cores", Units.Kind.NUMBER, 0),
            (int) edgeTable.number("memory", Units.Kind.SIZE, 192),
            edgeTable.integer("descriptors", 1024, 64, 65_536));
        Experiment.Servers servers = readServers(table.table("servers"));
        Table counterTable = table.table("counter");
        Experiment.Counter counter = new Experiment.Counter(
            counterTable.number("calls", Units.Kind.RATE, 450),
            counterTable.number("call", Units.Kind.TIME, 1),
            counterTable.integer("queue", 60, 1, 100_000),
            counterTable.number("given_up_after", Units.Kind.TIME, 30));
        Table discoveryTable = table.table("discovery");
        Experiment.Discovery discovery = new Experiment.Discovery(
            discoveryTable.range("late", Units.Kind.TIME, 700, 2000),
            discoveryTable.range("silent_death", Units.Kind.TIME, 4200, 11_000),
            discoveryTable.range("added", Units.Kind.TIME, 700, 2200), readReplicas(discoveryTable),
            discoveryTable.number("guard", Units.Kind.SHARE, 0.5));
        Experiment.Load load = readLoad(table.table("load"));
        List<Experiment.Plan> plans = readPlans(table);
        List<Experiment.RequestClass> classes = readClasses(table);
        List<Experiment.Fault> faults = new ArrayList<>();
        for (Table faultTable : table.tables("fault")) {
            faults.add(FaultReader.read(faultTable, lengthMs, topology, discovery.replicas(),
                faults.size() + 1));
        }
        List<Experiment.Expectation> expectations = new ArrayList<>();
        for (Table expectTable : table.tables("expect")) {
            expectations.add(readExpectation(expectTable, lengthMs, faults, classes));
        }
        checkUniqueNames(table, faults.stream().map(Experiment.Fault::name).toList());
        return new Experiment(file, title, lengthMs, seed, edgeCommand, topology, delays, limits, servers,
            counter, discovery, load, plans, classes, faults, expectations);
    }

    /** Returns the number of replicas of the list service, 0 for the lab's own agents. */
    private static int readReplicas(Table table) {
        boolean agents = table.oneOf("kind", "service", Set.of("service", "agents")).equals("agents");
        int replicas = table.integer("replicas", 1, 1, 5);
        if (replicas % 2 == 0) {
            table.addProblem("replicas", "1, 3 or 5 expected, found " + replicas);
        }
        return agents ? 0 : replicas;
    }

    /** Reports fault names that occur twice. */
    private static void checkUniqueNames(Table table, List<String> names) {
        Set<String> seen = new HashSet<>();
        names.stream().filter(n -> !seen.add(n))
            .forEach(n -> table.addProblem("fault", "two faults are named " + n));
    }

    private static Experiment.Topology readTopology(Table table) {
        List<String> zones = table.strings("zones", List.of("hall-a"));
        Map<String, List<String>> regions = table.stringLists("regions");
        Set<String> placed = new HashSet<>();
        regions.forEach((name, zonesInRegion) -> zonesInRegion.forEach(zone -> {
            if (!zones.contains(zone)) {
                table.addProblem("regions", name + " names the zone " + zone + ", which is not in zones");
            } else if (!placed.add(zone)) {
                table.addProblem("regions", "the zone " + zone + " is in two regions");
            }
        }));
        if (zones.isEmpty()) {
            table.addProblem("zones", "at least one zone is needed");
        }
        return new Experiment.Topology(table.integer("edges", 3, 1, MAX_EDGES),
            table.integer("servers", 8, 1, MAX_SERVERS), zones, regions);
    }

    private static Experiment.Delays readDelays(Table table) {
        return new Experiment.Delays(table.range("same_zone", Units.Kind.TIME, 0.13, 0.34),
            table.range("cross_zone", Units.Kind.TIME, 0.7, 1.3),
            table.range("cross_region", Units.Kind.TIME, 5, 9),
            table.range("client", Units.Kind.TIME, 0.34, 1), table.number("jitter", Units.Kind.SHARE, 0.2));
    }

    private static Experiment.Servers readServers(Table table) {
        return new Experiment.Servers(table.integer("cores", 2, 1, 64),
            table.range("speed", Units.Kind.NUMBER, 0.85, 1.1),
            table.number("slots_per_core", Units.Kind.NUMBER, 4),
            table.number("queue_per_core", Units.Kind.NUMBER, 16),
            table.number("connections_per_core", Units.Kind.NUMBER, 600),
            table.range("handshake", Units.Kind.TIME, 0.26, 1.6),
            table.number("idle", Units.Kind.TIME, 15_000),
            table.range("cold_from", Units.Kind.SHARE, 0.28, 0.48),
            table.range("cold_for", Units.Kind.TIME, 8100, 17_000),
            table.number("falls_at", Units.Kind.NUMBER, 3),
            table.number("falls_within", Units.Kind.TIME, 2000), table.number("errors", Units.Kind.SHARE, 0),
            table.number("long_values", Units.Kind.SHARE, 0),
            table.number("second_answers", Units.Kind.SHARE, 0),
            table.number("broken_answers", Units.Kind.SHARE, 0),
            table.number("probe_work", Units.Kind.TIME, 0.25),
            table.range("report_every", Units.Kind.TIME, 110, 910),
            table.range("report_late", Units.Kind.TIME, 5, 240),
            table.number("noise", Units.Kind.SHARE, 0.08), table.bool("drops_expired", true),
            table.number("thrash_at", Units.Kind.NUMBER, 6), table.number("thrash", Units.Kind.SHARE, 0.15));
    }

    private static Experiment.Load readLoad(Table table) {
        Experiment.QuotaUse quotaUse = new Experiment.QuotaUse(
            table.range("calm_use", Units.Kind.SHARE, 0.17, 0.49),
            table.number("full", Units.Kind.SHARE, 0.14), table.number("heavy", Units.Kind.SHARE, 0.1),
            table.range("heavy_times", Units.Kind.NUMBER, 2.1, 4),
            table.number("spiky", Units.Kind.SHARE, 0.15),
            table.range("spiky_times", Units.Kind.NUMBER, 3.6, 7));
        if (quotaUse.fullFraction() + quotaUse.heavyFraction() + quotaUse.spikyFraction() > 1) {
            table.addProblem("heavy", "the sum of full, heavy and spiky must not exceed 1");
        }
        return new Experiment.Load(table.requiredNumber("requests", Units.Kind.RATE), quotaUse,
            table.number("skew", Units.Kind.NUMBER, 0.8), table.range("shift", Units.Kind.TIME, 7300, 22_000),
            table.integer("retries", 2, 0, 5), table.oneOf("backoff", "exp", Set.of("none", "fixed", "exp")),
            table.number("backoff_first", Units.Kind.TIME, 100),
            table.number("honours_busy", Units.Kind.SHARE, 0.7),
            table.range("patience", Units.Kind.SHARE, 0.5, 1),
            table.range("notices_death", Units.Kind.TIME, 1000, 3700), table.integer("most_units", 6, 1, 100),
            table.number("swing", Units.Kind.SHARE, 0.13), table.number("ramp", Units.Kind.TIME, 0),
            table.number("leave", Units.Kind.SHARE, 0), table.number("pieces", Units.Kind.SHARE, 0),
            table.number("pipeline", Units.Kind.SHARE, 0));
    }

    private List<Experiment.Plan> readPlans(Table table) {
        List<Experiment.Plan> plans = new ArrayList<>();
        for (Table planTable : table.tables("plan")) {
            String name = planTable.string("name", "plan" + plans.size());
            double unitsPerSecond = planTable.requiredNumber("rate", Units.Kind.RATE);
            double ceiling = planTable.number("ceiling", Units.Kind.NUMBER, 0);
            if (ceiling > 0 && ceiling < 1) {
                planTable.addProblem("ceiling", "is a multiple of the quota and must be at least 1");
            }
            double burstUnits = unitsPerSecond * planTable.number("burst", Units.Kind.TIME, 4000) / 1000;
            plans.add(new Experiment.Plan(name, planTable.number("share", Units.Kind.SHARE, 1),
                unitsPerSecond, burstUnits, planTable.number("price", Units.Kind.NUMBER, 1),
                planTable.number("over_cost", Units.Kind.NUMBER, 0.5), ceiling * unitsPerSecond, ceiling
                * burstUnits));
        }
        if (plans.isEmpty()) {
            table.addProblem("plan", "at least one [[plan]] is needed");
        }
        return plans;
    }

    private List<Experiment.RequestClass> readClasses(Table table) {
        List<Experiment.RequestClass> classes = new ArrayList<>();
        for (Table classTable : table.tables("class")) {
            String effect = classTable.oneOf("effect", "safe", Set.of("safe", "keyed", "unsafe"));
            double aimMs = classTable.requiredNumber("aim", Units.Kind.TIME);
            double deadlineMs = classTable.requiredNumber("deadline", Units.Kind.TIME);
            if (deadlineMs < aimMs) {
                classTable.addProblem("deadline", "lies before the aim");
            }
            classes.add(new Experiment.RequestClass(classTable.string("name", "class" + classes.size()),
                classTable.number("share", Units.Kind.SHARE, 1),
                classTable.range("work", Units.Kind.TIME, 50, 50),
                classTable.number("spread", Units.Kind.NUMBER, 0.9), aimMs, deadlineMs,
                classTable.number("worth", Units.Kind.NUMBER, 1),
                classTable.number("late_share", Units.Kind.SHARE, 0), effect,
                classTable.number("window", Units.Kind.TIME, 4000)));
        }
        if (classes.isEmpty()) {
            table.addProblem("class", "at least one [[class]] is needed");
        }
        return classes;
    }

    private static Experiment.Expectation readExpectation(Table table, double lengthMs,
        List<Experiment.Fault> faults, List<Experiment.RequestClass> classes) {
        String measure = table.oneOf("measure", null, MEASURES.keySet());
        String key = MEASURES.getOrDefault(measure, "");
        String subject = key.isEmpty() ? "" : table.string(key, "");
        if (key.equals("fault") && faults.stream().noneMatch(f -> f.name().equals(subject))) {
            table.addProblem(key, "no fault is named \"" + subject + "\"");
        }
        if (key.equals("class") && classes.stream().noneMatch(type -> type.name().equals(subject))) {
            table.addProblem(key, "no class is named \"" + subject + "\"");
        }
        double fromMs = table.number("from", Units.Kind.TIME, 0);
        double toMs = table.number("to", Units.Kind.TIME, lengthMs);
        if (fromMs >= toMs || toMs > lengthMs) {
            table.addProblem(table.has("to") ? "to" : "from",
                "not a time span within the experiment: " + fromMs + " to " + toMs + " ms");
        }
        Units.Kind unit = switch (measure) {
            case "recovery", "p99", "cpu-per-request" -> Units.Kind.TIME;
            case "memory" -> Units.Kind.SIZE;
            default -> Units.Kind.NUMBER;
        };
        double atLeast = table.number("at_least", unit, Double.NaN);
        double atMost = table.number("at_most", unit, Double.NaN);
        if (Double.isNaN(atLeast) && Double.isNaN(atMost)) {
            table.addProblem("measure", "at_least or at_most is needed");
        }
        return new Experiment.Expectation(measure, subject, fromMs, toMs, atLeast, atMost,
            table.string("known_gap", ""), table.line());
    }
}
