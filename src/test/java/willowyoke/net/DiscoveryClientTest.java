package willowyoke.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Proxy;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import willowyoke.Gateway;

/**
 * An edge node that gets its list of servers from two replicas of a list service; the test plays both. It
 * guards against an edge node that stays with a replica that has failed or is out of date, and against one
 * that takes an old list or one that the decision module refuses.
 */
@Timeout(30)
class DiscoveryClientTest {
    private static final String WATCH_QUERY = "?follow=1&since=40&epoch=7";
    private static final String WATCH_HEAD = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
    private Peer first;
    private Peer second;
    private Peer counter;
    private EdgeNode node;
    /** The replica that got the last request, and the connection of that request. */
    private Peer askedReplica;
    private Peer.Connection connection;
    /** Whether a watch gets the head of its answer as soon as its request has come. */
    private boolean answersAtOnce = true;

    @BeforeEach void start() throws Exception {
        first = new Peer();
        second = new Peer();
        counter = new Peer();
        String json = """
            {"name":"n0","listen":"127.0.0.1:0","discovery":["%s","%s"],"seed":"1","counter":"%s",
             "settings":{"rank":0,"group_size":2,"request_classes":[{"name":"read","effect":"read_like",
              "aim":600,"hard_limit":2000}],"tariffs":[{"name":"p","per_second":8,"depth":8}]}}"""
            .formatted(first.address(), second.address(), counter.address());
        node = new EdgeNode(Config.of(Config.JSON.readTree(json), java.util.Map.of()),
            (settings, seed, nowMs, actions) -> (Gateway.Events) Proxy.newProxyInstance(
                getClass().getClassLoader(), new Class<?>[] {Gateway.Events.class},
                (proxy, method, args) -> handleEvent(method.getName(), args)));
        Thread starting = new Thread(() -> {
            try {
                node.start(10_000);
            } catch (java.io.IOException e) {
                events.add(e.toString());
            }
        });
        starting.start();
        expectRequest("");
        answer(list(7, 40, true, "s0", "s1", "s2"));
        expectEvent("whole s0 s1 s2");
        expectRequest("?follow=1&since=40&epoch=7");
    }

    /**
     * Handles an event as the decision module: records it, and refuses a complete list of fewer than two
     * servers.
     */
    private Object handleEvent(String name, Object[] args) {
        if (name.equals("serverListUpdated")) {
            StringBuilder text = new StringBuilder((boolean) args[2] ? "whole" : "changes");
            ((List<?>) args[1]).forEach(server -> text.append(' ').append(((Gateway.Server) server).id()));
            events.add(text.toString());
        } else if (name.equals("acceptsServerList")) {
            Gateway.ListSource source = (Gateway.ListSource) args[2];
            boolean accepted = ((List<?>) args[1]).size() > 1;
            if (!accepted) {
                events.add("doubted " + source.epoch() + "/" + source.version());
            }
            return accepted;
        }
        return name.equals("excludedServerCount") ? (Object) 0 : name.equals("knowsServer") ? (Object) false
            : null;
    }

    @AfterEach void end() throws Exception {
        for (Peer peer : List.of(first, second, counter)) {
            peer.close();
        }
        node.drain();
    }

    /** A message of discovery: a complete list, or only the changed servers. */
    private static String list(int epoch, int seq, boolean complete, String... ids) {
        StringBuilder hosts = new StringBuilder();
        for (String id : ids) {
            hosts.append(hosts.length() == 0 ? "" : ",").append("{\"host\":\"").append(id)
                .append("\",\"dial\":\"127.0.0.1:9\",\"site\":\"a\",\"health\":\"active\"}");
        }
        return "{\"epoch\":" + epoch + ",\"seq\":" + seq + ",\"whole\":" + complete + ",\"hosts\":[" + hosts
            + "]}";
    }

    /** Expects the next request, at either replica, with the given query. */
    private void expectRequest(String query) throws Exception {
        for (int i = 0; i < 1000; i++) {
            for (Peer replica : List.of(first, second)) {
                Peer.Connection accepted = replica.pollAccepted();
                if (accepted != null) {
                    askedReplica = replica;
                    connection = accepted;
                    readRequest(query);
                    return;
                }
            }
            if (connection != null && connection.in.available() > 0) { // behind an answer on the connection
                readRequest(query);
                return;
            }
            Thread.sleep(10);
        }
        throw new AssertionError("no request came");
    }

    /** Reads a request with the given query; a watch, which has one, gets the head of its response. */
    private void readRequest(String query) throws Exception {
        assertEquals("GET /catalog/members" + query + " HTTP/1.1", connection.readLine());
        while (!connection.readLine().isEmpty()) {
            assertTrue(connection.socket.isConnected());
        }
        if (!query.isEmpty() && answersAtOnce) {
            connection.write(WATCH_HEAD);
        }
    }

