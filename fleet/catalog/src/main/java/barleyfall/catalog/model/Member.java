package barleyfall.catalog.model;

/**
 * A flag server in the list.
 *
 * @param spec what it registered last
 * @param token identifies its registration; the version of the list at which it registered. Renewals carry it
 * @param drained whether an operator drains it
 * @param pinned whether it stays listed even if its lease runs out
 * @param left whether it has left the list; true only in changes
 * @param seq the version of its last change
 */
public record Member(Spec spec, long token, boolean drained, boolean pinned, boolean left, long seq) {
    /** The member's name. */
    public String host() {
        return spec.host();
    }

    /** The state that the list publishes. */
    public Health health() {
        return left ? Health.LEFT : drained || spec.leaving() ? Health.LEAVING : Health.ACTIVE;
    }

    /** A copy of this member whose last change has another version. */
    Member withSeq(long newSeq) {
        return new Member(spec, token, drained, pinned, left, newSeq);
    }
}
