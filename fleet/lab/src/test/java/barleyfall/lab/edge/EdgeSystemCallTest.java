package barleyfall.lab.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import barleyfall.lab.process.SystemCallFaults;
import barleyfall.lab.process.SystemCallFaults.Call;
import barleyfall.lab.process.SystemCallFaults.Effect;
import barleyfall.lab.process.SystemCallFaults.Rule;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
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
    /** How much more than the client has left a server may be told. */
    private static final double DEADLINE_SLACK_MS = 150;
    private static final int SERVER_COUNT = 4;
    /** An answer that is later than the client's time by more than this is lost. */
    private static final long LATE_ANSWER_MS = 500;

    @TempDir Path folder;
    private EdgeFixture edge;

    @BeforeEach void create() throws Exception {
        assumeTrue(SystemCallFaults.isAvailable(), "NOT RUN: there is no C compiler");
        edge = new EdgeFixture(folder, SERVER_COUNT, "/tmp/detached");
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
            assertTrue(tookMs < timeoutMs + LATE_ANSWER_MS,
                effect + ": " + answer + " after " + tookMs + " ms");
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

    /** Requests of an unsafe class run at most once, however the transfers are cut and broken off. */
    @Test void brokenTransfersRepeatNoUnsafeRequest() throws Exception {
        edge.start(edge.config(DEADLINE_MS));
        List<String> faults = List.of("read SHORT 80%", "write SHORT 80%", "write ETIMEDOUT 5%",
            "read EHOSTUNREACH 5%", "write EINTR 20%", "read EINTR 20%", "wait EINTR 20%",
            "connect EINTR 20%", "accept EINTR 20%");
        faults.forEach(fault -> edge.faults.begin(Rule.parse(fault)));
        for (int id = 1000; id < 1300; id++) {
            EdgeFixture.Client client = edge.client();
            client.send("once", id, DEADLINE_MS);
            String answer = client.answer();
            assertTrue(answer.equals(EdgeFixture.valueOf(id)) || answer.startsWith("-"), answer);
            client.socket.close();
        }
        faults.forEach(fault -> edge.faults.end(Rule.parse(fault)));
        List<String> ids = edge.received.stream().map(EdgeFixture.Received::id).toList();
        assertEquals(ids.stream().distinct().toList(), ids);
        assertEquals(List.of(), edge.violations());
        assertTrue(edge.faults.injectedCount(Call.WRITE, Effect.ETIMEDOUT) > 0);
    }

    /** A server that was taken out stays out while the folder that says so cannot be read. */
    @Test void detachedServerStaysOutWhileTheFolderFails() throws Exception {
        edge.start(edge.config(DEADLINE_MS));
        assertEquals(List.of("SUCCESS"), edge.control("DETACH s0"));
        for (String fault : List.of("open EIO 100%", "list EIO 100%")) {
            Rule rule = Rule.parse(fault);
            long before = edge.faults.injectedCount();
            edge.faults.begin(rule);
            EdgeFixture.await(fault, () -> edge.faults.injectedCount() >= before + 3);
            sendRequestsThatServer0MustNotGet(10_000 + 1000 * (int) before);
            edge.faults.end(rule);
        }
        Rule noUnlink = Rule.parse("unlink EIO 100%");
        edge.faults.begin(noUnlink);
        assertTrue(edge.control("ATTACH s0").get(0).startsWith("FAILURE"));
        edge.faults.end(noUnlink);
        sendRequestsThatServer0MustNotGet(30_000);
        assertEquals(List.of("SUCCESS"), edge.control("ATTACH s0"));
        Rule noSpace = Rule.parse("open ENOSPC 100%");
        edge.faults.begin(noSpace);
        assertTrue(edge.control("DETACH s1").get(0).startsWith("FAILURE"));
        edge.faults.end(noSpace);
        assertEquals(0, edge.metric("node_flag_servers_excluded"));
    }

    /** A process that starts while the folder fails does not use a server that was taken out before. */
    @Test void startReadsTheDetachedServersFirst() throws Exception {
        edge.start(edge.config(DEADLINE_MS));
        assertEquals(List.of("SUCCESS"), edge.control("DETACH s0"));
        edge.process().kill();
        Rule unreadable = Rule.parse("open EIO 100%");
        edge.faults.begin(unreadable);
        edge.launchWithFiles(edge.config(DEADLINE_MS));
        EdgeFixture.await("the folder was read some times, or the node takes clients",
            () -> edge.faults.injectedCount(Call.OPEN, Effect.EIO) >= 8 || edge.isReady());
        if (edge.isReady()) {
            sendRequestsThatServer0MustNotGet(50_000);
        }
        edge.faults.end(unreadable);
        edge.awaitReady();
        sendRequestsThatServer0MustNotGet(60_000);
    }

    /** A file that names no server does not hide those that do. */
    @Test void oddFileNamesHideNoDetachedServer() throws Exception {
        edge.start(edge.config(DEADLINE_MS));
        Path detached = Files.createDirectories(edge.process().temporaryFolder().resolve("detached"));
        Files.createFile(detached.resolve("%zz"));
        Files.createFile(detached.resolve("s0"));
        EdgeFixture.await("s0 is excluded", () -> {
            try {
                return edge.metric("node_flag_servers_excluded") == 1;
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
        sendRequestsThatServer0MustNotGet(70_000);
    }

    private void sendRequestsThatServer0MustNotGet(int firstId) throws Exception {
        int before = edge.received.size();
        // a node that has just started holds its pace down and refuses some
        for (int id = firstId, served = 0; served < 40; id++) {
            EdgeFixture.Client client = edge.client();
            client.send("read", id, DEADLINE_MS);
            served += client.answer().equals(EdgeFixture.valueOf(id)) ? 1 : 0;
            client.socket.close();
        }
        assertTrue(edge.received.subList(before, edge.received.size()).stream()
            .noneMatch(received -> received.server() == 0), "s0 was taken out and got a request");
    }

    /** A node whose sockets cannot be made at its start listens once they can. */
    @Test void startOutlastsSocketsThatCannotBeMade() throws Exception {
        Rule noSocket = Rule.parse("socket ENFILE 100%");
        edge.faults.begin(noSocket);
        edge.launch(edge.config(DEADLINE_MS));
        EdgeFixture.await("the node fails to listen", () -> edge.log().contains("cannot listen")
            || edge.log().contains("Exception in thread") || !edge.process().isAlive());
        edge.faults.end(noSocket);
        edge.awaitReady();
        EdgeFixture.Client client = edge.client();
        client.send("read", 1, DEADLINE_MS);
        assertEquals(EdgeFixture.valueOf(1), client.answer());
    }

    /** A configuration that cannot be read in the moment of SIGHUP takes effect once it can. */
    @Test void reloadOutlastsFileThatCannotBeRead() throws Exception {
        edge.close();
        edge = new EdgeFixture(folder, SERVER_COUNT, "config.json");
        edge.start(edge.config(DEADLINE_MS));
        Rule unreadable = Rule.parse("open EIO 100%");
        edge.faults.begin(unreadable);
        edge.reload(edge.config(DEADLINE_MS + 1));
        EdgeFixture.await("a read failed", () -> edge.faults.injectedCount(Call.OPEN, Effect.EIO) > 0);
        edge.faults.end(unreadable);
        EdgeFixture.await("the file is taken", () -> {
            try {
                return edge.metric("node_reloads_ok_total") == 1;
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
    }

    /** A request that waits in the queue while accept fails is answered, though the node is to end. */
    @Test void drainAcceptsWhatWaitsBehindFailedAccepts() throws Exception {
        edge.start(edge.config(DEADLINE_MS));
        Rule noAccept = Rule.parse("accept ENFILE 100%");
        edge.faults.begin(noAccept);
        EdgeFixture.Client client = edge.client();
        client.send("read", 1, DEADLINE_MS);
        EdgeFixture.await("an accept failed",
            () -> edge.faults.injectedCount(Call.ACCEPT, Effect.ENFILE) > 0);
        edge.process().term();
        // far more than the 0.6 s in which the node listens on
        EdgeFixture.await("accept went on failing, or the node has ended",
            () -> edge.faults.injectedCount(Call.ACCEPT, Effect.ENFILE) > 500 || !edge.process().isAlive());
        edge.faults.end(noAccept);
        String answer = client.answer();
        assertTrue(answer.startsWith("-BUSY") || answer.equals(EdgeFixture.valueOf(1)), answer);
        EdgeFixture.await("the node has ended", () -> !edge.process().isAlive());
    }

    /** A node that is told to end while it cannot listen ends. */
    @Test void termEndsNodeThatCannotListen() throws Exception {
        edge.faults.begin(Rule.parse("socket ENFILE 100%"));
        edge.launch(edge.config(DEADLINE_MS));
        EdgeFixture.await("the node fails to listen", () -> edge.log().contains("cannot listen"));
        edge.process().term();
        EdgeFixture.await("the node has ended", () -> !edge.process().isAlive());
    }

    /** The time that a request waits in the accept queue is the client's too: no server is told more. */
    @Test void timeInTheAcceptQueueIsSubtracted() throws Exception {
        edge.start(edge.config(DEADLINE_MS));
        Rule noAccept = Rule.parse("accept ENFILE 100%");
        edge.faults.begin(noAccept);
        EdgeFixture.Client client = edge.client();
        long sentNanos = System.nanoTime();
        client.send("read", 1, DEADLINE_MS);
        long heldMs = 600;
        EdgeFixture.await("accept fails for a while",
            () -> System.nanoTime() - sentNanos > TimeUnit.MILLISECONDS.toNanos(heldMs));
        edge.faults.end(noAccept);
        assertEquals(EdgeFixture.valueOf(1), client.answer());
        EdgeFixture.Received received = edge.received.get(0);
        double usedMs = (received.atNanos() - sentNanos) / 1e6;
        assertTrue(usedMs + received.timeLeftMs() <= DEADLINE_MS + DEADLINE_SLACK_MS,
            "told the server " + received.timeLeftMs() + " ms after " + usedMs + " ms");
    }
}
