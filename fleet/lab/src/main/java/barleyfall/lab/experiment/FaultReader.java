package barleyfall.lab.experiment;

import barleyfall.common.toml.Table;
import barleyfall.common.toml.Units;
import barleyfall.lab.process.SystemCallFaults;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Reads the faults of an experiment's file and validates them. */
final class FaultReader {
    /** What a kind of fault acts on. */
    private enum Target { EDGES, SERVERS, ZONE, LINK, LIST, NONE }

    private static final List<String> FURTHER_SIGNALS = List.of("TERM", "HUP");
    private static final Map<String, Target> TARGETS_BY_KIND = Map.ofEntries(
        Map.entry("kill", Target.EDGES), Map.entry("pause", Target.EDGES),
        Map.entry("restart", Target.EDGES), Map.entry("disk", Target.EDGES),
        Map.entry("system-calls", Target.EDGES), Map.entry("clock-step", Target.EDGES),
        Map.entry("reload", Target.EDGES), Map.entry("crowd", Target.EDGES),
        Map.entry("half-sent", Target.EDGES),
        Map.entry("server-crash", Target.SERVERS), Map.entry("server-silent", Target.SERVERS),
        Map.entry("server-slow", Target.SERVERS), Map.entry("deploy", Target.SERVERS),
        Map.entry("rotate", Target.SERVERS), Map.entry("zone-lost", Target.ZONE),
        Map.entry("cut", Target.LINK), Map.entry("reset", Target.LINK), Map.entry("delay", Target.LINK),
        Map.entry("throttle", Target.LINK), Map.entry("loss", Target.LINK),
        Map.entry("counter-away", Target.NONE), Map.entry("counter-forget", Target.NONE),
        Map.entry("list-kill", Target.LIST), Map.entry("list-pause", Target.LIST),
        Map.entry("list-cut", Target.LIST), Map.entry("discovery-silent", Target.NONE),
        Map.entry("burst", Target.NONE), Map.entry("hot-customer", Target.NONE));
    /** Kinds without a duration. */
    private static final Set<String> INSTANTANEOUS_KINDS = Set.of("reset", "counter-forget", "reload");
    private static final Set<String> DISK_DAMAGES = Set.of("truncate", "flip", "drop-tail", "fill",
        "read-only");
    private static final Set<String> CLOCK_DIRECTIONS = Set.of("forward", "back");
    private static final int MAX_FACTOR = 100;
    private static final int MAX_CROWD = 10_000;

    private FaultReader() { }

    /**
     * Reads one fault. Problems are added to the table.
     *
     * @param lengthMs length of the experiment
     * @param replicas replicas of the list service
     * @param number position of the fault in the file, for its default name
     */
    static Experiment.Fault read(Table table, double lengthMs, Experiment.Topology topology, int replicas,
        int number) {
        String kind = table.oneOf("kind", null, TARGETS_BY_KIND.keySet());
        Target targetKind = TARGETS_BY_KIND.getOrDefault(kind, Target.NONE);
        String name = table.string("name", kind + "-" + number);
        double atMs = table.requiredNumber("at", Units.Kind.TIME);
        double durationMs = INSTANTANEOUS_KINDS.contains(kind) ? 0
            : table.requiredNumber("for", Units.Kind.TIME);
        if (atMs > lengthMs) {
            table.addProblem("at", "lies after the end of the experiment (" + lengthMs / 1000 + " s)");
        } else if (atMs + durationMs > lengthMs) {
            table.addProblem("for", "runs past the end of the experiment (" + lengthMs / 1000 + " s)");
        }
        String target = null;
        String from = null;
        String to = null;
        boolean bothWays = false;
        if (targetKind == Target.LINK) {
            from = readSelector(table, "from", topology, "edges");
            to = readSelector(table, "to", topology, "servers");
            if (from.endsWith("%") || to.endsWith("%") || from.equals("others")) {
                table.addProblem("from",
                    "the ends of a link cannot be percentages, and \"others\" can only be the far end");
            }
            bothWays = table.bool("both_ways", true);
        } else if (targetKind == Target.LIST) {
            target = table.string("target", "leader");
            if (!target.equals("leader") && !target.equals("all")
                && !(target.matches("\\d") && Integer.parseInt(target) < replicas)) {
                table.addProblem("target", "leader, all or the number of a replica (of " + replicas
                    + ") expected, found \"" + target + "\"");
            }
        } else if (targetKind != Target.NONE) {
            target = readSelector(table, targetKind == Target.ZONE ? "zone" : "target", topology,
                targetKind == Target.ZONE ? null : "all");
            checkTarget(table, targetKind, target);
        }
        double intervalMs = kind.equals("restart") ? table.number("every", Units.Kind.TIME, 0) : 0;
        double downMs = switch (kind) {
            case "restart", "disk" -> table.number("down", Units.Kind.TIME, 0);
            case "deploy", "rotate" -> table.number("drain", Units.Kind.TIME, 3000);
            default -> 0;
        };
        String how = switch (kind) {
            case "disk" -> table.oneOf("damage", null, DISK_DAMAGES);
            case "system-calls" -> readSystemCalls(table);
            case "clock-step" -> table.oneOf("direction", "forward", CLOCK_DIRECTIONS);
            case "restart" -> readFurtherSignals(table);
            default -> null;
        };
        String file = kind.equals("disk") ? table.string("file", "*") : null;
        return new Experiment.Fault(name, kind, atMs, durationMs, target, from, to, how, bothWays,
            readSize(table, kind), intervalMs, downMs, file, table.line());
    }

