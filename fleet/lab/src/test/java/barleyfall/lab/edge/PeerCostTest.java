package barleyfall.lab.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** What one peer may cost the others: time of the event loop, heap, and decisions that stay open. */
@Timeout(120)
class PeerCostTest {
    private static final int DEADLINE_MS = 6000;
    private static final int SERVER_COUNT = 8;
    private static final int MAX_DESCRIPTORS = 1024;
    private static final int STEADY_CLIENTS = 10;
    /** In which ever new names filled the heap. */
    private static final int LONG_FLOOD_SECONDS = 8;
    private static final int SHORT_FLOOD_SECONDS = 3;
    private static final int FIRST_CUSTOMER = 0x10000;
    private static final String CUSTOMER = "0000000000000002";
    /** As many as the node leaves open on one connection. */
    private static final int MAX_OPEN = 256;
    /** Of which each number is another customer. */
    private static final int REQUESTS_PER_CONNECTION = 10_000_000;

    @TempDir Path folder;
    private EdgeFixture edge;

    private void start() throws Exception {
        edge = new EdgeFixture(folder, SERVER_COUNT, "none", MAX_DESCRIPTORS);
        edge.start(edge.config(DEADLINE_MS));
    }

    @AfterEach void close() throws Exception {
        edge.close();
    }

    private void expectAllAreServed(SteadyClients clients) throws Exception {
        clients.awaitServed(2 * STEADY_CLIENTS);
        assertEquals(List.of(), List.copyOf(clients.lost));
    }

    /** Each new name left state for half a minute: the heap was full, and the node never answered again. */
    @ParameterizedTest
    @CsvSource({"1, 1, 1, 20", "4, 1, 20, 20", "20, 1, 1, 6000", "8, 1, 1, 3600000",
        "4, 300000, 2147483647, 3600000"})
    void everNewCustomersCostNoOtherClient(int connections, int units, int spread, int timeoutMs)
        throws Exception {
        start();
        String pairs = "c=read,t=p,d=" + timeoutMs + ",units=" + units + ",spread=" + spread + ",first=0";
        floodBesideSteadyClients(connections, LONG_FLOOD_SECONDS,
            number -> EdgeFixture.request(EdgeFixture.hex(FIRST_CUSTOMER + number), pairs, number));
    }

    /** A number of 64,000 digits took 0.3 s of the event loop, as its time grew with the square of these. */
    @ParameterizedTest
    @CsvSource({"d=7, 64000", "units=1, 64000", "d=1e7, 60000", "x=1, 60000"})
    void longNumbersCostNoOtherClient(String field, int digits) throws Exception {
        start();
        String pairs = "c=read,t=p,d=1000,units=1,spread=1,first=0," + field + "7".repeat(digits);
        floodBesideSteadyClients(8, SHORT_FLOOD_SECONDS,
            number -> EdgeFixture.request(CUSTOMER, pairs, number));
    }

    /** Requests that cannot be read, or that the settings know no class for, cost little each. */
    @ParameterizedTest
    @ValueSource(strings = {"c=read", "c=x%d,t=p,d=1000", "c=read,t=x%d,d=1000", "c=read,t=p,d=x%d",
        "c=read,t=p,d=1000,spread=%d,units=x"})
    void unsoundRequestsCostNoOtherClient(String pairs) throws Exception {
        start();
        floodBesideSteadyClients(4, SHORT_FLOOD_SECONDS,
            number -> EdgeFixture.request(CUSTOMER, pairs.replace("%d", "" + number), number));
    }

    private void floodBesideSteadyClients(int connections, int seconds, IntFunction<String> requests)
        throws Exception {
        try (SteadyClients clients = new SteadyClients(edge, STEADY_CLIENTS)) {
            expectAllAreServed(clients);
            List<RequestFlood> floods = new ArrayList<>();
            for (int i = 0; i < connections; i++) {
                int first = i * REQUESTS_PER_CONNECTION;
                floods.add(new RequestFlood(edge, MAX_OPEN, number -> requests.apply(first + number)));
            }
            long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
            for (RequestFlood flood : floods) {
                flood.runUntil(endNanos);
            }
            assertEquals(List.of(), List.copyOf(clients.lost));
            for (RequestFlood flood : floods) {
                flood.close();
            }
            expectAllAreServed(clients);
        }
        assertTrue(edge.peakMemoryMb() <= EdgeFixture.MEMORY_MB, "peak of " + edge.peakMemoryMb() + " MB");
        assertEquals(List.of(), edge.violations());
    }
}
