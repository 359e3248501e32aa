package barleyfall.lab.result;

import barleyfall.lab.rules.Violation;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The result of one run, stored in {@code result.json}. The names in the annotations, and otherwise the
 * component names, are the names in that file and have to stay so that older results can be read. Figures
 * that could not be measured are null.
 *
 * @param file file of the experiment
 * @param planHash hash of everything that was drawn for the run
 * @param build name of the folder that the edge nodes were started from
 * @param sound whether the run counts
 * @param unsoundReasons why it does not count, if it does not
 */
public record Result(String title, String file, long seed, @JsonProperty("plan") String planHash,
    String build, double lengthMs, boolean sound, @JsonProperty("unsound") List<String> unsoundReasons,
    Map<String, Double> figures, List<CheckedExpectation> expectations, List<Violation> violations,
    List<Window> windows, List<ServerRow> servers, List<EdgeRow> edges, List<FaultPeriod> faults) {
    /** Name of the file in the folder of a run. */
    public static final String FILE_NAME = "result.json";
    /** Rules that a machine without time for the processes breaks as well. */
    private static final Set<String> TIMED_RULES = Set.of("answers", "deadlines", "departures");
    private static final ObjectMapper JSON = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT)
        .enable(JsonGenerator.Feature.IGNORE_UNKNOWN)
        .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    /** Returns the violations that prove something: in a run that is not sound, none that depends on time. */
    public List<Violation> reliableViolations() {
        return violations.stream().filter(violation -> sound || !TIMED_RULES.contains(violation.rule()))
            .toList();
    }

    /**
     * An expectation of the experiment with the measured figure.
     *
     * @param subject what is measured, for measures that need it (a fault or a request class), or empty
     * @param knownGap why it is known to be missed, or empty
     */
    public record CheckedExpectation(String measure, @JsonProperty("of") String subject, double fromMs,
        double toMs, Double atLeast, Double atMost, Double figure, boolean met, String knownGap) {
        /** Returns whether the expectation fails the run. */
        public boolean failsRun() {
            return !met && knownGap.isEmpty();
        }
    }

    /** One second of the run; latencies are in ms, and the memory is that of the largest edge node. */
    public record Window(double fromMs, @JsonProperty("wishes") int requestCount, Double service,
        Double served, double p50, double p99, int attempts, int counterCalls, double cpuMs, double memoryMb,
        @JsonProperty("broken") int violationCount) { }

    /**
     * Attempts at a flag server, by how they ended there.
     *
     * @param cancelled attempts that the edge node gave up
     * @param unanswered attempts that ended in no other way
     */
    public record ServerRow(String server, String zone, int served, int error, int busy,
        @JsonProperty("left") int cancelled, @JsonProperty("open") int unanswered, int handshakes,
        int probes) { }

    /** Totals of one edge node over all of its starts; memory and descriptors are the maximum. */
    public record EdgeRow(int edge, String zone, int starts, @JsonProperty("asked") int received, int served,
        int refused, int failed, double cpuMs, double memoryMb, int descriptors) { }

    /** The time during which a fault lasted, for the charts. */
    public record FaultPeriod(String name, String kind, double fromMs, double toMs) { }

    /** Reads a result from its file or from the folder of its run. */
    public static Result read(Path path) throws IOException {
        Path file = Files.isDirectory(path) ? path.resolve(FILE_NAME) : path;
        return JSON.readValue(file.toFile(), Result.class);
    }

    /** Writes the result into the folder of its run. */
    public void write(Path folder) throws IOException {
        JSON.writeValue(folder.resolve(FILE_NAME).toFile(), this);
    }
}