    /** Returns the text of a selector; a wrong one is reported as a problem. */
    private static String readSelector(Table table, String key, Experiment.Topology topology,
        String defaultText) {
        String text = table.string(key, defaultText);
        if (text == null) {
            table.addProblem(key, "is missing");
            return "all";
        }
        try {
            Selector.of(text, topology);
        } catch (IllegalArgumentException bad) {
            table.addProblem(key, bad.getMessage());
        }
        return text;
    }

    /** Reads the signals that follow the first SIGTERM of a restart; null where there are none. */
    private static String readFurtherSignals(Table table) {
        String signals = table.string("signals", null);
        if (signals != null && !FURTHER_SIGNALS.containsAll(List.of(signals.split(" ")))) {
            table.addProblem("signals", "some of " + FURTHER_SIGNALS + " expected, found " + signals);
        }
        return signals;
    }

    /** Reads which system calls fail, and how often; a wrong one is reported as a problem. */
    private static String readSystemCalls(Table table) {
        List<String> calls = table.strings("calls", List.of());
        if (calls.isEmpty()) {
            table.addProblem("calls", "is missing");
        }
        for (String call : calls) {
            try {
                SystemCallFaults.Rule.parse(call);
            } catch (IllegalArgumentException bad) {
                table.addProblem("calls", bad.getMessage());
            }
        }
        return String.join(SystemCallFaults.Rule.SEPARATOR, calls);
    }

    /** Reports a target that the kind of fault does not act on. */
    private static void checkTarget(Table table, Target targetKind, String target) {
        boolean fits = !target.equals("others") && switch (targetKind) {
            case ZONE -> target.startsWith("zone:") || target.startsWith("region:");
            case EDGES -> !target.startsWith("server") && !Set.of("counter", "discovery", "front")
                .contains(target);
            default -> !target.startsWith("edge") && !Set.of("counter", "discovery", "front")
                .contains(target);
        };
        if (!fits) {
            table.addProblem(targetKind == Target.ZONE ? "zone" : "target", "this kind of fault is not for "
                + target);
        }
    }

    /** Returns the strength of the fault in the unit of its kind. */
    private static double readSize(Table table, String kind) {
        return switch (kind) {
            case "server-slow", "burst" -> readFactor(table, "times");
            case "deploy", "restart", "rotate" -> table.number("batch", Units.Kind.SHARE, 0.1);
            case "delay", "clock-step" -> table.requiredNumber("by", Units.Kind.TIME);
            case "reload" -> table.integer("signals", 1, 1, MAX_FACTOR);
            case "crowd", "half-sent" -> table.integer("clients", 100, 1, MAX_CROWD);
            case "throttle" -> table.requiredNumber("bytes", Units.Kind.RATE) / 1000;
            case "loss" -> table.requiredNumber("share", Units.Kind.SHARE);
            case "hot-customer" -> table.requiredNumber("share", Units.Kind.SHARE);
            default -> 0;
        };
    }

    private static double readFactor(Table table, String key) {
        double factor = table.requiredNumber(key, Units.Kind.NUMBER);
        if (factor < 1 || factor > MAX_FACTOR) {
            table.addProblem(key, "must be from 1 to " + MAX_FACTOR);
        }
        return factor;
    }
}
