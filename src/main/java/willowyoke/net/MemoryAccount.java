package willowyoke.net;

import willowyoke.MemoryPolicy;
import willowyoke.MemoryPolicy.Use;

/**
 * What one connection holds in memory, by its uses. It may be held after the connection has closed, for as
 * long as an attempt is in flight; the account is forgotten when nothing is left.
 */
final class MemoryAccount {
    /** Something that a connection can give up. */
    record Offer(MemoryAccount account, Use use, long bytes, double sinceMs, Runnable giveUp)
        implements MemoryPolicy.Holding { }

    /** The owner of an account. */
    interface Holder {
        /**
         * Returns what the connection can give up, or null.
         *
         * @param lastResort whether it has to give up what it still owes, as there is no other way
         */
        Offer offer(boolean lastResort);
    }

    /** One use of the memory, by one part of the connection. */
    final class Part {
        private final Use use;
        private long bytes;
        /** Since when something is held, or when a part of it was last given back. */
        private double sinceMs;

        private Part(Use use) {
            this.use = use;
        }

        /** Takes memory; false where there is none to be had. */
        boolean reserve(long wanted) {
            if (budget != null && !budget.reserve(MemoryAccount.this, use, wanted)) {
                return false;
            }
            add(wanted);
            return true;
        }

        /** Notes what is held already, whether there is room for it or not. */
        void set(long heldBytes) {
            boolean more = heldBytes > bytes;
            add(heldBytes - bytes);
            if (more && budget != null) {
                budget.enforce(use);
            }
        }

        /** Notes more of what is held already. The caller stops its source when the memory is full. */
        void add(long moreBytes) {
            if (budget != null && (bytes == 0 || moreBytes < 0)) {
                sinceMs = budget.nowMs();
            }
            bytes += moreBytes;
            addTotal(use, moreBytes);
        }

        /** Gives memory back. */
        void release(long releasedBytes) {
            add(-releasedBytes);
        }

        /** How much is held. */
        long bytes() {
            return bytes;
        }

        /** Whether nothing more may be held beyond the connection's share. */
        boolean isFull() {
            return budget != null && totalBytes > MemoryPolicy.SHARE_BYTES && budget.isFull(use);
        }

        /** Returns the offer to give this up. */
        Offer offer(Runnable giveUp) {
            return new Offer(MemoryAccount.this, use, bytes, sinceMs, giveUp);
        }
    }

    /** Null where nothing is limited. */
    private final MemoryBudget budget;
    private final Holder holder;
    private long totalBytes;
    private boolean closed;

    MemoryAccount(MemoryBudget budget, Holder holder) {
        this.budget = budget;
        this.holder = holder;
    }

    /** Returns a part without a limit, for connections to the node's own services. */
    static Part unlimited(Use use) {
        return new MemoryAccount(null, lastResort -> null).part(use);
    }

    /** Returns a new part of this account. */
    Part part(Use use) {
        return new Part(use);
    }

    private void addTotal(Use use, long bytes) {
        long pooledBefore = MemoryPolicy.pooledBytes(totalBytes);
        totalBytes += bytes;
        if (budget != null) {
            budget.adjust(use, bytes, MemoryPolicy.pooledBytes(totalBytes) - pooledBefore);
            forgetIfDone();
        }
    }

    /** All that is held. */
    long totalBytes() {
        return totalBytes;
    }

    /** Returns what the connection can give up, or null. */
    Offer offer(boolean lastResort) {
        return closed ? null : holder.offer(lastResort);
    }

    /** Notes that the connection is closed. */
    void close() {
        closed = true;
        if (budget != null) {
            forgetIfDone();
        }
    }

    private void forgetIfDone() {
        if (closed && totalBytes == 0) {
            budget.removeAccount(this);
        }
    }
}
