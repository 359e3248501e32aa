package barleyfall.catalog.replica;

import java.util.ArrayDeque;

/**
 * The guard against mass loss: if many leases run out at about the same time, a fault between the flag
 * servers and this service is more likely than the end of all of them, so none of the leases may expire. The
 * self-preservation mode of Netflix Eureka does the same.
 *
 * <p>All times are ms of one clock of the caller's choice. Not thread-safe.
 */
final class MassLossGuard {
    private final Settings.Guarding settings;
    /** When the leases that expired within the window did so, oldest first. */
    private final ArrayDeque<Long> expiredAtMs = new ArrayDeque<>();

    MassLossGuard(Settings.Guarding settings) {
        this.settings = settings;
    }

    /** Notes that a lease has expired. */
    void leaseExpired(long nowMs) {
        expiredAtMs.add(nowMs);
    }

    /** How many members have expired within the window. */
    private int expiredWithinWindow(long nowMs) {
        while (!expiredAtMs.isEmpty() && expiredAtMs.peek() < nowMs - settings.windowMs()) {
            expiredAtMs.poll();
        }
        return expiredAtMs.size();
    }

    /**
     * Whether no lease may expire now.
     *
     * @param missing how many members' leases have run out but have not expired
     * @param overdue how many further members should have renewed their leases by now
     * @param members how many members there are, missing ones included
     */
    boolean shouldHold(long nowMs, int missing, int overdue, int members) {
        int expired = expiredWithinWindow(nowMs);
        int lost = missing + overdue + expired;
        return missing > 0 && lost >= settings.minLost()
            && lost > settings.maxLostFraction() * (members + expired);
    }
}
