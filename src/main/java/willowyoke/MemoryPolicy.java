// What a node's connections may hold in memory; beside GatewayPolicy, whose events Gateway.java declares.
package willowyoke;

import java.util.Collection;

/**
 * Decides what the connections of a node may hold in memory, and which of them gives up what it holds when
 * that is too much. Each connection has a small share of its own; what it holds beyond that lies in a pool
 * that all of them use. So peers that fill the pool keep nobody else from holding an ordinary request.
 */
public final class MemoryPolicy {
    /** How much each connection may hold whatever the others do, in bytes: two requests without a body. */
    public static final int SHARE_BYTES = 4096;
    /** What an open request takes at least, in bytes, as its objects take memory as well as its text. */
    public static final int MIN_REQUEST_BYTES = 2048;
    /** The part of a node's memory that is outside the heap, for the bytes of its connections. */
    private static final double DIRECT_FRACTION = 1.0 / 6;
    /** The part of the direct memory that is the pool; the rest is for reads, lists and fragmentation. */
    private static final double POOL_FRACTION = 1.0 / 4;

    /** What bytes are held for. What has got further may take more of the pool than what comes after it. */
    public enum Use {
        /** A command that is not received whole. */
        PARTIAL_COMMAND(1),
        /** A request that is open or has an attempt in flight. */
        REQUEST(1),
        /** An answer that is not received whole. */
        PARTIAL_ANSWER(1.25),
        /** Parts of a long value that are not passed on yet. */
        LONG_VALUE(1.25),
        /** A whole answer that is not written, as it is not its turn or its client does not read. */
        WAITING_ANSWER(1.25),
        /** Output that the client has not taken. */
        UNSENT_OUTPUT(1.5);

        private final double poolFactor;

        Use(double poolFactor) {
            this.poolFactor = poolFactor;
        }
    }

    /** Something that can be given up. */
    public interface Holding {
        /** How many bytes are free when it is given up. */
        long bytes();

        /** Since when they are held. */
        double sinceMs();
    }

    private final long poolBytes;

    /**
     * Creates the policy of a process.
     *
     * @param memoryBytes the memory that the node may take in all
     * @param directBytes the memory outside the heap that the process can take
     */
    public MemoryPolicy(long memoryBytes, long directBytes) {
        poolBytes = (long) (Math.min(memoryBytes * DIRECT_FRACTION, directBytes) * POOL_FRACTION);
    }

    /** The size of the pool. */
    public long poolBytes() {
        return poolBytes;
    }

    /** The part of what a connection holds that lies in the pool. */
    public static long pooledBytes(long heldBytes) {
        return Math.max(0, heldBytes - SHARE_BYTES);
    }

    /**
     * Whether a connection may hold something.
     *
     * @param heldBytes what the connection holds with it
     * @param usedPoolBytes what lies in the pool without it
     */
    public boolean mayHold(Use use, long heldBytes, long usedPoolBytes) {
        return heldBytes <= SHARE_BYTES || !isFull(use, usedPoolBytes);
    }

    /** Whether nothing more of a kind may be put into the pool. */
    public boolean isFull(Use use, long usedPoolBytes) {
        return usedPoolBytes > poolBytes * use.poolFactor;
    }

    /** Chooses what is given up: what holds the most for the longest. Null where there is nothing. */
    public <T extends Holding> T chooseVictim(Collection<T> holdings, double nowMs) {
        T victim = null;
        double most = -1;
        for (T holding : holdings) {
            double byteMs = holding.bytes() * Math.max(0, nowMs - holding.sinceMs());
            if (byteMs > most) {
                victim = holding;
                most = byteMs;
            }
        }
        return victim;
    }
}
