package barleyfall.lab.catalog;

import barleyfall.lab.history.WatchChecker;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Follows the list as an edge node does: it tries one replica after the other and resumes at its version. */
final class WatchClient implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int READ_TIMEOUT_MS = 5000;
    private static final int CONNECT_TIMEOUT_MS = 500;
    private static final int RETRY_DELAY_MS = 50;

    private final List<String> replicas;
    private final List<WatchChecker.WatchLine> lines = new ArrayList<>();
    private final Thread thread;
    private volatile boolean closed;
    private volatile Socket openSocket;
    private long epoch = -1;
    private long version = -1;

    /** Starts to follow the list, on a thread of its own. */
    WatchClient(String name, List<String> replicas) {
        this.replicas = replicas;
        thread = new Thread(this::run, name);
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        for (int i = 0; !closed; i++) {
            String[] address = replicas.get(i % replicas.size()).split(":");
            try (Socket socket = new Socket()) {
                openSocket = socket;
                socket.connect(new InetSocketAddress(address[0], Integer.parseInt(address[1])),
                    CONNECT_TIMEOUT_MS);
                socket.setSoTimeout(READ_TIMEOUT_MS);
                follow(socket, address[0]);
            } catch (IOException gone) {
                pause();
            }
        }
    }

    private void pause() {
        try {
            Thread.sleep(RETRY_DELAY_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            closed = true;
        }
    }

    private void follow(Socket socket, String host) throws IOException {
        socket.getOutputStream().write(("GET /catalog/members?follow=1&since=" + version
            + (epoch < 0 ? "" : "&epoch=" + epoch) + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n")
            .getBytes(StandardCharsets.US_ASCII));
        BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream(),
            StandardCharsets.UTF_8));
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            if (line.startsWith("{")) { // a chunk holds a whole line, so the lines between are chunk headers
                receive(JSON.readTree(line));
            } else if (line.startsWith("HTTP/1.1 ") && !line.contains(" 200 ")) {
                throw new IOException(line);
            }
        }
    }

    private synchronized void receive(JsonNode line) {
        List<WatchChecker.WatchEntry> entries = new ArrayList<>();
        line.path("hosts").forEach(member -> entries.add(
            new WatchChecker.WatchEntry(member.path("seq").asLong(), member.path("host").asText(),
                member.toString())));
        epoch = line.path("epoch").asLong();
        version = line.path("seq").asLong();
        lines.add(new WatchChecker.WatchLine(epoch, version, line.path("whole").asBoolean(), entries));
        notifyAll();
    }

    /** Waits until it holds a version; returns false if the time runs out. */
    synchronized boolean awaitVersion(long expectedVersion, long timeoutMs) {
        long deadlineNanos = System.nanoTime() + timeoutMs * 1_000_000;
        while (version < expectedVersion) {
            long remainingMs = (deadlineNanos - System.nanoTime()) / 1_000_000;
            if (remainingMs <= 0) {
                return false;
            }
            try {
                wait(remainingMs);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
            }
        }
        return true;
    }

    /** Returns all lines received so far. */
    synchronized List<WatchChecker.WatchLine> lines() {
        return List.copyOf(lines);
    }

    @Override public void close() {
        closed = true;
        Socket socket = openSocket;
        try {
            if (socket != null) {
                socket.close();
            }
            thread.join(READ_TIMEOUT_MS);
        } catch (IOException | InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
