package barleyfall.catalog.model;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The result of a command.
 *
 * @param status an HTTP status: 200 applied, 404 no such member, 409 conflict, 507 the list is full
 * @param error a sentence that says what is wrong, or null
 * @param seq the version of the list after the command
 * @param memberSeq the version of the member's last change, 0 if it is not listed
 * @param token the token of the member's registration, 0 if there is none
 */
public record Outcome(int status, String error, long seq, @JsonProperty("member") long memberSeq,
    long token) {
    /** Whether the command was applied. */
    public boolean succeeded() {
        return status == 200;
    }
}
