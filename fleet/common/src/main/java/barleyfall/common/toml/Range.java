package barleyfall.common.toml;

/**
 * A range of values, in the unit of its {@link Units.Kind}.
 *
 * @param from the lower bound
 * @param to the upper bound, equal to the lower one if the file states a single value
 */
public record Range(double from, double to) {
    /** The value at a fraction of the range: {@code from} at 0, {@code to} at 1. */
    public double at(double fraction) {
        return from + (to - from) * fraction;
    }
}
