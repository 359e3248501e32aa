package willowyoke;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class SubsetTest {
    private static List<String> ids(int from, int to) {
        List<String> ids = new ArrayList<>();
        for (int i = from; i < to; i++) {
            ids.add("s-" + Long.toHexString(Subset.mix(i)));
        }
        return ids;
    }

    /** What each gateway sends to each server, in gateways' worth of load. */
    private static List<Map<String, Double>> parts(int gateways, List<String> ids) {
        List<Map<String, Double>> parts = new ArrayList<>();
        double[] wants = new double[ids.size()];
        Arrays.fill(wants, 1);
        for (int g = 0; g < gateways; g++) {
            parts.add(Subset.of(g, gateways, ids, wants));
        }
        return parts;
    }

    private static Map<String, Double> load(List<Map<String, Double>> parts) {
        Map<String, Double> load = new HashMap<>();
        parts.forEach(p -> p.forEach((id, part) -> load.merge(id, part, Double::sum)));
        return load;
    }

    @Test void everyServerCarriesItsPartAndNoneIsWithoutAGateway() {
        for (int gateways : new int[] {1, 3, 10, 100}) {
            for (int servers : new int[] {1, 2, 10, 17, 60, 100, 200}) {
                String at = gateways + " gateways, " + servers + " servers: ";
                List<Map<String, Double>> parts = parts(gateways, ids(0, servers));
                Map<String, Double> load = load(parts);
                assertEquals(servers, load.size(), at + "each is used by one or more");
                double most = load.values().stream().max(Double::compare).orElseThrow();
                assertTrue(most <= 1.02 * gateways / servers, at + most * servers / gateways);
                for (Map<String, Double> part : parts) {
                    assertEquals(1, part.values().stream().mapToDouble(d -> d).sum(), 1e-9, at);
                    assertTrue(part.size() >= Math.min(servers, Subset.OF_GATEWAY), at + part);
                }
                assertTrue(parts.stream().mapToInt(Map::size).sum()
                    <= gateways * Subset.OF_GATEWAY + servers * Subset.OF_SERVER, at + "few pairs");
            }
        }
    }

    /** The load that moves, and the pairs that are new, beside what no way of sharing could do without. */
    @Test void oneServerMoreOrLessMovesLittle() {
        for (int servers : new int[] {20, 60, 150}) {
            double moved = 0;
            double pairs = 0;
            for (int from = 0; from < 1000; from += 200) {
                List<Map<String, Double>> before = parts(100, ids(from, from + servers));
                List<Map<String, Double>> after = parts(100, ids(from, from + servers + 1));
                for (int g = 0; g < 100; g++) {
                    for (Map.Entry<String, Double> part : after.get(g).entrySet()) {
                        double had = before.get(g).getOrDefault(part.getKey(), 0.0);
                        moved += Math.max(0, part.getValue() - had) / 5;
                        pairs += had == 0 ? 0.2 : 0;
                    }
                }
            }
            double least = 100.0 / (servers + 1);
            assertTrue(moved <= 2 * least, servers + " servers: " + moved + ", at least " + least);
            double mean = (100.0 * Subset.OF_GATEWAY + servers * Subset.OF_SERVER) / (servers + 1);
            assertTrue(pairs <= mean, servers + " servers: " + pairs + " new pairs, at each " + mean);
        }
    }

    @Test void oneGatewayMoreMovesLittle() {
        List<Map<String, Double>> before = parts(100, ids(0, 60));
        List<Map<String, Double>> after = parts(101, ids(0, 60));
        double moved = 0;
        for (int g = 0; g < 100; g++) {
            for (Map.Entry<String, Double> part : after.get(g).entrySet()) {
                moved += Math.max(0, part.getValue() - before.get(g).getOrDefault(part.getKey(), 0.0));
            }
        }
        assertTrue(moved <= 2, "the new one brings the load of one, and " + moved + " makes room for it");
    }

    /** Two thirds of the servers leave in one change of the list, all of some gateways' own among them. */
    @Test void afterOneChangeOfTheListEveryGatewayHasListedServersOnly() {
        List<String> listed = ids(40, 100);
        List<Map<String, Double>> after = parts(100, listed);
        assertTrue(parts(100, ids(0, 60)).stream().anyMatch(p -> ids(0, 40).containsAll(p.keySet())));
        for (Map<String, Double> part : after) {
            assertTrue(listed.containsAll(part.keySet()) && part.size() >= Subset.OF_GATEWAY);
        }
    }

    @Test void wantsSayWhatEachServerCarries() {
        List<String> ids = ids(0, 12);
        double[] wants = new double[12];
        Arrays.fill(wants, 1);
        wants[3] = 3;
        wants[5] = 0;
        Map<String, Double> load = new HashMap<>();
        for (int g = 0; g < 30; g++) {
            Subset.of(g, 30, ids, wants).forEach((id, part) -> load.merge(id, part, Double::sum));
        }
        assertEquals(3.0 * 30 / 13, load.get(ids.get(3)), 0.2);
        assertEquals(null, load.get(ids.get(5)), "a share of 0 is a reserve");
        Arrays.fill(wants, 0);
        assertEquals(12, Subset.of(0, 1, ids, wants).size(), "all alike where none has a share");
        assertEquals(Map.of(), Subset.of(0, 5, List.of(), new double[0]));
    }
}
