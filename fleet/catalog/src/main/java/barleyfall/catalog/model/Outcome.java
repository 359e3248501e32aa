package barleyfall.catalog.model;

/**
 * What became of a command.
 *
 * @param status as in HTTP: 200 done, 404 no such member, 409 not as it was expected to be
 * @param error what was wrong, in a sentence; null where nothing was
 * @param seq the version of the list once it was carried out
 * @param member the version of the member's last change, 0 where it is not listed
 * @param token of the member's registration, 0 where there is none
 */
public record Outcome(int status, String error, long seq, long member, long token) {
    /** Whether it was carried out. */
    public boolean done() {
        return status == 200;
    }
}
