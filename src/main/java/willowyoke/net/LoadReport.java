package willowyoke.net;

import java.util.Arrays;
import java.util.List;
import java.util.Map;

/** The load report of a flag server: pairs of a name and a number, set apart by commas. */
final class LoadReport {
    /** The figures of an answer that has no report. */
    static final double[] NONE = new double[0];
    /** The settings' names of the load fields that a load report names otherwise. */
    private static final Map<String, String> FIELD_BY_REPORT_KEY = Map.of("inflight", "outstanding",
        "queue", "backlog", "util", "utilization", "latency_ms", "recent_ms", "qps", "throughput",
        "eps", "errors_per_s");

    private LoadReport() { }

    /** Whether a text is nothing but pairs of a name and a number, with one of the settings' load fields. */
    static boolean isReport(String text, List<String> fields) {
        boolean fieldFound = false;
        for (String pair : text.split(",", -1)) {
            int separator = pair.indexOf('=');
            if (separator <= 0 || Double.isNaN(DecimalText.parse(pair.substring(separator + 1)))) {
                return false;
            }
            fieldFound |= indexOf(pair.substring(0, separator), fields) >= 0;
        }
        return fieldFound;
    }

    /**
     * Parses a report into the order of the settings' load fields. A value that is missing or malformed is
     * NaN.
     */
    static double[] parse(String report, List<String> fields) {
        if (report == null || fields.isEmpty()) {
            return NONE;
        }
        double[] values = new double[fields.size()];
        Arrays.fill(values, Double.NaN);
        for (String pair : report.split(",")) {
            int separator = pair.indexOf('=');
            if (separator > 0) {
                int index = indexOf(pair.substring(0, separator), fields);
                if (index >= 0) {
                    values[index] = DecimalText.parse(pair.substring(separator + 1));
                }
            }
        }
        return values;
    }

    private static int indexOf(String key, List<String> fields) {
        int index = fields.indexOf(key);
        return index < 0 ? fields.indexOf(FIELD_BY_REPORT_KEY.getOrDefault(key, key)) : index;
    }
}
