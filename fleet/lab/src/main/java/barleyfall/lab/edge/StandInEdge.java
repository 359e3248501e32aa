package barleyfall.lab.edge;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedInputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/**
 * A minimal edge node on blocking sockets that keeps all rules of the platform: one attempt, a second one for
 * requests that may be repeated, an equal share of each ceiling, and no cold servers while there are warm
 * ones. With an {@link EdgeDefect} it breaks one rule on purpose. It is no baseline for performance.
 */
public final class StandInEdge {
    /** Defects that affect some requests only affect every fifth one. */
    private static final int REQUESTS_PER_DEFECT = 5;
    /** Part of the deadline that is reserved for sending the answer to the client. */
    private static final double DEADLINE_MARGIN_MS = 60;

    private final EdgeDefect defect;
    private final ServerList servers;
    private final JsonNode settings;
    private final Map<String, TokenBucket> ceilingBuckets = new HashMap<>();
    private final AtomicInteger requestCount = new AtomicInteger();

    private StandInEdge(EdgeDefect defect, JsonNode config) throws IOException {
        this.defect = defect;
        settings = config.path("settings");
        servers = new ServerList(config.path("discovery").asText(),
            settings.path("contract").path("warm_after").asDouble(), defect);
    }

    /**
     * Runs an edge node. The argument is the name of a defect or {@code none}; the environment variable
     * EDGE_CONFIG names the configuration file.
     */
    public static void main(String[] args) throws IOException {
        ServerSocket listener = open(EdgeDefect.of(args[0]),
            new ObjectMapper().readTree(new File(System.getenv("EDGE_CONFIG"))));
        while (!listener.isClosed()) {
            LockSupport.park();
        }
    }

    /** Serves clients in this process until the returned socket is closed. */
    public static ServerSocket open(EdgeDefect defect, JsonNode config) throws IOException {
        StandInEdge edge = new StandInEdge(defect, config);
        edge.servers.startWatching();
        String[] listen = config.path("listen").asText().split(":");
        ServerSocket listener = new ServerSocket(Integer.parseInt(listen[1]), 256,
            InetAddress.getByName(listen[0]));
        startDaemon(() -> {
            try {
                while (true) {
                    Socket client = listener.accept();
                    startDaemon(() -> edge.serve(client));
                }
            } catch (IOException closed) {
                // the listener was closed: no more clients
            }
        });
        return listener;
    }

    /** Runs a task on a daemon thread. */
    private static void startDaemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    /** Answers the requests of a client connection until it closes. */
    private void serve(Socket client) {
        try (client; UpstreamConnections upstream = new UpstreamConnections()) {
            client.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(client.getInputStream());
            while (true) {
                List<String> arguments = BlockingRespReader.read(in);
                if (arguments.get(0).equals("PING")) {
                    write(client, "+PONG\r\n");
                    continue;
                }
                int number = requestCount.incrementAndGet();
                if (defect == EdgeDefect.NO_ANSWER && number % REQUESTS_PER_DEFECT == 0) {
                    return; // closes the connection without an answer
                }
                String answer = handle(arguments, number, upstream);
                // one write for both: a later one could be taken for the answer to the next request
                write(client, defect == EdgeDefect.TWO_ANSWERS && number % REQUESTS_PER_DEFECT == 0
                    ? answer + answer : answer);
            }
        } catch (IOException gone) {
            // the client has closed its connection
        }
    }

    private static void write(Socket client, String text) throws IOException {
        OutputStream out = client.getOutputStream();
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Returns the answer to a request. */
    private String handle(List<String> arguments, int number, UpstreamConnections upstream) {
        double startMs = System.nanoTime() / 1e6;
        Map<String, String> terms = parseTerms(arguments.get(3));
        if (defect == EdgeDefect.MADE_UP && number % REQUESTS_PER_DEFECT == 0) {
            return "$4\r\nfake\r\n";
        }
        if (defect != EdgeDefect.CEILINGS && !takeFromCeiling(arguments.get(1), terms)) {
            return "-BUSY 500\r\n";
        }
        boolean safe = arguments.get(0).equals("CALL.GET");
        boolean keyed = terms.containsKey("k");
        int maxAttempts = safe || keyed ? 2 : 1;
        String answer = "-ERR failed\r\n";
        String lastServer = null;
        for (int i = 0; i < maxAttempts; i++) {
            double remainingMs = Double.parseDouble(terms.get("d")) - DEADLINE_MARGIN_MS
                - (System.nanoTime() / 1e6 - startMs);
            String server = remainingMs > 0 ? servers.pickAddress(lastServer) : null;
            if (server == null) {
                return i == 0 ? "-BUSY 500\r\n" : answer;
            }
            lastServer = server;
            // half of the remaining time, so that a second attempt can still succeed
            answer = upstream.call(server, arguments, i + 1 < maxAttempts ? remainingMs / 2 : remainingMs);
            if (answer.startsWith("$")) {
                break;
            }
        }
        if (defect == EdgeDefect.REPEATS && !safe && !keyed && number % REQUESTS_PER_DEFECT == 0) {
            double remainingMs = Double.parseDouble(terms.get("d")) - DEADLINE_MARGIN_MS
                - (System.nanoTime() / 1e6 - startMs);
            upstream.call(servers.pickAddress(lastServer), arguments, Math.max(1, remainingMs / 2));
        }
        return answer;
    }

    /** Parses {@code name=value} pairs separated by commas. */
    private static Map<String, String> parseTerms(String text) {
        Map<String, String> terms = new HashMap<>();
        for (String term : text.split(",")) {
            int equalsAt = term.indexOf('=');
            terms.put(term.substring(0, equalsAt), term.substring(equalsAt + 1));
        }
        return terms;
    }

    /**
     * Returns whether this node's share of the customer's ceiling covers the request, and takes its units.
     */
    private boolean takeFromCeiling(String customer, Map<String, String> terms) {
        for (JsonNode plan : settings.path("tariffs")) {
            if (plan.path("name").asText().equals(terms.get("t")) && plan.path("hard_rate").asDouble() > 0) {
                int spread = Integer.parseInt(terms.get("spread"));
                TokenBucket bucket;
                synchronized (ceilingBuckets) {
                    bucket = ceilingBuckets.computeIfAbsent(customer,
                        c -> new TokenBucket(plan.path("hard_rate").asDouble() / spread,
                        plan.path("ceiling_burst").asDouble() / spread));
                }
                return bucket.tryTake(Integer.parseInt(terms.get("units")));
            }
        }
        return true;
    }
}
