// Which servers each gateway uses; its part of the decisions is declared in Gateway.java.
package willowyoke;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;

/**
 * A small part of the servers for each gateway, which every gateway computes alike from the list and the
 * number of gateways, without a word between them. Each gateway picks the servers that it ranks highest, each
 * server the gateways that it ranks highest (rendezvous hashing, Thaler and Ravishankar 1998); pairs that
 * either has picked are used: so one machine more or less moves few others, and none is without a partner.
 * With two picks or more from both sides such a graph almost surely carries an even load (Walkup 1980); the
 * parts that make it even come by scaling rows and columns in turn (Sinkhorn and Knopp 1967).
 */
final class Subset {
    /** Picks of each gateway: a choice left when one is slow and another is replaced. */
    static final int OF_GATEWAY = 4;
    /** Picks of each server; it is one server's part of the load that these carry between them. */
    static final int OF_SERVER = 6;
    /** Rounds of scaling: the largest load is then within some thousandths of the mean. */
    private static final int ROUNDS = 12;

    private Subset() { }

    /**
     * What gateway {@code me} of so many (from 0, counted round) sends to each server, as shares of what it
     * sends: they add up to 1, and a server that it does not use is not named. Wants are what servers are to
     * carry, on any one scale: one of 0 or less gets nothing, unless all are so: then alike. Ids occur once.
     */
    static Map<String, Double> of(int me, int gateways, List<String> ids, double[] wants) {
        double[] wanted = wanted(wants, gateways);
        long[] pairs = pick(gateways, ids, wanted);
        double[] part = new double[pairs.length];
        for (int p = 0; p < part.length; p++) {
            part[p] = wanted[(int) pairs[p]];
        }
        for (int round = 0; round < ROUNDS; round++) {
            double[] carried = new double[ids.size()];
            for (int p = 0; p < part.length; p++) {
                carried[(int) pairs[p]] += part[p];
            }
            double[] sent = new double[gateways];
            for (int p = 0; p < part.length; p++) {
                part[p] *= wanted[(int) pairs[p]] / carried[(int) pairs[p]];
                sent[(int) (pairs[p] >> 32)] += part[p];
            }
            for (int p = 0; p < part.length; p++) {
                part[p] /= sent[(int) (pairs[p] >> 32)];
            }
        }
        Map<String, Double> mine = new HashMap<>();
        for (int p = 0; p < part.length; p++) {
            if (pairs[p] >> 32 == Math.floorMod(me, gateways)) {
                mine.put(ids.get((int) pairs[p]), part[p]);
            }
        }
        return mine;
    }

    /** How a gateway ranks a server; the pairs that are not picked are a reserve in this order. */
    static long rank(int gateway, long server) {
        return mix(server + mix(gateway + 1L));
    }

    /** A name as a number: the same at every gateway, and for customers the names on the counter go by it. */
    static long key(String name) {
        return UUID.nameUUIDFromBytes(name.getBytes(StandardCharsets.UTF_8)).getMostSignificantBits();
    }

    /** The last steps of SplitMix64 (Steele, Lea and Flood 2014). */
    static long mix(long z) {
        z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }

    /** In gateways' worth of load: all servers together carry all gateways. */
    private static double[] wanted(double[] wants, int gateways) {
        double sum = Arrays.stream(wants).filter(w -> w > 0).sum();
        return Arrays.stream(wants)
            .map(w -> sum > 0 ? Math.max(0, w) / sum * gateways : (double) gateways / wants.length).toArray();
    }

    /** The pairs picked by either side, a gateway in the upper half of each, a server in the lower. */
    private static long[] pick(int gateways, List<String> ids, double[] wanted) {
        int servers = ids.size();
        long[][] ranks = new long[gateways][servers];
        boolean[][] picked = new boolean[gateways][servers];
        long[] column = new long[gateways];
        for (int s = 0; s < servers; s++) {
            long key = key(ids.get(s));
            for (int g = 0; g < gateways; g++) {
                column[g] = ranks[g][s] = wanted[s] > 0 ? rank(g, key) : Long.MIN_VALUE;
            }
            long least = least(column, OF_SERVER);
            for (int g = 0; g < gateways; g++) {
                picked[g][s] = column[g] >= least;
            }
        }
        long[] pairs = new long[gateways * servers];
        int found = 0;
        for (int g = 0; g < gateways; g++) {
            long least = least(ranks[g], OF_GATEWAY);
            for (int s = 0; s < servers; s++) {
                if (wanted[s] > 0 && (picked[g][s] || ranks[g][s] >= least)) {
                    pairs[found++] = (long) g << 32 | s;
                }
            }
        }
        return Arrays.copyOf(pairs, found);
    }

    /** The lowest rank among the so many highest. */
    private static long least(long[] ranks, int highest) {
        long[] top = new long[Math.min(highest, ranks.length)];
        Arrays.fill(top, Long.MIN_VALUE);
        for (long rank : ranks) {
            int at = 0;
            for (; at < top.length && rank > top[at]; at++) {
                if (at > 0) {
                    top[at - 1] = top[at];
                }
            }
            if (at > 0) {
                top[at - 1] = rank;
            }
        }
        return top.length == 0 ? Long.MIN_VALUE : top[0];
    }
}
