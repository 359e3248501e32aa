package barleyfall.catalog.replica;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyfall.catalog.model.Command;
import barleyfall.catalog.model.Member;
import barleyfall.catalog.model.Spec;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntPredicate;
import org.junit.jupiter.api.Test;

/** Twenty members with leases of 1 s and a grace period of 500 ms, on a simulated clock. */
class LeasesTest {
    private static final int MEMBERS = 20;
    private static final int CHECK_INTERVAL_MS = 100;

    private final Leases leases = new Leases(new Settings.Leasing(100, 60_000, 500),
        new MassLossGuard(new Settings.Guarding(0.3, 3, 10_000)));
    private final List<String> expired = new ArrayList<>();
    private boolean holding;
    private long nowMs;

    private static Member member(int number, boolean pinned) {
        return new Member(new Spec("s" + number, "10.0.0.1:1", "z", "", "k", 0, 1, 0, 1000, false, "i"),
            number + 1, false, pinned, false, number + 1);
    }

    private static List<Member> members() {
        List<Member> all = new ArrayList<>();
        for (int i = 0; i < MEMBERS; i++) {
            all.add(member(i, false));
        }
        return all;
    }

    /** A leader took an expiry that a deposed one had proposed for one that was due. */
    @Test void leaseThatLastsIsNotOver() {
        List<Command.ExpiredLease> ended = List.of(new Command.ExpiredLease("s0", 1));
        assertFalse(leases.areOver(ended, nowMs), "this replica does not lead");
        leases.startLeading(members(), false, nowMs);
        assertFalse(leases.areOver(ended, nowMs + 1499));
        assertTrue(leases.areOver(ended, nowMs + 1500));
        leases.renew("s0", 1, nowMs + 1000);
        assertFalse(leases.areOver(ended, nowMs + 1500));
        assertTrue(leases.areOver(List.of(new Command.ExpiredLease("s0", 99)), nowMs),
            "another registration");
    }

    /**
     * Advances the clock. The members that match renew their leases, and members whose leases expire leave
     * the list.
     */
    private void advance(long durationMs, IntPredicate renewing) {
        for (long endMs = nowMs + durationMs; nowMs < endMs;) {
            nowMs += CHECK_INTERVAL_MS;
            for (int i = 0; i < MEMBERS; i++) {
                if (renewing.test(i)) {
                    leases.renew("s" + i, i + 1, nowMs);
                }
            }
            Leases.CheckResult check = leases.check(nowMs);
            holding = check.hold();
            for (Command.ExpiredLease lease : check.expired()) {
                expired.add(lease.host());
                Member known = member(Integer.parseInt(lease.host().substring(1)), false);
                leases.memberChanged(new Member(known.spec(), known.token(), false, false, true, 99), nowMs);
            }
        }
    }

    @Test void aLeaseThatIsNotRenewedExpiresAfterTheGracePeriod() {
        leases.startLeading(members(), false, nowMs);
        advance(1400, i -> i != 7);
        assertEquals(List.of(), expired);
        advance(200, i -> i != 7);
        assertEquals(List.of("s7"), expired);
        assertFalse(leases.renew("s7", 8, nowMs), "the expired member must register again");
        assertFalse(leases.renew("s8", 1, nowMs), "the token of another registration is not accepted");
    }

    @Test void anExpiryThatWasNotCommittedIsProposedAgain() {
        leases.startLeading(members(), false, nowMs);
        for (nowMs = CHECK_INTERVAL_MS; nowMs <= 1500; nowMs += CHECK_INTERVAL_MS) {
            for (int i = 1; i < MEMBERS; i++) {
                leases.renew("s" + i, i + 1, nowMs);
            }
            if (nowMs < 1500) {
                assertEquals(List.of(), leases.check(nowMs).expired());
            }
        }
        assertEquals(1, leases.check(1500).expired().size());
        assertEquals(0, leases.check(1600).expired().size(), "the proposal is pending");
        assertEquals(1, leases.check(2500).expired().size());
        assertTrue(leases.renew("s0", 1, 2600), "it renews before the expiry is applied");
        assertEquals(0, leases.check(3500).expired().size());
    }

