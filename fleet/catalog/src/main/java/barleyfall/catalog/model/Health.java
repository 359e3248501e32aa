package barleyfall.catalog.model;

import com.fasterxml.jackson.annotation.JsonProperty;

/** The state of a flag server as the list publishes it, in the terms of the platform's discovery protocol. */
public enum Health {
    /** Takes requests. */
    @JsonProperty("active") ACTIVE,
    /** Completes its requests and takes no new ones. */
    @JsonProperty("leaving") LEAVING,
    /** No longer listed; appears only in changes. */
    @JsonProperty("left") LEFT;

    /** The name in the discovery protocol. */
    public String wireName() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }
}
