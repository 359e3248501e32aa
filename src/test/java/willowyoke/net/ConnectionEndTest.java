package willowyoke.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests of what is still owed on a connection at the moment in which it is ended. */
@Timeout(60)
class ConnectionEndTest extends EdgeNodeFixture {
    private static final List<String> BUSY = List.of("-BUSY");
    /** What the protocol allows between the time that a server is told and the client's true time. */
    private static final double TOLD_TIME_SLACK_MS = 150;
    /** When a node may be killed after SIGTERM: the longest deadline of the settings, and 0.7 s. */
    private static final long KILL_AFTER_MS = 2000 + 700;
    /** Within this a peer that stops inside a command is owed an error or a close. */
    private static final long IMPROPER_PEER_MS = 3000;
    /** An attempt that begins later than this after its client's close is lost. */
    private static final long MAX_BEGIN_AFTER_CLOSE_MS = 100;
    private static final int HALF = 40;
    /** From when on a drain ends idle connections. */
    private static final double IDLE_END_MS = 600;
    private static final int LONG_VALUE = 200_000;

    /** Opens a connection and uses it once. */
    private Peer.Connection usedClient() throws IOException {
        Peer.Connection client = client();
        ping(client);
        return client;
    }

    private static void ping(Peer.Connection client) throws IOException {
        client.writeCommand("PING");
        assertEquals(List.of("+PONG"), client.readMessage());
    }

    /** Waits until what was written on other connections has been read. */
    private void awaitRead() throws IOException {
        try (Peer.Connection other = client()) {
            for (int i = 0; i < 3; i++) {
                ping(other);
            }
        }
    }

    private Peer.Connection serverConnectionOf(String requestId) throws Exception {
        Peer.Connection connection = flagServer.accept();
        assertEquals(requestId, connection.readMessage().get(2));
        return connection;
    }

