package barleyfall.catalog.model;

/**
 * A flag server as the list holds it.
 *
 * @param spec what it said last
 * @param token the version at which this life of it registered: its renewals name it
 * @param drained whether an operator drains it
 * @param pinned whether it stays listed though its lease runs out
 * @param left whether this is the word that it has left
 * @param seq the version of its last change
 */
public record Member(Spec spec, long token, boolean drained, boolean pinned, boolean left, long seq) {
    /** Its name. */
    public String host() {
        return spec.host();
    }

    /** What the list says of it. */
    public Health health() {
        return left ? Health.LEFT : drained || spec.leaving() ? Health.LEAVING : Health.ACTIVE;
    }

    /** The same at another version. */
    Member at(long version) {
        return new Member(spec, token, drained, pinned, left, version);
    }
}
