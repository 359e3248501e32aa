package barleyfall.lab.edge;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/** The list of flag servers, kept up to date by a watch on discovery. */
final class ServerList {
    /** A listed flag server; {@code bornMs} is Unix time. */
    private record Entry(String address, String health, double bornMs) { }

    private final String discoveryAddress;
    private final double warmAfterMs;
    private final EdgeDefect defect;
    private final Map<String, Entry> entries = new LinkedHashMap<>();

    /** Creates an empty list. */
    ServerList(String discoveryAddress, double warmAfterMs, EdgeDefect defect) {
        this.discoveryAddress = discoveryAddress;
        this.warmAfterMs = warmAfterMs;
        this.defect = defect;
    }

    /** Returns when the first list has arrived and continues to watch on a thread of its own. */
    void startWatching() throws IOException {
        BufferedReader firstReader = connect();
        readUpdate(firstReader);
        Thread thread = new Thread(() -> {
            BufferedReader reader = firstReader;
            while (true) {
                try {
                    readUpdate(reader);
                } catch (IOException ended) {
                    reader = reconnect();
                }
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Connects again, as often as it takes. */
    private BufferedReader reconnect() {
        while (true) {
            try {
                Thread.sleep(200);
                return connect();
            } catch (IOException notYet) {
                continue;
            } catch (InterruptedException e) {
                throw new IllegalStateException("unexpected interrupt", e);
            }
        }
    }

    /** Opens a watch. */
    private BufferedReader connect() throws IOException {
        String[] hostAndPort = discoveryAddress.split(":");
        Socket socket = new Socket(hostAndPort[0], Integer.parseInt(hostAndPort[1]));
        socket.getOutputStream().write(("GET /catalog/members?follow=1&since=-1 HTTP/1.1\r\nHost: "
            + discoveryAddress + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
        return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
    }

    /** Reads up to and including the next line with an update; lines that belong to HTTP are skipped. */
    private void readUpdate(BufferedReader in) throws IOException {
        String line = in.readLine();
        while (line != null && !line.startsWith("{")) {
            line = in.readLine();
        }
        if (line == null) {
            throw new IOException("the watch has ended");
        }
        JsonNode update = new ObjectMapper().readTree(line);
        synchronized (entries) {
            if (update.path("whole").asBoolean()) {
                entries.clear();
            }
            for (JsonNode host : update.path("hosts")) {
                if (host.path("health").asText().equals("left")) {
                    entries.remove(host.path("host").asText());
                } else {
                    entries.put(host.path("host").asText(),
                        new Entry(host.path("dial").asText(), host.path("health").asText(),
                        host.path("born_ms").asDouble()));
                }
            }
        }
    }

    /**
     * Returns the address of a usable server, another one than the last if possible, or null if there is
     * none.
     */
    String pickAddress(String lastAddress) {
        List<Entry> usable;
        synchronized (entries) {
            usable = new ArrayList<>(entries.values());
        }
        if (defect != EdgeDefect.DRAINS) {
            usable.removeIf(entry -> !entry.health().equals("active"));
        }
        if (defect == EdgeDefect.COLD) {
            return usable.stream().max(Comparator.comparingDouble(Entry::bornMs)).map(Entry::address)
                .orElse(null);
        }
        double nowMs = System.currentTimeMillis();
        List<Entry> warm = usable.stream().filter(entry -> entry.bornMs() + warmAfterMs < nowMs).toList();
        List<Entry> candidates = warm.isEmpty() ? usable : warm;
        List<Entry> others = candidates.stream().filter(entry -> !entry.address().equals(lastAddress))
            .toList();
        candidates = others.isEmpty() ? candidates : others;
        return candidates.isEmpty() ? null
            : candidates.get(ThreadLocalRandom.current().nextInt(candidates.size())).address();
    }
}