    /** Answers a request for the complete list. */
    private void answer(String list) throws Exception {
        connection.write("HTTP/1.1 200 OK\r\ncontent-length: " + list.length() + "\r\n\r\n" + list);
    }

    /** Sends a chunk on the watch. */
    private void push(String text) throws Exception {
        connection.write(Integer.toHexString(text.length() + 1) + "\r\n" + text + "\n\r\n");
    }

    /** Expects the next event of the decision module. */
    private void expectEvent(String text) throws InterruptedException {
        assertEquals(text, events.poll(10, TimeUnit.SECONDS));
    }

    /** Expects the next request, with the given query, at the other replica. */
    private void expectRequestAtOther(String query) throws Exception {
        Peer previous = askedReplica;
        expectRequest(query);
        assertTrue(askedReplica != previous, "the request came to the same replica");
    }

    @Test void switchesReplicaWhenTheConnectionEnds() throws Exception {
        push(list(7, 41, false, "s3"));
        expectEvent("changes s3");
        connection.close();
        connection = null;
        expectRequestAtOther("?follow=1&since=41&epoch=7");
        push(list(7, 42, false, "s4"));
        expectEvent("changes s4");
    }

    @Test void switchesReplicaWhenTheWatchIsSilent() throws Exception {
        expectRequestAtOther("?follow=1&since=40&epoch=7"); // no more lines come on the watch
    }

    @Test void switchesReplicaWhenTheRequestIsRefused() throws Exception {
        connection.close();
        for (int i = 0; i < 1000
            && (connection = (askedReplica == first ? second : first).pollAccepted()) == null; i++) {
            Thread.sleep(10);
        }
        askedReplica = askedReplica == first ? second : first;
        while (!connection.readLine().isEmpty()) {
            assertTrue(connection.socket.isConnected());
        }
        connection.write("HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n");
        expectRequestAtOther("?follow=1&since=40&epoch=7");
    }

    @Test void refusesAnOlderListAndTakesANewEpoch() throws Exception {
        push(list(7, 39, true, "s0", "s1"));
        expectRequestAtOther("?follow=1&since=40&epoch=7");
        push(list(6, 90, true, "s0", "s1"));
        expectRequestAtOther("?follow=1&since=40&epoch=7");
        push(list(8, 3, true, "s5", "s6"));
        expectEvent("whole s5 s6");
        push(list(8, 4, false, "s7"));
        expectEvent("changes s7");
    }

    @Test void switchesReplicaWhenTheListIsStaleUnlessAllAre() throws Exception {
        push(list(7, 40, false).replace("\"seq\"", "\"stale\":true,\"seq\""));
        expectEvent("changes");
        expectRequestAtOther("?follow=1&since=40&epoch=7");
        push(list(7, 40, false).replace("\"seq\"", "\"stale\":true,\"seq\""));
        expectEvent("changes");
        push(list(7, 41, false, "s8")); // all are stale: this one is kept
        expectEvent("changes s8");
    }

    @Test void asksTheOtherReplicaWhenTheModuleRefusesTheList() throws Exception {
        push(list(7, 50, true, "s0"));
        expectEvent("doubted 7/50");
        expectRequestAtOther("");
        answer(list(7, 50, true, "s0", "s1", "s2"));
        expectEvent("whole s0 s1 s2");
        expectRequest("?follow=1&since=50&epoch=7");
    }

    /** Ends the watch; the node makes a call that is not answered, and then a newer one beside it. */
    private List<Peer.Connection> callTwice() throws Exception {
        answersAtOnce = false;
        connection.close();
        connection = null;
        expectRequest(WATCH_QUERY);
        Peer.Connection slow = connection;
        expectRequest(WATCH_QUERY);
        return List.of(slow, connection);
    }

    private void answerWatch(Peer.Connection call) throws Exception {
        call.write(WATCH_HEAD);
        connection = call;
        push(list(7, 41, true, "s0", "s1"));
        expectEvent("whole s0 s1");
    }

    /** Calls that take longer than a watch may be silent were all given up, so no list ever came. */
    @Test void slowAnswerIsTakenWhileNewerCallsAreMade() throws Exception {
        List<Peer.Connection> calls = callTwice();
        answerWatch(calls.get(0));
        assertTrue(calls.get(1).reachesEnd());
    }

    /** A call that discovery has lost is not waited for: the newer one has the answer. */
    @Test void newerCallIsTakenWhereTheSlowOneIsLost() throws Exception {
        List<Peer.Connection> calls = callTwice();
        answerWatch(calls.get(1));
        assertTrue(calls.get(0).reachesEnd());
    }

    /** The end of a newer call leaves the slow one open, which may still be answered. */
    @Test void endOfNewerCallLeavesTheSlowOneOpen() throws Exception {
        List<Peer.Connection> calls = callTwice();
        calls.get(1).close();
        connection = null;
        expectRequest(WATCH_QUERY);
        answerWatch(calls.get(0));
        assertTrue(connection == calls.get(0));
    }
}
