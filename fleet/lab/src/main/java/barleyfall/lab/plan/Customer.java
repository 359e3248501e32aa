package barleyfall.lab.plan;

/**
 * A customer. Its requests come through {@code spread} edge nodes in a row, starting with number {@code
 * first} and wrapping around. The plan's hash contains the text form of this record, so its name and its
 * components keep their names.
 *
 * @param number number on the wire, below 2^33
 * @param plan index into the experiment's plans
 */
public record Customer(long number, int plan, int spread, int first) {
    /** Returns the customer's number as it appears on the wire: 16 hexadecimal digits. */
    public String wireId() {
        return String.format("%016x", number);
    }
}
