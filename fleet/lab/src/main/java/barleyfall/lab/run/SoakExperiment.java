package barleyfall.lab.run;

import barleyfall.common.toml.InvalidFileException;
import barleyfall.lab.experiment.Experiment;
import barleyfall.lab.experiment.ExperimentReader;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Draws experiments of random, overlapping faults: failing system calls, restarts with signals in series,
 * reloads, kills, clock steps, crowds of idle clients, and faults of links, flag servers and the counter.
 * Commands come in pieces and several at once; answers are long, come twice, or break off. The same seed and
 * size give the same experiment.
 */
public final class SoakExperiment {
    private static final int LENGTH_MS = 12_000;
    /** Faults begin after the first seconds and end before the last one, so that the end is a calm one. */
    private static final int FIRST_FAULT_MS = 1500;
    private static final int LAST_FAULT_END_MS = LENGTH_MS - 1000;
    private static final int MIN_FAULT_MS = 200;
    private static final int MAX_FAULT_MS = 3000;
    private static final int FAULT_COUNT = 14;
    /** Every third run has a crowd, which fills the descriptors of some edge nodes. */
    private static final int CROWD_EVERY = 3;
    private static final int MAX_DESCRIPTORS = 256;
    /** So few that two dozen edge nodes that restart leave the machine some time. */
    private static final int REQUESTS_PER_SECOND_AND_EDGE = 8;
    private static final String[] SYSTEM_CALLS = {
        "accept ECONNABORTED", "accept ENFILE", "accept EMFILE", "accept ENOBUFS", "accept EINTR",
        "socket ENFILE", "socket EMFILE", "socket ENOBUFS", "connect EADDRNOTAVAIL", "connect ENETUNREACH",
        "connect ENOBUFS", "connect EINTR", "read SHORT", "write SHORT", "read EINTR", "write EINTR",
        "wait EINTR", "read ETIMEDOUT", "read EHOSTUNREACH", "write ETIMEDOUT", "write EHOSTUNREACH",
        "open EIO", "open ENOSPC", "sync EIO", "sync ENOSPC", "unlink EIO", "list EIO"};
    private static final int MAX_RULES_OF_FAULT = 5;
    /** A connection that breaks in a tenth of its transfers carries nothing. */
    private static final int MAX_BREAK_PERCENT = 3;
    /** Faults overlap: with several that fail half of all accepts, hardly any connection is accepted. */
    private static final int MAX_ACCEPT_PERCENT = 50;
    private static final int MAX_FURTHER_SIGNALS = 4;
    private static final int[] CLOCK_STEPS_MS = {800, 5000, 3_600_000};

    private final SplittableRandom random;
    private final int edges;
    private final double cores;
    private final int servers;
    private final StringBuilder text = new StringBuilder();
    private int faultNumber;

    private SoakExperiment(long seed, int edges, double cores) {
        random = new SplittableRandom(seed);
        this.edges = edges;
        this.cores = cores;
        servers = edges + edges / 2;
    }

    /** Draws the experiment of a seed with so many edge nodes; their processor time is not limited. */
    public static Experiment draw(long seed, int edges) throws InvalidFileException {
        return draw(seed, edges, 0);
    }

    /** Draws the experiment of a seed; each edge node has such a part of a core, or no limit with 0. */
    public static Experiment draw(long seed, int edges, double cores) throws InvalidFileException {
        return ExperimentReader.parse("soak-" + seed + ".toml", text(seed, edges, cores));
    }

    /** Returns the same as the text of an experiment's file, with which a run can be repeated. */
    public static String text(long seed, int edges, double cores) {
        return new SoakExperiment(seed, edges, cores).write(seed);
    }

    private String write(long seed) {
        boolean crowded = seed % CROWD_EVERY == 0;
        int deadlineMs = 500 + random.nextInt(2000);
        int requestsPerSecond = REQUESTS_PER_SECOND_AND_EDGE * edges;
        text.append(String.format(Locale.ROOT, """
            title = "soak %d"
            length = "%dms"
            seed = %d
            [topology]
            edges = %d
            servers = %d
            zones = ["a", "b", "c"]
            [edge]
            cores = %.2f
            descriptors = %d
            [servers]
            cores = 1
            idle = "%dms"
            long_values = 0.05
            second_answers = 0.05
            broken_answers = 0.03
            [discovery]
            %s
            late = "50ms"
            added = "100ms"
            silent_death = "500ms"
            [load]
            requests = "%d/s"
            backoff_first = "50ms"
            notices_death = "500ms"
            leave = 0.1
            pieces = 0.2
            pipeline = 0.3
            [[plan]]
            name = "capped"
            rate = "6/s"
            ceiling = 1.7
            [[plan]]
            name = "open"
            rate = "20/s"
            """, seed, LENGTH_MS, seed, edges, servers, cores,
            crowded ? MAX_DESCRIPTORS : 2 * MAX_DESCRIPTORS, 1000 + random.nextInt(10_000),
            random.nextBoolean() ? "kind = \"agents\"" : "replicas = 3", requestsPerSecond));
        addClass("read", 0.5, deadlineMs, "safe");
        addClass("keyed", 0.25, deadlineMs, "keyed");
        addClass("once", 0.25, deadlineMs, "unsafe");
        addFaults(crowded);
        return text.toString();
    }