    private static long elapsedMs(long sinceNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sinceNanos);
    }

    /** Drains the node and returns once it has ended its idle connections. */
    private CountDownLatch drainToIdleClose() throws IOException {
        Peer.Connection idle = usedClient();
        CountDownLatch ended = drain();
        assertTrue(idle.reachesEnd());
        idle.close();
        return ended;
    }

    /** The first answer in a drain ended the connection over a second command of the same read. */
    @Test void drainAnswersAllCommandsOfOneRead() throws Exception {
        start(flagServer.address());
        Peer.Connection client = client();
        awaitRead();
        drainToIdleClose();
        client.write(callCommand(1, "refuse", 20_000) + callCommand(2, "refuse", 20_000));
        assertEquals(BUSY, client.readMessage());
        assertEquals(BUSY, client.readMessage());
        assertTrue(client.reachesEnd());
    }

    /** The idle close of a drain ended a connection inside a command. */
    @Test void drainAnswersCommandThatHasComeInPart() throws Exception {
        start(flagServer.address());
        Peer.Connection client = usedClient();
        String command = callCommand(1, "refuse", 20_000);
        client.write(command.substring(0, HALF));
        awaitRead();
        drainToIdleClose();
        client.write(command.substring(HALF));
        assertEquals(BUSY, client.readMessage());
        assertTrue(client.reachesEnd());
    }

    /** The end after the last answer cut off the command behind it. */
    @Test void drainAnswersCommandThatHasComeInPartBehindAnother() throws Exception {
        start(flagServer.address());
        Peer.Connection client = client();
        String command = callCommand(2, "refuse", 20_000);
        client.write(callCommand(1, "send", 20_000) + command.substring(0, HALF));
        Peer.Connection server = serverConnectionOf("01");
        drainToIdleClose();
        server.writeValue("one");
        assertEquals(List.of("one"), client.readMessage());
        client.write(command.substring(HALF));
        assertEquals(BUSY, client.readMessage());
        assertTrue(client.reachesEnd());
    }

    /** A command whose rest never comes holds up no drain, and is not left without an answer either. */
    @Test void drainEndsCommandWhoseRestNeverComes() throws Exception {
        start(flagServer.address());
        Peer.Connection client = usedClient();
        client.write(callCommand(1, "refuse", 20_000).substring(0, HALF));
        awaitRead();
        long startNanos = System.nanoTime();
        drain();
        assertTrue(client.readLine().startsWith("-"));
        assertTrue(client.reachesEnd());
        assertTrue(elapsedMs(startNanos) < KILL_AFTER_MS, "ended after " + elapsedMs(startNanos) + " ms");
    }

    /** Making room ended the connection that was used least, inside a command. */
    @Test void roomIsNotMadeInsideCommand() throws Exception {
        maxSockets = 40;
        start(flagServer.address());
        Peer.Connection client = usedClient();
        String command = callCommand(1, "refuse", 20_000);
        client.write(command.substring(0, HALF));
        awaitRead();
        for (int i = 0; i < maxSockets; i++) {
            usedClient();
        }
        client.write(command.substring(HALF));
        assertEquals(BUSY, client.readMessage());
    }

    /** Making room took a connection whose first command had come in part for a silent one. */
    @Test void roomIsNotMadeInsideFirstCommand() throws Exception {
        maxSockets = 40;
        start(flagServer.address());
        Peer.Connection client = client();
        String command = callCommand(1, "refuse", 20_000);
        client.write(command.substring(0, HALF));
        awaitRead();
        List<Peer.Connection> crowd = new ArrayList<>();
        for (int i = 0; i < maxSockets; i++) {
            crowd.add(client());
        }
        for (int i = 0; i < maxSockets / 2; i++) { // as many as have to go
            assertTrue(crowd.get(i).reachesEnd());
        }
        client.write(command.substring(HALF));
        assertEquals(BUSY, client.readMessage());
    }

    /** A client that stops inside a later command was left without an end. */
    @Test void clientThatStopsInsideCommandIsEnded() throws Exception {
        start(flagServer.address());
        Peer.Connection client = usedClient();
        long startNanos = System.nanoTime();
        client.write(callCommand(1, "refuse", 20_000).substring(0, HALF));
        String line = client.readLineOrNull();
        assertTrue(line == null || line.startsWith("-"), line);
        assertTrue(elapsedMs(startNanos) < IMPROPER_PEER_MS, "after " + elapsedMs(startNanos) + " ms");
    }

    /** A long value that broke off ended the connection over the request behind it. */
    @Test void brokenLongValueLosesNoRequestBehindIt() throws Exception {
        start(flagServer.address());
        Peer.Connection client = client();
        client.write(callCommand(1, "send", 20_000) + callCommand(2, "send", 20_000));
        Peer.Connection first = serverConnectionOf("01");
        Peer.Connection second = serverConnectionOf("02");
        first.write("*3\r\n$" + LONG_VALUE + "\r\n" + "v".repeat(70_000));
        first.close();
        second.writeValue("two");
        assertEquals("-ERR failed", client.readLine());
        assertEquals(List.of("two"), client.readMessage());
    }

    /** A long value with a request behind it is served whole. */
    @Test void longValueIsServedBeforeRequestBehindIt() throws Exception {
        start(flagServer.address());
        Peer.Connection client = client();
        client.write(callCommand(1, "send", 20_000) + callCommand(2, "send", 20_000));
        Peer.Connection first = serverConnectionOf("01");
        Peer.Connection second = serverConnectionOf("02");
        second.writeValue("two");
        String value = "v".repeat(LONG_VALUE);
        first.writeValue(value);
        assertEquals(List.of(value), client.readMessage());
        assertEquals(List.of("two"), client.readMessage());
    }

    /** A value that is too long to be held was cut off where it has requests before and behind it. */
    @Test void valueThatIsTooLongToHoldIsServedBeforeRequestBehindIt() throws Exception {
        start(flagServer.address());
        Peer.Connection client = client();
        client.write(callCommand(1, "send", 20_000) + callCommand(2, "send", 20_000)
            + callCommand(3, "send", 20_000));
        Peer.Connection first = serverConnectionOf("01");
        Peer.Connection second = serverConnectionOf("02");
        Peer.Connection third = serverConnectionOf("03");
        String value = "v".repeat(4 << 20);
        Thread writing = new Thread(() -> {
            try {
                second.writeValue(value);
            } catch (IOException ended) {
                events.add("writing ended");
            }
        });
        writing.start();
        third.writeValue("three");
        awaitRead();
        first.writeValue("one");
        assertEquals(List.of("one"), client.readMessage());
        assertEquals(List.of(value), client.readMessage());
        assertEquals(List.of("three"), client.readMessage());
        writing.join();
    }

    /** A request that is written behind a value that is streamed is answered after it. */
    @Test void requestBehindStreamedValueIsAnswered() throws Exception {
        start(flagServer.address());
        Peer.Connection client = client();
        client.write(callCommand(1, "send", 20_000));
        Peer.Connection server = serverConnectionOf("01");
        server.write("*3\r\n$" + LONG_VALUE + "\r\n" + "v".repeat(LONG_VALUE / 2));
        assertEquals("$" + LONG_VALUE, client.readLine());
        String command = callCommand(2, "refuse", 20_000);
        client.write(command.substring(0, HALF));
        server.write("v".repeat(LONG_VALUE / 2) + "\r\n$-1\r\n$-1\r\n");
        assertEquals("v".repeat(LONG_VALUE) + "\r\n", client.readBytes(LONG_VALUE + 2));
        client.write(command.substring(HALF));
        assertEquals(BUSY, client.readMessage());
    }

    /** A second answer that came after the next request was written was taken for that one's answer. */
    @Test void lateSecondAnswerIsNotTakenForNextRequest() throws Exception {
        start(flagServer.address());
        Peer.Connection client = client();
        Peer.Connection first = answeredConnection(client);
        client.write(callCommand(2, "send", 20_000));
        Peer.Connection next = null;
        while (next == null && first.in.available() == 0) {
            next = flagServer.pollAccepted();
            Thread.onSpinWait();
        }
        Peer.Connection used = next == null ? first : next;
        assertEquals("02", used.readMessage().get(2));
        first.writeValue("one");
        used.writeValue("two");
        assertEquals(List.of("two"), client.readMessage());
    }

    /** A request with more time than a drain has was still open when the node could be killed. */
    @Test void drainAnswersOpenRequestsBeforeTheKill() throws Exception {
        start(flagServer.address());
        Peer.Connection sent = client();
        sent.write(callCommand(1, "send", 6000));
        serverConnectionOf("01");
        Peer.Connection held = client();
        held.write(callCommand(2, "hold", 6000));
        Peer.Connection late = client();
        awaitRead();
        long startNanos = System.nanoTime();
        drain();
        late.write(callCommand(3, "hold", 6000));
        for (Peer.Connection client : List.of(sent, held, late)) {
            assertTrue(client.readLine().startsWith("-"));
            assertTrue(elapsedMs(startNanos) < KILL_AFTER_MS,
                "answered after " + elapsedMs(startNanos) + " ms");
        }
    }

    /** Time that a request waits unread while the event loop is busy is the client's. */
    @Test void timeUnreadInBusyLoopIsSubtracted() throws Exception {
        start(flagServer.address());
        Peer.Connection used = usedClient();
        blockLoop();
        assertUnreadTimeIsSubtracted(used, releaseLoop::countDown);
    }

    /** Time that a connection waits to be accepted, behind a busy event loop, is the client's. */
    @Test void timeToAcceptInBusyLoopIsSubtracted() throws Exception {
        start(flagServer.address());
        blockLoop();
        assertUnreadTimeIsSubtracted(client(), releaseLoop::countDown);
    }

    /** The same behind more connections than are accepted after one poll. */
    @Test void timeToAcceptBehindManyConnectionsIsSubtracted() throws Exception {
        start(flagServer.address());
        blockLoop();
        for (int i = 0; i < 64; i++) {
            client();
        }
        assertUnreadTimeIsSubtracted(client(), releaseLoop::countDown);
    }

    /** Idle clients were not read while the requests of others took all the memory for requests. */
    @Test void idleClientIsReadWhileMemoryIsFull() throws Exception {
        start(flagServer.address());
        Peer.Connection filling = client();
        for (int i = 1; i <= 128; i++) {
            filling.write(longCommand(i));
            expectEvent("arrived " + i);
        }
        Peer.Connection client = usedClient();
        client.write(callCommand(99, "send", 5000));
        expectEvent("arrived 129");
        Peer.Connection server = flagServer.accept();
        server.readMessage();
        server.writeValue("one");
        assertEquals(List.of("one"), client.readMessage());
        client.write(longCommand(100));
        assertEquals(List.of("-BUSY"), client.readMessage());
        filling.close();
        expectCancelled(128);
    }

    /** Time that a request waits unread, as its client has not read earlier answers, is the client's. */
    @Test void timeUnreadBehindUnreadAnswersIsSubtracted() throws Exception {
        start(flagServer.address());
        Peer.Connection client = client();
        List<Peer.Connection> servers = answerMoreThanIsRead(client);
        for (int ended = 0; ended < servers.size();) {
            ended += events.poll(10, TimeUnit.SECONDS).startsWith("ended") ? 1 : 0;
        }
        for (Peer.Connection server : servers) {
            server.close();
        }
        assertUnreadTimeIsSubtracted(client, () -> {
            for (int i = 0; i < servers.size(); i++) {
                client.readMessage();
            }
        });
    }

    /** What makes the node read again. */
    private interface Release {
        void run() throws Exception;
    }

    private void assertUnreadTimeIsSubtracted(Peer.Connection client, Release release) throws Exception {
        int timeoutMs = 5000;
        long sentNanos = System.nanoTime();
        client.write(callCommand(99, "send", timeoutMs));
        Thread.sleep(900); // the time for which it is not read
        release.run();
        Peer.Connection server = flagServer.accept();
        List<String> command = server.readMessage();
        Arrival arrival = lastArrival; // by the node's time, however late this thread reads the command
        double usedMs = (arrival.atNanos() - sentNanos) / 1e6;
        assertTrue(usedMs + arrival.timeoutMs() <= timeoutMs + TOLD_TIME_SLACK_MS, usedMs + ", " + arrival);
        int toldMs = remainingTimeMs(command);
        assertTrue(toldMs <= arrival.timeoutMs(), "told " + toldMs + " ms, " + arrival);
        assertTrue(toldMs > timeoutMs / 2, "told " + toldMs + " ms of " + timeoutMs);
    }

    /** A client that reads no answers is not read from; that it goes is seen all the same. */
    @Test void endOfClientThatReadsNothingIsSeen() throws Exception {
        start(flagServer.address());
        Peer.Connection client = client();
        answerMoreThanIsRead(client);
        client.socket.shutdownOutput();
        expectCancelled(1);
    }

    /** Malformed input behind a request, in the same read, ends the connection behind its answer. */
    @Test void malformedInputLosesNoRequestBeforeIt() throws Exception {
        start(flagServer.address());
        Peer.Connection client = client();
        client.write(callCommand(1, "send", 20_000) + callCommand(2, "refuse", 20_000) + "no command\r\n");
        serverConnectionOf("01").writeValue("one");
        assertEquals(List.of("one"), client.readMessage());
        assertEquals(BUSY, client.readMessage());
        assertEquals(List.of("-ERR malformed"), client.readMessage());
        assertTrue(client.reachesEnd());
    }

    /** A request that crossed the end of its connection was read, and dropped without an answer. */
    @Test void requestThatCrossesTheEndStaysUnread() throws Exception {
        maxSockets = 40;
        start(flagServer.address());
        Peer.Connection client = usedClient();
        for (int i = 0; i < maxSockets / 2; i++) {
            usedClient();
        }
        assertTrue(client.reachesEnd());
        client.write(callCommand(1, "refuse", 20_000));
        Thread.sleep(1000); // until the node has closed it, which is a reset where input is unread
        assertThrows(SocketException.class, () -> client.write("*"));
    }

    /** With all connections to servers in use, room for a further attempt is made under none of them. */
    @Test void roomForServersIsNotMadeUnderAttempts() throws Exception {
        maxSockets = 40;
        start(flagServer.address());
        List<Peer.Connection> clients = new ArrayList<>();
        List<Peer.Connection> servers = new ArrayList<>();
        for (int i = 1; i <= 12; i++) { // 0.3 of the descriptors are for servers
            clients.add(client());
            clients.get(i - 1).write(callCommand(i, "send", 20_000));
            servers.add(serverConnectionOf(String.format("%02x", i)));
        }
        Peer.Connection further = client();
        further.write(callCommand(13, "send", 20_000));
        assertEquals(List.of("-ERR failed"), further.readMessage());
        for (int i = 0; i < 12; i++) {
            servers.get(i).writeValue("v" + i);
            assertEquals(List.of("v" + i), clients.get(i).readMessage());
        }
    }

    /** A server that leaves the list completes what it has been sent. */
    @Test void listChangeKeepsWrittenAttempts() throws Exception {
        start(flagServer.address());
        Peer.Connection client = client();
        client.write(callCommand(1, "send", 20_000));
        Peer.Connection server = serverConnectionOf("01");
        expectEvent("arrived 1");
        sendWatchChunk("{\"seq\":42,\"whole\":true,\"hosts\":[]}\n");
        expectEvent("complete");
        server.writeValue("one");
        assertEquals(List.of("one"), client.readMessage());
    }

    /** Starts a node and blocks it in a drain, behind a poll; returns a client that has used it. */
    private Peer.Connection blockDrainBeforeIdleEnd() throws Exception {
        start(flagServer.address());
        Peer.Connection client = usedClient();
        blockLoopInDrain(450, true);
        drain();
        assertTrue(loopBlocked.await(10, TimeUnit.SECONDS));
        return client;
    }

    /** A drain ended an idle connection over a request that had come since the poll before. */
    @Test void requestThatComesBetweenPollAndEndIsAnswered() throws Exception {
        Peer.Connection client = blockDrainBeforeIdleEnd();
        for (int i = 0; i < 9 && blockedAfterMs >= IDLE_END_MS; i++) { // a busy machine has held up the loop
            releaseLoop.countDown();
            events.clear();
            client = blockDrainBeforeIdleEnd();
        }
        assertTrue(blockedAfterMs < IDLE_END_MS, "blocked after " + blockedAfterMs + " ms");
        client.write(callCommand(1, "refuse", 20_000));
        releaseLoop.countDown();
        assertEquals(BUSY, client.readMessage());
    }

    /** The same where the idle connections of a drain are ended now. */
    @Test void requestThatComesRightBeforeIdleEndIsAnswered() throws Exception {
        start(flagServer.address());
        Peer.Connection client = usedClient();
        blockLoopInDrain(600, false);
        drain();
        assertTrue(loopBlocked.await(10, TimeUnit.SECONDS));
        client.write(callCommand(1, "refuse", 20_000));
        releaseLoop.countDown();
        assertEquals(BUSY, client.readMessage());
        assertTrue(client.reachesEnd());
    }

    /** A drain ended a connection some time after its last answer, over the client's next request. */
    @Test void lastAnswerOfDrainComesWithTheEnd() throws Exception {
        start(flagServer.address());
        Peer.Connection client = client();
        client.write(callCommand(1, "send", 20_000));
        Peer.Connection server = serverConnectionOf("01");
        drainToIdleClose();
        releaseLoop = new CountDownLatch(1);
        loopBlocked = new CountDownLatch(1);
        behindAttemptEnd = this::awaitRelease;
        server.writeValue("one");
        assertEquals(List.of("one"), client.readMessage());
        assertTrue(client.reachesEnd());
        assertEquals(1, releaseLoop.getCount(), "the event loop has not run since the answer");
    }

    /** A second answer that came between the poll and the next request's write was taken for that one's. */
    @Test void secondAnswerBetweenPollAndWriteIsNotTakenForNextRequest() throws Exception {
        start(flagServer.address());
        Peer.Connection client = client();
        Peer.Connection first = idleConnection(client);
        blockLoopBeforeWrite();
        client.write(callCommand(2, "send", 20_000));
        assertTrue(loopBlocked.await(10, TimeUnit.SECONDS));
        first.writeValue("one");
        releaseLoop.countDown();
        serverConnectionOf("02").writeValue("two");
        assertEquals(List.of("two"), client.readMessage());
    }

    /** An attempt was written for a client that had reset its connection behind more input than is read. */
    @Test void attemptIsNotWrittenForClientThatResetsBehindMuchInput() throws Exception {
        expectNoAttemptAfterClose(5000, true);
    }

    /** An attempt was written for a client that had closed behind more input than is read at once. */
    @Test void attemptIsNotWrittenForClientThatClosesBehindMuchInput() throws Exception {
        expectNoAttemptAfterClose(5000, false);
    }

    /** An attempt was written for a client that had closed behind more input than its socket takes. */
    @Test void attemptIsNotWrittenForClientThatClosesBehindMoreThanItsSocketTakes() throws Exception {
        expectNoAttemptAfterClose(20_000, false);
    }

    private void expectNoAttemptAfterClose(int pings, boolean reset) throws Exception {
        start(flagServer.address());
        Peer.Connection server = idleConnection(client());
        Peer.Connection client = client();
        blockLoopBeforeWrite();
        client.write(callCommand(2, "send", 20_000));
        expectEvent("arrived 2");
        assertTrue(loopBlocked.await(10, TimeUnit.SECONDS));
        client.write("*1\r\n$4\r\nPING\r\n".repeat(pings));
        client.socket.setSoLinger(reset, 0);
        client.close();
        Thread.sleep(MAX_BEGIN_AFTER_CLOSE_MS); // what the protocol allows
        releaseLoop.countDown();
        expectEvent("cancelled 2");
        assertEquals(0, server.in.available());
    }

    /** An attempt was written long after its client had closed, as the last poll was older than that. */
    @Test void attemptIsNotWrittenForClientThatClosedBehindThePoll() throws Exception {
        start(flagServer.address());
        Peer.Connection server = idleConnection(client());
        Peer.Connection client = client();
        blockLoopBeforeWrite();
        client.write(callCommand(2, "send", 20_000));
        expectEvent("arrived 2");
        assertTrue(loopBlocked.await(10, TimeUnit.SECONDS));
        client.close();
        Thread.sleep(MAX_BEGIN_AFTER_CLOSE_MS); // what the protocol allows
        releaseLoop.countDown();
        expectEvent("cancelled 2");
        assertEquals(0, server.in.available());
    }
}
