package barleyfall.catalog.replica;

import barleyfall.catalog.model.Command;
import barleyfall.catalog.model.Member;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The leases of all members. Only the leader keeps them, in memory, so that a renewal costs no write to the
 * log. A new leader doesn't know the remaining times: it gives each member a full lease, and keeps a hold of
 * the guard against mass loss until these leases have run out once.
 *
 * <p>Times are ms of a monotonic clock, so that a step of the wall clock neither ends nor prolongs a lease.
 * Thread-safe.
 */
final class Leases {
    private static final class Lease {
        final Member member;
        long expiresAtMs;
        /** Whether this leader has heard from the member. */
        boolean renewed;
        /** Whether an operator has said that the member is gone. */
        boolean declaredGone;
        /** Whether an operator has said so before this leader could know whether the member is missing. */
        boolean goneUnlessRenewed;
        /** When the expiry was last proposed, or {@code Long.MIN_VALUE}. */
        long proposedAtMs = Long.MIN_VALUE;

        Lease(Member member, long expiresAtMs) {
            this.member = member;
            this.expiresAtMs = expiresAtMs;
        }
    }

    /**
     * The result of a check of all leases.
     *
     * @param expired the leases whose expiry is to be proposed now
     * @param hold whether the guard against mass loss holds leases
     * @param missing how many members' leases have run out but have not expired; where there are any, with
     *     those that are overdue
     * @param memberCount how many members have a lease that can expire
     */
    record CheckResult(List<Command.ExpiredLease> expired, boolean hold, int missing, int memberCount) { }

    /**
     * The part of a lease after which a member is overdue: members renew at a third of it, so one that goes
     * on is never that late. When the first of many members that stop together has lost its lease, all are.
     */
    private static final double OVERDUE_FRACTION = 2.0 / 3;
    /** After this time an expiry that has not been committed is proposed again. */
    private static final long PROPOSE_AGAIN_AFTER_MS = 1000;

    private final int graceMs;
    private final MassLossGuard guard;
    private final Map<String, Lease> leases = new HashMap<>();
    private boolean leading;
    /** Whether the guard held under the previous leader, and this leader keeps that up. */
    private boolean inheritedHold;
    /** When every lease that this leader gave at its start has been renewed or has run out. */
    private long inheritedHoldEndsAtMs;

    Leases(Settings.Leasing settings, MassLossGuard guard) {
        graceMs = settings.graceMs();
        this.guard = guard;
    }

    /** This replica becomes the leader; {@code held}: whether the guard held under the previous leader. */
    synchronized void startLeading(Collection<Member> members, boolean held, long nowMs) {
        leases.clear();
        members.forEach(m -> leases.put(m.host(), new Lease(m, nowMs + m.spec().leaseMs())));
        inheritedHold = held;
        inheritedHoldEndsAtMs = nowMs + members.stream().mapToInt(m -> m.spec().leaseMs()).max().orElse(0);
        leading = true;
    }

    /** This replica is no longer the leader. */
    synchronized void stopLeading() {
        leading = false;
        leases.clear();
    }

    /** Whether this replica keeps the leases now. */
    synchronized boolean isLeading() {
        return leading;
    }

    /**
     * Follows a change of a member in the list. A new or changed registration gets a full lease; any
     * other change keeps the remaining time.
     */
    synchronized void memberChanged(Member member, long nowMs) {
        if (!leading) {
            return;
        }
        Lease known = leases.get(member.host());
        if (member.left()) {
            leases.remove(member.host());
            return;
        }
        Lease lease = new Lease(member, known == null || known.member.token() != member.token()
            || !known.member.spec().equals(member.spec()) ? nowMs + member.spec().leaseMs()
            : known.expiresAtMs);
        lease.renewed = known == null || known.renewed;
        lease.goneUnlessRenewed =
            known != null && known.member.token() == member.token() && known.goneUnlessRenewed;
        leases.put(member.host(), lease);
    }

    /** Renews a lease; false if no registration with that token is known. */
    synchronized boolean renew(String host, long token, long nowMs) {
        Lease lease = leases.get(host);
        if (lease == null || lease.member.token() != token) {
            return false;
        }
        lease.expiresAtMs = nowMs + lease.member.spec().leaseMs();
        lease.renewed = true;
        lease.declaredGone = false;
        lease.goneUnlessRenewed = false;
        lease.proposedAtMs = Long.MIN_VALUE;
        return true;
    }

    /**
     * An operator says that the members which are missing now are gone. That holds for each of them until it
     * renews its lease. Of a member that is overdue, or that has not renewed with this leader yet, only the
     * end of its lease tells whether it is missing: then it is gone without being held.
     */
    synchronized void declareMissingGone(long nowMs) {
        for (Lease lease : leases.values()) {
            lease.goneUnlessRenewed = inheritedHold && !lease.renewed || isOverdue(lease, nowMs);
            lease.declaredGone |= isMissing(lease, nowMs);
        }
        inheritedHold = false;
    }

    private static boolean isMissing(Lease lease, long nowMs) {
        return !lease.declaredGone && lease.proposedAtMs == Long.MIN_VALUE && nowMs >= lease.expiresAtMs;
    }

    private static boolean isOverdue(Lease lease, long nowMs) {
        double leftMs = (1 - OVERDUE_FRACTION) * lease.member.spec().leaseMs();
        return !lease.declaredGone && lease.proposedAtMs == Long.MIN_VALUE
            && nowMs >= lease.expiresAtMs - leftMs;
    }

    /** Whether this replica leads and none of these leases is known to last. */
    synchronized boolean areOver(List<Command.ExpiredLease> ended, long nowMs) {
        return leading && ended.stream().noneMatch(end -> lasts(leases.get(end.host()), end.token(), nowMs));
    }

    private boolean lasts(Lease lease, long token, long nowMs) {
        return lease != null && lease.member.token() == token && !isOver(lease, nowMs);
    }

    private boolean isOver(Lease lease, long nowMs) {
        return lease.declaredGone || nowMs >= lease.expiresAtMs + graceMs;
    }

    /** Checks all leases. Pinned members have none that could expire. */
    synchronized CheckResult check(long nowMs) {
        List<Command.ExpiredLease> expired = new ArrayList<>();
        int missing = 0;
        int overdue = 0;
        int memberCount = 0;
        for (Lease lease : leases.values()) {
            if (lease.member.pinned()) {
                continue;
            }
            memberCount++;
            lease.declaredGone |= lease.goneUnlessRenewed && isMissing(lease, nowMs);
            if (isMissing(lease, nowMs) || inheritedHold && !lease.renewed) {
                missing++;
            } else if (isOverdue(lease, nowMs)) {
                overdue++;
            }
        }
        inheritedHold &= nowMs < inheritedHoldEndsAtMs;
        boolean hold = guard.shouldHold(nowMs, missing, overdue, memberCount) || inheritedHold;
        for (Lease lease : leases.values()) {
            boolean over = !lease.member.pinned() && isOver(lease, nowMs);
            boolean first = lease.proposedAtMs == Long.MIN_VALUE;
            if (over && (first ? !hold || lease.declaredGone
                : nowMs >= lease.proposedAtMs + PROPOSE_AGAIN_AFTER_MS)) {
                if (first && !lease.declaredGone) {
                    guard.leaseExpired(nowMs);
                }
                lease.proposedAtMs = nowMs;
                expired.add(new Command.ExpiredLease(lease.member.host(), lease.member.token()));
            }
        }
        return new CheckResult(expired, hold, missing + (missing > 0 ? overdue : 0), memberCount);
    }
}
