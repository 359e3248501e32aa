package barleyfall.lab.history;

/**
 * One operation of a client on one member of the list, with its response.
 *
 * @param client number of the client
 * @param key the member
 * @param invokedNanos when it was sent, by one clock for all clients
 * @param completedNanos when the response came; {@link Long#MAX_VALUE} if none did, in which case it may have
 *     been applied at any later time or never
 * @param isWrite whether it is a write; otherwise it is a read
 * @param expectedVersion the version that the member has to be at for the write, or null
 * @param value the value written or read; each write has a value of its own, and 0 means no member
 * @param applied whether the write was applied; false if it was refused because the version did not match
 * @param version the version of the member in the response: after the write, at the read, or at the refusal
 */
public record Operation(int client, String key, long invokedNanos, long completedNanos, boolean isWrite,
    Long expectedVersion, int value, boolean applied, long version) {
    /** Returns whether a response came. */
    public boolean isCompleted() {
        return completedNanos != Long.MAX_VALUE;
    }
}