    private void addClass(String name, double share, int deadlineMs, String effect) {
        text.append(String.format(Locale.ROOT, """
            [[class]]
            name = "%s"
            share = %.2f
            work = "15ms"
            aim = "%dms"
            deadline = "%dms"
            effect = "%s"
            """, name, share, deadlineMs / 2, deadlineMs, effect));
        if (effect.equals("keyed")) {
            text.append(String.format(Locale.ROOT, "window = \"%dms\"%n", 200 + random.nextInt(4000)));
        }
    }

    private void addFaults(boolean crowded) {
        // system calls fail on every run, a third of the time on each edge node
        for (int i = 0; i < FAULT_COUNT; i++) {
            addSystemCallFault();
        }
        for (int i = 0; i < FAULT_COUNT; i++) {
            addOtherFault();
        }
        if (crowded) {
            addFault("crowd", "target = \"" + percentOfEdges() + "\"", "clients = " + MAX_DESCRIPTORS);
            addFault("half-sent", "target = \"" + percentOfEdges() + "\"", "clients = " + MAX_DESCRIPTORS);
        }
    }

    private void addSystemCallFault() {
        Map<String, Integer> percentByCall = new LinkedHashMap<>();
        for (int i = random.nextInt(MAX_RULES_OF_FAULT); i >= 0; i--) {
            String call = SYSTEM_CALLS[random.nextInt(SYSTEM_CALLS.length)];
            boolean breaks = call.matches("(read|write) E(TIMEDOUT|HOSTUNREACH)");
            int percent = breaks ? 1 + random.nextInt(MAX_BREAK_PERCENT)
                : call.startsWith("accept") ? 1 + random.nextInt(MAX_ACCEPT_PERCENT) : 5 + random.nextInt(90);
            percentByCall.put(call, percent);
        }
        String rules = percentByCall.entrySet().stream()
            .map(rule -> "\"" + rule.getKey() + " " + rule.getValue() + "%\"")
            .collect(Collectors.joining(", "));
        addFault("system-calls", "target = \"" + percentOfEdges() + "\"", "calls = [" + rules + "]");
    }

    private void addOtherFault() {
        String target = "target = \"" + percentOfEdges() + "\"";
        String server = "target = \"server:" + random.nextInt(servers) + "\"";
        switch (random.nextInt(12)) {
            case 0, 1 -> addFault("restart", "target = \"" + (5 + random.nextInt(20)) + "%\"", "batch = 0.3",
                "signals = \"" + furtherSignals() + "\"");
            case 2 -> addFault("kill", "target = \"edge:" + random.nextInt(edges) + "\"");
            case 3, 4 -> addInstant("reload", target, "signals = " + (1 + random.nextInt(4)));
            case 5 -> addFault("clock-step", target,
                "by = \"" + CLOCK_STEPS_MS[random.nextInt(CLOCK_STEPS_MS.length)] + "ms\"",
                "direction = \"" + (random.nextBoolean() ? "forward" : "back") + "\"");
            case 6 -> addFault("server-crash", server);
            case 7 -> addFault("server-silent", server);
            case 8 -> addInstant("reset", "from = \"edges\"",
                "to = \"server:" + random.nextInt(servers) + "\"");
            case 9 -> addFault("deploy", server, "drain = \"700ms\"");
            case 10 -> addFault("counter-away");
            default -> addFault("cut", "from = \"edge:" + random.nextInt(edges) + "\"",
                "to = \"server:" + random.nextInt(servers) + "\"");
        }
    }

    /** Draws signals that follow the first one of a restart. */
    private String furtherSignals() {
        return IntStream.rangeClosed(0, random.nextInt(MAX_FURTHER_SIGNALS))
            .mapToObj(i -> random.nextBoolean() ? "HUP" : "TERM").collect(Collectors.joining(" "));
    }

    private String percentOfEdges() {
        return 10 + random.nextInt(60) + "%";
    }

    private void addFault(String kind, String... lines) {
        int lengthMs = MIN_FAULT_MS + random.nextInt(MAX_FAULT_MS - MIN_FAULT_MS);
        int atMs = FIRST_FAULT_MS + random.nextInt(LAST_FAULT_END_MS - FIRST_FAULT_MS - lengthMs);
        addLines(kind, atMs, lines);
        text.append("for = \"").append(lengthMs).append("ms\"\n");
    }

    private void addInstant(String kind, String... lines) {
        addLines(kind, FIRST_FAULT_MS + random.nextInt(LAST_FAULT_END_MS - FIRST_FAULT_MS), lines);
    }

    private void addLines(String kind, int atMs, String... lines) {
        text.append("[[fault]]\nname = \"").append(kind).append('-').append(++faultNumber)
            .append("\"\nkind = \"").append(kind).append("\"\nat = \"").append(atMs).append("ms\"\n");
        for (String line : lines) {
            text.append(line).append('\n');
        }
    }
}
