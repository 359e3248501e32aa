package barleyfall.lab.standin;

/** Short forms of values, which are recorded in their place. */
final class ValueDigest {
    private static final int MAX_LENGTH = 100;

    private ValueDigest() { }

    /** Returns a value as it is, or the beginning of a long one with its length and a hash; null for null. */
    static String of(String value) {
        return value == null || value.length() <= MAX_LENGTH ? value
            : value.substring(0, MAX_LENGTH) + "... " + value.length() + " " + value.hashCode();
    }
}
