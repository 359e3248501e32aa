package willowyoke.net;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.DoubleSupplier;
import willowyoke.MemoryPolicy;
import willowyoke.MemoryPolicy.Use;
import willowyoke.net.Invariants.Invariant;

/**
 * Keeps account of the bytes that the connections of a node hold in memory, one {@link MemoryAccount} for
 * each, and has the {@link MemoryPolicy} decide who may hold more and who gives up what he holds.
 */
final class MemoryBudget {
    private final MemoryPolicy policy;
    private final DoubleSupplier clock;
    private final Set<MemoryAccount> accounts = new LinkedHashSet<>();
    private final long[] heldBytes = new long[Use.values().length];
    private final long[] refusedCounts = new long[Use.values().length];
    private final long[] givenUpCounts = new long[Use.values().length];
    private long usedPoolBytes;

    /** Creates a budget with a clock in ms. */
    MemoryBudget(MemoryPolicy policy, DoubleSupplier clock) {
        this.policy = policy;
        this.clock = clock;
    }

    /** Opens the account of a connection. */
    MemoryAccount openAccount(MemoryAccount.Holder holder) {
        MemoryAccount account = new MemoryAccount(this, holder);
        accounts.add(account);
        return account;
    }

    /** Forgets an account in which nothing is held any more. */
    void removeAccount(MemoryAccount account) {
        accounts.remove(account);
    }

    /** Whether an account may hold something, after others have given up as much as they can. */
    boolean reserve(MemoryAccount account, Use use, long bytes) {
        while (!policy.mayHold(use, account.totalBytes() + bytes, usedPoolBytes)) {
            MemoryAccount.Offer victim = chooseVictim(false);
            if (victim == null || victim.account() == account) {
                refusedCounts[use.ordinal()]++;
                return false;
            }
            if (!giveUp(victim)) {
                return false;
            }
        }
        return true;
    }

    /** Has others, or else the holder itself, give up what they hold where more is held than may be. */
    void enforce(Use use) {
        while (policy.isFull(use, usedPoolBytes)) {
            MemoryAccount.Offer victim = chooseVictim(false);
            victim = victim == null ? chooseVictim(true) : victim;
            if (victim == null || !giveUp(victim)) {
                return;
            }
        }
    }

    /** The time in ms. */
    double nowMs() {
        return clock.getAsDouble();
    }

    /** Whether nothing more of a kind may be held beyond the shares of the connections. */
    boolean isFull(Use use) {
        return policy.isFull(use, usedPoolBytes);
    }

    private MemoryAccount.Offer chooseVictim(boolean lastResort) {
        List<MemoryAccount.Offer> offers = new ArrayList<>();
        for (MemoryAccount account : accounts) {
            MemoryAccount.Offer offer = account.offer(lastResort);
            if (offer != null && MemoryPolicy.pooledBytes(account.totalBytes()) > 0) {
                offers.add(offer);
            }
        }
        return policy.chooseVictim(offers, nowMs());
    }

    /** Has something given up; false where that has freed nothing. */
    private boolean giveUp(MemoryAccount.Offer offer) {
        givenUpCounts[offer.use().ordinal()]++;
        long before = offer.account().totalBytes();
        offer.giveUp().run();
        return offer.account().totalBytes() < before;
    }

    /** Notes that an account holds so much more, or less where the number is negative. */
    void adjust(Use use, long bytes, long pooledBytes) {
        heldBytes[use.ordinal()] += bytes;
        usedPoolBytes += pooledBytes;
    }

    /** Checks the sums against the accounts; nothing is held where no account is open. */
    void check(Invariants invariants) {
        long held = 0;
        long pooled = 0;
        for (MemoryAccount account : accounts) {
            held += account.totalBytes();
            pooled += MemoryPolicy.pooledBytes(account.totalBytes());
        }
        long inAccounts = held;
        long inPool = pooled;
        long counted = totalBytes();
        invariants.check(Invariant.MEMORY_ACCOUNTS, counted == inAccounts && usedPoolBytes == inPool,
            () -> counted + " bytes are held, " + usedPoolBytes + " of them in the pool; by the accounts "
                + inAccounts + " and " + inPool);
    }

    /** All that is held. */
    long totalBytes() {
        return Arrays.stream(heldBytes).sum();
    }

    /** What lies in the pool. */
    long usedPoolBytes() {
        return usedPoolBytes;
    }

    /** The size of the pool. */
    long poolBytes() {
        return policy.poolBytes();
    }

    /** The bytes held of each kind. */
    Map<Use, Long> heldBytes() {
        return byUse(heldBytes);
    }

    /** How often something of each kind was not taken, for want of memory. */
    Map<Use, Long> refusedCounts() {
        return byUse(refusedCounts);
    }

    /** How often something of each kind was given up for others. */
    Map<Use, Long> givenUpCounts() {
        return byUse(givenUpCounts);
    }

    private static Map<Use, Long> byUse(long[] values) {
        Map<Use, Long> map = new EnumMap<>(Use.class);
        for (Use use : Use.values()) {
            map.put(use, values[use.ordinal()]);
        }
        return map;
    }
}
