package barleyfall.lab.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import barleyfall.lab.process.SystemCallFaults;
import barleyfall.lab.process.SystemCallFaults.Call;
import barleyfall.lab.process.SystemCallFaults.Effect;
import barleyfall.lab.process.SystemCallFaults.Rule;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * A real edge node keeps its promises while system calls fail for a moment. Each fault lasts until the test
 * has seen that it was injected, and ends then.
 */
@Timeout(120)
class EdgeSystemCallTest {
    private static final int DEADLINE_MS = 2000;
    /** An answer that is later than the client's time by more than this is lost. */
    private static final long LATE_ANSWER_MS = 500;

    @TempDir Path folder;
    private EdgeFixture edge;

    @BeforeEach void create() throws Exception {
        assumeTrue(SystemCallFaults.isAvailable(), "NOT RUN: there is no C compiler");
        edge = new EdgeFixture(folder, 4);
    }

    @AfterEach void close() throws Exception {
        if (edge != null) {
            edge.close();
        }
    }

    /**
     * A connect whose socket cannot be made ends on another thread than the event loop; what its listener
     * changes there is lost or mixed up with what the event loop does at the same time.
     */
    @Test void socketsThatCannotBeMadeAreHandledOnTheEventLoop() throws Exception {
        edge.start(edge.config(DEADLINE_MS));
        Rule noSocket = Rule.parse("socket ENFILE 100%");
        edge.faults.begin(noSocket);
        EdgeFixture.Client client = edge.client();
        client.send("read", 1, DEADLINE_MS);
        EdgeFixture.await("a socket was refused",
            () -> edge.faults.injectedCount(Call.SOCKET, Effect.ENFILE) > 0);
        edge.faults.end(noSocket);
        client.answer();
        assertEquals(List.of(), edge.violations());
    }

    /** A client whose connection waits while accept fails once gets its answer in its own time. */
    @Test void failedAcceptDelaysNoOtherClient() throws Exception {
        edge.start(edge.config(DEADLINE_MS));
        for (Effect effect : List.of(Effect.ECONNABORTED, Effect.ENFILE, Effect.EMFILE, Effect.ENOBUFS)) {
            Rule noAccept = new Rule(Call.ACCEPT, effect, 1);
            edge.faults.begin(noAccept);
            EdgeFixture.Client client = edge.client();
            int timeoutMs = 300;
            int id = 100 + effect.ordinal();
            long sentNanos = System.nanoTime();
            client.send("read", id, timeoutMs);
            EdgeFixture.await("an accept failed", () -> edge.faults.injectedCount(Call.ACCEPT, effect) > 0);
            edge.faults.end(noAccept);
            String answer = client.answer();
            long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
            assertTrue(tookMs < timeoutMs + LATE_ANSWER_MS, effect + ": " + answer + " after " + tookMs + " ms");
            assertEquals(EdgeFixture.valueOf(id), answer, effect.toString());
        }
        assertEquals(List.of(), edge.violations());
    }

    /** A connect that fails on this machine tells nothing of the server, and takes no attempt away. */
    @Test void connectsThatFailLocallyBlameNoServer() throws Exception {
        edge.start(edge.config(DEADLINE_MS));
        for (String fault : List.of("connect EADDRNOTAVAIL 100%", "connect ENETUNREACH 100%",
            "connect ENOBUFS 100%", "socket ENOBUFS 100%")) {
            Rule rule = Rule.parse(fault);
            long before = edge.faults.injectedCount();
            edge.faults.begin(rule);
            EdgeFixture.Client client = edge.client();
            int id = 200 + (int) before;
            client.send("once", id, DEADLINE_MS);
            // as many failures as a request has attempts, or its answer
            EdgeFixture.await(fault, () -> edge.faults.injectedCount() >= before + 3 || client.hasAnswer());
            edge.faults.end(rule);
            assertEquals(EdgeFixture.valueOf(id), client.answer(), fault);
            assertEquals(0, edge.metric("node_flag_servers_excluded"), fault);
            client.socket.close();
            edge.closeServerConnections();
        }
        assertEquals(List.of(), edge.violations());
    }
}
