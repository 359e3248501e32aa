package barleyfall.catalog.model;

import com.fasterxml.jackson.annotation.JsonProperty;

/** What the list says of a flag server, in the words of the platform's protocol. */
public enum Health {
    /** May be sent requests. */
    @JsonProperty("active") ACTIVE,
    /** Completes what it has and wants nothing new. */
    @JsonProperty("leaving") LEAVING,
    /** Is in the list no more; said among changes only. */
    @JsonProperty("left") LEFT;

    /** The protocol's word. */
    public String word() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }
}
