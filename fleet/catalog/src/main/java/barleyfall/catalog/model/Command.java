package barleyfall.catalog.model;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/**
 * A change of the list as it is proposed to the Raft log. A command holds everything that is needed to apply
 * it, so that every replica gets the same result.
 *
 * <p>{@code expected} is the version of the member's last change that the requester knows, 0 for a member
 * that is not listed, or null to accept any version.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "do")
@JsonSubTypes({
    @JsonSubTypes.Type(value = Command.Register.class, name = "register"),
    @JsonSubTypes.Type(value = Command.Leave.class, name = "leave"),
    @JsonSubTypes.Type(value = Command.Mark.class, name = "mark"),
    @JsonSubTypes.Type(value = Command.Remove.class, name = "remove"),
    @JsonSubTypes.Type(value = Command.Expire.class, name = "expire"),
    @JsonSubTypes.Type(value = Command.Initialize.class, name = "found"),
    @JsonSubTypes.Type(value = Command.Hold.class, name = "hold"),
    @JsonSubTypes.Type(value = Command.Restore.class, name = "restore")})
public sealed interface Command {
    /** A flag server registers, or registers again with changed properties. */
    record Register(Spec spec, Long expected) implements Command { }

    /** A flag server deregisters; the token proves that it is the one that registered. */
    record Leave(String host, long token) implements Command { }

    /**
     * An operator sets or clears a marker of a member.
     *
     * @param host the member's name
     * @param marker which marker
     * @param on true to set it, false to clear it
     * @param expected the expected version of the member, or null
     */
    record Mark(String host, @JsonProperty("sign") Marker marker, boolean on, Long expected)
        implements Command { }

    /** An operator removes a member from the list. */
    record Remove(String host, Long expected) implements Command { }

    /** Members leave the list because their leases have expired. */
    record Expire(List<ExpiredLease> ended) implements Command { }

    /**
     * The first command of a new list. Its epoch is greater than that of any earlier list of this service, so
     * that readers of an earlier list notice. No effect on a list that already has an epoch.
     */
    record Initialize(long epoch) implements Command { }

    /**
     * The guard against mass loss starts or stops holding leases that would expire. Doesn't change the
     * list or its version.
     *
     * @param on whether the guard holds from now on
     * @param missing members whose lease has run out
     * @param memberCount members with a lease, missing ones included
     * @param atMs when the leader proposed it, ms of Unix time
     * @param why the reason, shown to operators
     */
    record Hold(boolean on, int missing, @JsonProperty("of") int memberCount, long atMs, String why)
        implements Command { }

    /** An operator restores the list from a snapshot; a new epoch begins. */
    record Restore(Image image) implements Command { }

    /** The markers that operators can set. Written under these names. */
    enum Marker {
        /** The member completes its requests and takes no new ones. */
        DRAINED,
        /** The member stays listed even if its lease runs out. */
        PINNED
    }

    /** The lease of one registration; a later registration of the same host has another token. */
    record ExpiredLease(String host, long token) { }
}
