package barleyfall.common.toml;

import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Figures with their units: a bare number is never taken for a time, a size or a rate. */
public final class Units {
    private static final Pattern FIGURE = Pattern.compile("(\\d+(?:\\.\\d+)?)\\s*([a-zA-Z%/]+)");
    private static final Map<String, Double> TIMES = Map.of("us", 0.001, "ms", 1.0, "s", 1000.0, "min",
        60_000.0);
    private static final Map<String, Double> SHARES = Map.of("%", 0.01);
    private static final Map<String, Double> RATES = Map.of("/s", 1.0, "/min", 1 / 60.0);
    private static final Map<String, Double> SIZES = Map.of("KB", 1 / 1024.0, "MB", 1.0, "GB", 1024.0);

    /** What a figure measures, and the units it may be stated in. */
    public enum Kind {
        TIME(TIMES, "a time such as \"250ms\" or \"8s\""), SHARE(SHARES, "a share such as \"40%\" or 0.4"),
        RATE(RATES, "a rate such as \"300/s\""), SIZE(SIZES, "a size such as \"192MB\""),
        NUMBER(Map.of(), "a number");

        private final Map<String, Double> units;
        private final String form;

        Kind(Map<String, Double> units, String form) {
            this.units = units;
            this.form = form;
        }
    }

    private Units() { }

    /** The value in ms, as a share, per second, in MB, or as it is; throws with what was expected. */
    public static double read(Object stated, Kind kind) {
        double value = Double.NaN;
        if (stated instanceof Number n && (kind == Kind.NUMBER || kind == Kind.SHARE)) {
            value = n.doubleValue();
        } else if (stated instanceof String text) {
            Matcher m = FIGURE.matcher(text.trim());
            if (m.matches() && kind.units.containsKey(m.group(2))) {
                value = Double.parseDouble(m.group(1)) * kind.units.get(m.group(2));
            }
        }
        if (Double.isNaN(value) || Double.isInfinite(value)) {
            throw new IllegalArgumentException(kind.form + " expected, found " + quoted(stated));
        }
        if (value < 0) {
            throw new IllegalArgumentException("must not be below 0, found " + quoted(stated));
        }
        if (kind == Kind.SHARE && value > 1) {
            throw new IllegalArgumentException("a share is at most 1, found " + quoted(stated));
        }
        return value;
    }

    private static String quoted(Object stated) {
        return stated instanceof String ? "\"" + stated + "\"" : String.valueOf(stated);
    }
}
