// Which flag servers each gateway uses; GatewayPolicy.java asks for it, Gateway.java declares the events.
package willowyoke;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;

/**
 * Deterministic subsetting: a small part of the flag servers for each gateway, which every gateway computes
 * alike from the server list and the number of gateways, without any communication. Each gateway picks the
 * servers that it ranks highest, and each server the gateways that it ranks highest (rendezvous hashing,
 * Thaler and Ravishankar 1998); a pair that either side picked is used. So a server or gateway more or less
 * moves few other pairs, and none is left without a partner. With two or more picks from both sides such a
 * graph almost surely can carry an even load (Walkup 1980). The shares that make the load even come from
 * scaling rows and columns in turn (Sinkhorn and Knopp 1967).
 */
final class Subset {
    /** Picks of each gateway: it still has a choice when one server is slow and another is being replaced. */
    static final int PICKS_PER_GATEWAY = 4;
    /** Picks of each server; the gateways of these pairs carry the server's load between them. */
    static final int PICKS_PER_SERVER = 6;
    /** Rounds of scaling; after these the largest load is within some thousandths of the mean. */
    private static final int SCALING_ROUNDS = 12;

    private Subset() { }

    /**
     * The shares of its load that one gateway sends to each server. They add up to 1; a server that the
     * gateway does not use is absent. A weight of 0 or less gives a server no load, unless all weights are
     * so: then all servers count alike.
     *
     * @param gateway its index, counted modulo the number of gateways
     * @param gateways the number of gateways
     * @param serverIds the ids of all servers, each of them once
     * @param weights the load that each server is to carry, on any one scale
     */
    static Map<String, Double> sharesOf(int gateway, int gateways, List<String> serverIds, double[] weights) {
        double[] targetLoads = targetLoads(weights, gateways);
        long[] pairs = pickPairs(gateways, serverIds, targetLoads);
        double[] shares = new double[pairs.length];
        for (int p = 0; p < shares.length; p++) {
            shares[p] = targetLoads[(int) pairs[p]];
        }
        for (int round = 0; round < SCALING_ROUNDS; round++) {
            double[] serverLoads = new double[serverIds.size()];
            for (int p = 0; p < shares.length; p++) {
                serverLoads[(int) pairs[p]] += shares[p];
            }
            double[] gatewayLoads = new double[gateways];
            for (int p = 0; p < shares.length; p++) {
                shares[p] *= targetLoads[(int) pairs[p]] / serverLoads[(int) pairs[p]];
                gatewayLoads[(int) (pairs[p] >> 32)] += shares[p];
            }
            for (int p = 0; p < shares.length; p++) {
                shares[p] /= gatewayLoads[(int) (pairs[p] >> 32)];
            }
        }
        Map<String, Double> sharesByServer = new HashMap<>();
        for (int p = 0; p < shares.length; p++) {
            if (pairs[p] >> 32 == Math.floorMod(gateway, gateways)) {
                sharesByServer.put(serverIds.get((int) pairs[p]), shares[p]);
            }
        }
        return sharesByServer;
    }

    /**
     * The rank of a server, given by its key, at a gateway. Servers that are not in the gateway's subset
     * are its reserve in the order of these ranks.
     */
    static long rank(int gateway, long serverKey) {
        return mix(serverKey + mix(gateway + 1L));
    }

    /** A hash of a name, the same at every gateway; the counter ids of a customer are derived from it too. */
    static long key(String name) {
        return UUID.nameUUIDFromBytes(name.getBytes(StandardCharsets.UTF_8)).getMostSignificantBits();
    }

    /** The finalizer of SplitMix64 (Steele, Lea and Flood 2014). */
    static long mix(long z) {
        z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }

    /**
     * The load that each server is to carry, in units of one gateway's load: their sum is the number of
     * gateways.
     */
    private static double[] targetLoads(double[] weights, int gateways) {
        double sum = Arrays.stream(weights).filter(weight -> weight > 0).sum();
        return Arrays.stream(weights)
            .map(weight ->
                sum > 0 ? Math.max(0, weight) / sum * gateways : (double) gateways / weights.length)
            .toArray();
    }

    /**
     * The pairs that either side picked, each with the gateway in the upper 32 bits and the server in the
     * lower.
     */
    private static long[] pickPairs(int gateways, List<String> serverIds, double[] targetLoads) {
        int servers = serverIds.size();
        long[][] ranks = new long[gateways][servers];
        boolean[][] pickedByServer = new boolean[gateways][servers];
        long[] ranksOfServer = new long[gateways];
        for (int s = 0; s < servers; s++) {
            long serverKey = key(serverIds.get(s));
            for (int g = 0; g < gateways; g++) {
                ranksOfServer[g] = ranks[g][s] = targetLoads[s] > 0 ? rank(g, serverKey) : Long.MIN_VALUE;
            }
            long lowestPicked = lowestOfHighest(ranksOfServer, PICKS_PER_SERVER);
            for (int g = 0; g < gateways; g++) {
                pickedByServer[g][s] = ranksOfServer[g] >= lowestPicked;
            }
        }
        long[] pairs = new long[gateways * servers];
        int pairCount = 0;
        for (int g = 0; g < gateways; g++) {
            long lowestPicked = lowestOfHighest(ranks[g], PICKS_PER_GATEWAY);
            for (int s = 0; s < servers; s++) {
                if (targetLoads[s] > 0 && (pickedByServer[g][s] || ranks[g][s] >= lowestPicked)) {
                    pairs[pairCount++] = (long) g << 32 | s;
                }
            }
        }
        return Arrays.copyOf(pairs, pairCount);
    }

    /** The lowest one among the given number of highest ranks. */
    private static long lowestOfHighest(long[] ranks, int count) {
        long[] highest = new long[Math.min(count, ranks.length)]; // in ascending order
        Arrays.fill(highest, Long.MIN_VALUE);
        for (long rank : ranks) {
            int position = 0;
            for (; position < highest.length && rank > highest[position]; position++) {
                if (position > 0) {
                    highest[position - 1] = highest[position];
                }
            }
            if (position > 0) {
                highest[position - 1] = rank;
            }
        }
        return highest.length == 0 ? Long.MIN_VALUE : highest[0];
    }
}