    @Test void manyLeasesThatRunOutTogetherAreHeldUntilTheMembersAreBack() {
        leases.startLeading(members(), false, nowMs);
        advance(30_000, i -> i >= 8);
        assertEquals(List.of(), expired);
        assertTrue(holding);
        advance(300, i -> true);
        assertFalse(holding);
        advance(30_000, i -> i >= 2);
        assertEquals(List.of("s0", "s1"), expired.stream().sorted().toList());
    }

    /** The first leases to run out expired alone, before the guard counted enough of the others. */
    @Test void membersThatStopTogetherAreAllHeldHoweverTheirRenewalsAreSpread() {
        Leases shortGrace = new Leases(new Settings.Leasing(100, 60_000, 0),
            new MassLossGuard(new Settings.Guarding(0.3, 3, 3000)));
        shortGrace.startLeading(members(), false, 0);
        int renewalIntervalMs = 333;
        for (long atMs = 0; atMs < 5000; atMs++) {
            for (int i = 0; i < MEMBERS; i++) {
                boolean runs = atMs < 2000 || i >= MEMBERS / 2;
                if (runs && atMs % renewalIntervalMs == i * renewalIntervalMs / MEMBERS) {
                    assertTrue(shortGrace.renew("s" + i, i + 1, atMs));
                }
            }
            assertEquals(List.of(), shortGrace.check(atMs).expired(), "after " + atMs + " ms");
        }
    }

    @Test void anOperatorCanReleaseHeldLeases() {
        leases.startLeading(members(), false, nowMs);
        advance(5000, i -> i >= 8);
        leases.declareMissingGone(nowMs);
        advance(200, i -> i >= 8);
        assertEquals(8, expired.size());
        assertFalse(holding);
        advance(20_000, i -> i >= 14);
        assertEquals(8, expired.size(), "only the members that were missing at that time are declared gone");
        assertTrue(holding);
    }

    /** Losses one by one within the window are a mass loss too; spread over a longer time they are not. */
    @Test void aGradualLossIsHeldOnceItExceedsTheFraction() {
        leases.startLeading(members(), false, nowMs);
        for (int gone = 0; gone < 12; gone++) {
            int lastGone = gone;
            advance(1000, i -> i > lastGone);
        }
        assertTrue(holding);
        assertTrue(expired.size() >= 4 && expired.size() <= 6, expired.toString());
    }

    @Test void aLossSpreadOverALongTimeIsNotHeld() {
        leases.startLeading(members(), false, nowMs);
        for (int gone = 0; gone < 8; gone++) {
            int lastGone = gone;
            advance(6000, i -> i > lastGone);
            assertFalse(holding, "after " + gone);
        }
        assertEquals(8, expired.size());
    }

    @Test void aNewLeaderGivesFullLeasesAndKeepsTheHold() {
        nowMs = 50_000;
        leases.startLeading(members(), true, nowMs);
        advance(800, i -> i >= 8);
        assertTrue(holding, "most members have not renewed with this leader");
        assertEquals(List.of(), expired);
        advance(30_000, i -> i >= 8);
        assertTrue(holding);
        assertEquals(List.of(), expired);
        leases.stopLeading();
        assertFalse(leases.isLeading());
        leases.startLeading(members(), true, nowMs);
        advance(500, i -> i >= 8);
        leases.declareMissingGone(nowMs);
        advance(400, i -> i >= 8);
        assertEquals(List.of(), expired, "they may have renewed right before the change of the leader");
        advance(100, i -> i >= 8);
        assertEquals(8, expired.size(), "their leases have run out, and are not held");
    }

    /** Members that renewed before a change of the leader were gone with those that an operator let go. */
    @Test void letGoAfterChangeOfLeaderEndsNoLeaseThatIsRenewed() {
        leases.startLeading(members(), true, nowMs);
        advance(100, i -> i >= 14);
        leases.declareMissingGone(nowMs);
        advance(200, i -> i >= 14);
        assertEquals(List.of(), expired);
        advance(10_000, i -> i >= 8);
        assertEquals(8, expired.size(), expired.toString());
        assertTrue(expired.stream().allMatch(host -> Integer.parseInt(host.substring(1)) < 8),
            expired.toString());
        assertFalse(holding);
    }

    @Test void pinnedMembersDoNotExpire() {
        List<Member> members = members();
        members.set(3, member(3, true));
        leases.startLeading(members, false, nowMs);
        advance(10_000, i -> i != 3);
        assertEquals(List.of(), expired);
    }
}
