package barleyfall.lab.history;

/**
 * What one client asked of one member of the list, and what it was told.
 *
 * @param client who asked
 * @param key the member
 * @param asked when, ns of one clock
 * @param told when the answer came; {@link Long#MAX_VALUE} where none did: it may have been carried out at
 *     any time since, or never
 * @param write whether it writes; it reads otherwise
 * @param expected the version that the member must be at, or null
 * @param value what it writes, or what was read; each write has a value of its own, 0 is no member
 * @param done whether the write was carried out; false: it was refused as the version had passed
 * @param version the member's version, as the answer says: after a write, at a read, or that refused it
 */
public record Operation(int client, String key, long asked, long told, boolean write, Long expected,
    int value,
    boolean done, long version) {
    /** Whether its outcome is known. */
    public boolean known() {
        return told != Long.MAX_VALUE;
    }
}
