package barleyfall.common.toml;

/** From and to, in the units that its key states; both alike where the file has one figure. */
public record Range(double from, double to) {
    /** The value at that part of the way. */
    public double at(double part) {
        return from + (to - from) * part;
    }
}
