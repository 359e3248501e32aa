package barleyfall.lab.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** An edge node with half the memory and descriptors, whose whole process stays within that memory. */
@Timeout(120)
class SmallNodeMemoryTest {
    private static final int MEMORY_MB = 96;
    private static final int MAX_DESCRIPTORS = 512;
    private static final int SERVER_COUNT = 8;
    private static final int STEADY_CLIENTS = 10;
    private static final int PEERS = 250;
    private static final int DEADLINE_MS = 6000;
    private static final int TIMEOUT_MS = 3000;
    private static final int SHORT_FIELDS = 15_000;
    private static final int ROUNDS = 20;
    private static final int FIRST_STEADY_ID = 0x1000;
    private static final int LONG_VALUE_BYTES = 1 << 20;
    private static final int PIECE_BYTES = 4096;
    private static final int FLOODS = 4;
    private static final int FLOOD_SECONDS = 8;
    /** As many as the node leaves open on one connection. */
    private static final int MAX_OPEN = 256;
    private static final String CUSTOMER = "0000000000000002";

    @TempDir Path folder;
    private EdgeFixture edge;
    private final List<EdgeFixture.Client> peers = new ArrayList<>();

    @BeforeEach void start() throws Exception {
        edge = new EdgeFixture(folder, SERVER_COUNT, "none", MAX_DESCRIPTORS);
        edge.start(edge.config(DEADLINE_MS).replace("\"memory_mb\":" + EdgeFixture.MEMORY_MB,
            "\"memory_mb\":" + MEMORY_MB));
        for (int i = 0; i < PEERS; i++) {
            peers.add(edge.client());
        }
    }

    @AfterEach void close() throws Exception {
        edge.close();
    }

    private void expectAllAreServed(SteadyClients clients) throws Exception {
        clients.awaitServed(2 * STEADY_CLIENTS);
        assertEquals(List.of(), List.copyOf(clients.lost));
    }

    private void expectMemoryIsKept() throws IOException {
        assertTrue(edge.peakMemoryMb() <= MEMORY_MB, "peak of " + edge.peakMemoryMb() + " MB");
        assertEquals(List.of(), edge.violations());
    }

    private void writeToAll(String text) {
        for (EdgeFixture.Client peer : peers) {
            try {
                peer.write(text);
            } catch (IOException ended) {
                continue; // it has its close
            }
        }
    }

    private String requestWithShortFields(int id) {
        return EdgeFixture.request(CUSTOMER,
            "c=read,t=p,d=" + TIMEOUT_MS + ",units=1,spread=1,first=0" + ",x=".repeat(SHORT_FIELDS), id);
    }

    /** Heads of very many short fields, which many clients send at once, took more than the node may have. */
    @Test void headsOfManyFieldsStayWithinMemory() throws Exception {
        try (SteadyClients clients = new SteadyClients(edge, STEADY_CLIENTS)) {
            expectAllAreServed(clients);
            for (int round = 0; round < ROUNDS; round++) {
                writeToAll(requestWithShortFields(round));
                clients.awaitServed(STEADY_CLIENTS);
            }
            expectAllAreServed(clients);
        }
        expectMemoryIsKept();
    }

    /** Ever new customers, each served, took more than the node may have. */
    @Test void everNewCustomersStayWithinMemory() throws Exception {
        List<RequestFlood> floods = new ArrayList<>();
        try (SteadyClients clients = new SteadyClients(edge, STEADY_CLIENTS)) {
            expectAllAreServed(clients);
            for (int i = 0; i < FLOODS; i++) {
                int first = (i + 1) << 24;
                floods.add(new RequestFlood(edge, MAX_OPEN, number -> EdgeFixture.request(
                    EdgeFixture.hex(first + number), "c=read,t=p,d=20,units=1,spread=1,first=0", number)));
            }
            long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(FLOOD_SECONDS);
            for (RequestFlood flood : floods) {
                flood.runUntil(endNanos);
            }
            for (RequestFlood flood : floods) {
                flood.close();
            }
            expectAllAreServed(clients);
        }
        expectMemoryIsKept();
    }

    /** Requests that many clients write slowly, in pieces, took more than the node may have. */
    @Test void slowWritersStayWithinMemory() throws Exception {
        String request = EdgeFixture.requestWithBody("once", 1, TIMEOUT_MS, LONG_VALUE_BYTES / 16);
        try (SteadyClients clients = new SteadyClients(edge, STEADY_CLIENTS)) {
            expectAllAreServed(clients);
            for (int start = 0; start < request.length(); start += PIECE_BYTES) {
                writeToAll(request.substring(start, Math.min(request.length(), start + PIECE_BYTES)));
            }
            expectAllAreServed(clients);
        }
        expectMemoryIsKept();
    }

    /** Long values that many clients read slowly took more than the node may have. */
    @Test void slowReadersStayWithinMemory() throws Exception {
        String value = "v".repeat(LONG_VALUE_BYTES);
        edge.behavior = (request, out) -> EdgeFixture.writeValue(
            Integer.parseInt(request.id(), 16) < FIRST_STEADY_ID ? value : "value of " + request.id(), out);
        try (SteadyClients clients = new SteadyClients(edge, STEADY_CLIENTS)) {
            expectAllAreServed(clients);
            writeToAll(EdgeFixture.request("read", 1, TIMEOUT_MS));
            long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
            byte[] piece = new byte[PIECE_BYTES];
            while (System.nanoTime() < endNanos) {
                for (EdgeFixture.Client peer : peers) {
                    if (peer.hasAnswer()) {
                        peer.socket.getInputStream().read(piece);
                    }
                }
                clients.awaitServed(1);
            }
            expectAllAreServed(clients);
        }
        expectMemoryIsKept();
    }
}
