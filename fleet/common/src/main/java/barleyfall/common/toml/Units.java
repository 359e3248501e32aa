package barleyfall.common.toml;

import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads values with units. A number without a unit is rejected where a time, a size or a rate is expected.
 */
public final class Units {
    private static final Pattern VALUE_WITH_UNIT = Pattern.compile("(\\d+(?:\\.\\d+)?)\\s*([a-zA-Z%/]+)");
    private static final Map<String, Double> MS_PER_UNIT = Map.of("us", 0.001, "ms", 1.0, "s", 1000.0, "min",
        60_000.0);
    private static final Map<String, Double> FRACTION_PER_UNIT = Map.of("%", 0.01);
    private static final Map<String, Double> PER_SECOND_PER_UNIT = Map.of("/s", 1.0, "/min", 1 / 60.0);
    private static final Map<String, Double> MB_PER_UNIT = Map.of("KB", 1 / 1024.0, "MB", 1.0, "GB", 1024.0);

    /** The kinds of values, and the units in which each may be stated. */
    public enum Kind {
        /** Read in ms. */
        TIME(MS_PER_UNIT, "a time such as \"250ms\" or \"8s\""),
        /** Read as a fraction from 0 to 1; may be stated without a unit. */
        SHARE(FRACTION_PER_UNIT, "a share such as \"40%\" or 0.4"),
        /** Read per second. */
        RATE(PER_SECOND_PER_UNIT, "a rate such as \"300/s\""),
        /** Read in MB. */
        SIZE(MB_PER_UNIT, "a size such as \"192MB\""),
        /** Has no unit. */
        NUMBER(Map.of(), "a number");

        private final Map<String, Double> units;
        private final String description;

        Kind(Map<String, Double> units, String description) {
            this.units = units;
            this.description = description;
        }
    }

    private Units() { }

    /**
     * Converts a value of a TOML file to the unit of its kind.
     *
     * @throws IllegalArgumentException if it is no such value; the message says what was expected
     */
    public static double read(Object value, Kind kind) {
        double number = Double.NaN;
        if (value instanceof Number bare && (kind == Kind.NUMBER || kind == Kind.SHARE)) {
            number = bare.doubleValue();
        } else if (value instanceof String text) {
            Matcher matcher = VALUE_WITH_UNIT.matcher(text.trim());
            if (matcher.matches() && kind.units.containsKey(matcher.group(2))) {
                number = Double.parseDouble(matcher.group(1)) * kind.units.get(matcher.group(2));
            }
        }
        if (Double.isNaN(number) || Double.isInfinite(number)) {
            throw new IllegalArgumentException(kind.description + " expected, found " + quoted(value));
        }
        if (number < 0) {
            throw new IllegalArgumentException("must not be negative, found " + quoted(value));
        }
        if (kind == Kind.SHARE && number > 1) {
            throw new IllegalArgumentException("a share is at most 1, found " + quoted(value));
        }
        return number;
    }

    private static String quoted(Object value) {
        return value instanceof String ? "\"" + value + "\"" : String.valueOf(value);
    }
}
