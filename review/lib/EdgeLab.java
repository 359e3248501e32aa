import java.io.BufferedInputStream;
import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * Stand-ins of the platform for review cases: discovery, the counter and flag servers on loopback sockets,
 * and the edge node as a process of its own, started by the line "run" of the deploy file.
 */
final class EdgeLab implements AutoCloseable {
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    private final PrintWriter record;
    private final long startNanos = System.nanoTime();
    /** The result is known: what is seen from here on is not recorded. */
    private volatile boolean over;
    private final List<AutoCloseable> parts = new CopyOnWriteArrayList<>();

    /** Records to a file. */
    EdgeLab(Path recordFile) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(recordFile));
    }

    /** Ms since the start. */
    double nowMs() {
        return (System.nanoTime() - startNanos) / 1e6;
    }

    /** Writes a line to the record. */
    synchronized void record(String line) {
        if (over) {
            return;
        }
        record.printf("%9.1f %s%n", nowMs(), line);
        record.flush();
    }

    /** Starts a daemon thread. */
    static Thread thread(String name, IoTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException | InterruptedException ended) {
                return; // the other side has gone, or the case is over
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** A task that may end by an I/O error. */
    interface IoTask {
        void run() throws IOException, InterruptedException;
    }

    <T extends AutoCloseable> T add(T part) {
        parts.add(part);
        return part;
    }

    @Override public void close() {
        over = true;
        for (AutoCloseable part : parts) {
            try {
                part.close();
            } catch (Exception e) {
                System.err.println("close: " + e);
            }
        }
        record.flush();
    }

    static String address(ServerSocket socket) {
        return "127.0.0.1:" + socket.getLocalPort();
    }

    static ServerSocket listen() throws IOException {
        return new ServerSocket(0, 200, LOOPBACK);
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = listen()) {
            return socket.getLocalPort();
        }
    }

    // ---- RESP2 ----

    /** Reads one command; null at the end of the connection. */
    static List<byte[]> readCommand(InputStream in) throws IOException {
        String head = readLine(in);
        if (head == null) {
            return null;
        }
        int count = Integer.parseInt(head.substring(1));
        List<byte[]> parts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            parts.add(readBulk(in, readLine(in)));
        }
        return parts;
    }

    private static byte[] readBulk(InputStream in, String head) throws IOException {
        byte[] bytes = in.readNBytes(Integer.parseInt(head.substring(1)));
        in.readNBytes(2);
        return bytes;
    }

    /** Reads a line without its end; null at the end of the connection. */
    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                return null;
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads an answer: "$LENGTH" and its first bytes for a value, else the line. Throws at the end. */
    static String readAnswer(InputStream in) throws IOException {
        String head = readLine(in);
        if (head == null) {
            throw new EOFException("ended without an answer");
        }
        if (head.startsWith("$") && !head.equals("$-1")) {
            byte[] value = readBulk(in, head);
            if (value.length < Integer.parseInt(head.substring(1))) {
                throw new EOFException("ended within an answer");
            }
            return head + " " + new String(value, 0, Math.min(40, value.length), StandardCharsets.ISO_8859_1);
        }
        return head;
    }

    /** A command in bytes. */
    static byte[] command(byte[]... parts) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(("*" + parts.length + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        for (byte[] part : parts) {
            out.writeBytes(("$" + part.length + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            out.writeBytes(part);
            out.writeBytes("\r\n".getBytes(StandardCharsets.ISO_8859_1));
        }
        return out.toByteArray();
    }

    /** A client's request in bytes, as the protocol page has it; body may be null. */
    static byte[] call(String verb, long customer, long id, String pairs, byte[] body) {
        byte[][] parts = new byte[body == null ? 4 : 5][];
        parts[0] = ascii(verb);
        parts[1] = ascii(String.format("%016x", customer));
        parts[2] = ascii(String.format("%016x", id));
        parts[3] = ascii(pairs);
        if (body != null) {
            parts[4] = body;
        }
        return command(parts);
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    // ---- stand-ins ----

    /** A server with a thread for each connection. */
    abstract static class Server implements AutoCloseable {
        final ServerSocket socket;
        private final List<Socket> open = new CopyOnWriteArrayList<>();

        Server() throws IOException {
            socket = listen();
            thread("accept", () -> {
                while (true) {
                    Socket connection = socket.accept();
                    connection.setTcpNoDelay(true);
                    open.add(connection);
                    thread("serve", () -> {
                        try (connection) {
                            serve(connection, new BufferedInputStream(connection.getInputStream()),
                                connection.getOutputStream());
                        } finally {
                            open.remove(connection);
                        }
                    });
                }
            });
        }

        abstract void serve(Socket connection, InputStream in, OutputStream out)
            throws IOException, InterruptedException;

        @Override public void close() throws IOException {
            socket.close();
            for (Socket connection : open) {
                connection.close();
            }
        }
    }

    /** The counter: adds amounts to names. Every call is answered at once. */
    static final class Counter extends Server {
        private final Map<String, Double> totals = new HashMap<>();

        Counter() throws IOException { }

        @Override void serve(Socket connection, InputStream in, OutputStream out) throws IOException {
            for (List<byte[]> call = readCommand(in); call != null; call = readCommand(in)) {
                String verb = new String(call.get(0), StandardCharsets.ISO_8859_1);
                if (verb.equals("CNT.ADD")) {
                    double total;
                    synchronized (totals) {
                        total = totals.merge(new String(call.get(1), StandardCharsets.ISO_8859_1),
                            Double.parseDouble(new String(call.get(2), StandardCharsets.ISO_8859_1)),
                            Double::sum);
                    }
                    byte[] text = ascii(String.format("%.3f", total));
                    out.write(ascii("$" + text.length + "\r\n" + new String(text) + "\r\n"));
                } else {
                    out.write(ascii(verb.equals("PING") ? "+PONG\r\n" : "+OK\r\n"));
                }
                out.flush();
            }
        }
    }

    /** Discovery: one list that never changes, and watches with an empty line every 2 s. */
    static final class Discovery extends Server {
        private final String list;

        Discovery(List<FlagServer> servers) throws IOException {
            list = list(servers);
        }

        static String list(List<FlagServer> servers) {
            StringBuilder hosts = new StringBuilder();
            for (FlagServer server : servers) {
                hosts.append(hosts.length() == 0 ? "" : ",").append("{\"host\":\"").append(server.name)
                    .append("\",\"dial\":\"").append(address(server.socket))
                    .append("\",\"site\":\"hall-a\",\"class\":\"c2-s10\",\"block\":1,\"health\":\"active\",")
                    .append("\"share\":1.0,\"born_ms\":0}");
            }
            return "{\"seq\":7,\"whole\":true,\"hosts\":[" + hosts + "]}";
        }

        @Override void serve(Socket connection, InputStream in, OutputStream out)
            throws IOException, InterruptedException {
            for (String request = readLine(in); request != null; request = readLine(in)) {
                for (String header = readLine(in); header != null && !header.isEmpty();) {
                    header = readLine(in);
                }
                if (!request.contains("follow=1")) {
                    out.write(ascii("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                        + list.length() + "\r\n\r\n" + list));
                    out.flush();
                    continue;
                }
                out.write(ascii("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    + "Transfer-Encoding: chunked\r\n\r\n"));
                chunk(out, "{\"seq\":7,\"whole\":false,\"hosts\":[]}\n");
                while (true) {
                    Thread.sleep(2000);
                    chunk(out, "\n");
                }
            }
        }

        private static void chunk(OutputStream out, String text) throws IOException {
            out.write(ascii(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
            out.flush();
        }
    }

    /** What a flag server does with a request; the parts are those of the command. */
    interface Work {
        /** Returns the value, or null where the request hangs for ever. */
        byte[] run(FlagServer server, List<byte[]> parts) throws InterruptedException;
    }

    /** A flag server: one request after the other on each connection. */
    static final class FlagServer extends Server {
        final String name;
        private final Work work;

        FlagServer(String name, Work work) throws IOException {
            this.name = name;
            this.work = work;
        }

        @Override void serve(Socket connection, InputStream in, OutputStream out)
            throws IOException, InterruptedException {
            for (List<byte[]> parts = readCommand(in); parts != null; parts = readCommand(in)) {
                String verb = new String(parts.get(0), StandardCharsets.ISO_8859_1);
                if (verb.equals("PING")) {
                    out.write(ascii("+PONG\r\n"));
                } else if (verb.equals("INFO")) {
                    out.write(ascii("$25\r\nqps=1,inflight=1,util=0.1\r\n"));
                } else if (verb.startsWith("CALL.")) {
                    byte[] value = work.run(this, parts);
                    if (value == null) {
                        while (in.read() >= 0) {
                            continue; // hangs until the connection ends
                        }
                        return;
                    }
                    ByteArrayOutputStream answer = new ByteArrayOutputStream();
                    answer.writeBytes(ascii("*3\r\n$" + value.length + "\r\n"));
                    answer.writeBytes(value);
                    answer.writeBytes(ascii("\r\n$-1\r\n$-1\r\n"));
                    out.write(answer.toByteArray());
                } else {
                    out.write(ascii("-ERR unknown\r\n"));
                }
                out.flush();
            }
        }
    }

    /** The edge node as a process of its own. */
    static final class Edge implements AutoCloseable {
        final Process process;
        final InetSocketAddress listen;
        private final Path tmp;

        Edge(EdgeLab lab, Path root, Path tmp, String json, int port, int readyWithinS)
            throws IOException, InterruptedException {
            this.tmp = tmp;
            listen = new InetSocketAddress(LOOPBACK, port);
            Path config = tmp.resolveSibling(tmp.getFileName() + ".json");
            Files.writeString(config, json);
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runLine(root)).directory(root.toFile())
                .redirectErrorStream(true);
            builder.environment().put("EDGE_CONFIG", config.toString());
            builder.environment().put("TMPDIR", tmp.toString());
            process = builder.start();
            lab.add(this);
            thread("edge log", () -> {
                BufferedReader lines = new BufferedReader(new InputStreamReader(process.getInputStream()));
                for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                    lab.record("edge log: " + line);
                }
            });
            double giveUpAtMs = lab.nowMs() + 1000.0 * readyWithinS;
            while (!ping()) {
                if (!process.isAlive() || lab.nowMs() > giveUpAtMs) {
                    throw new IOException("the edge node does not get ready");
                }
                Thread.sleep(50);
            }
            lab.record("edge node is ready, process " + process.pid());
        }

        private boolean ping() {
            try (Socket socket = new Socket()) {
                socket.connect(listen, 500);
                socket.setSoTimeout(1000);
                socket.getOutputStream().write(command(ascii("PING")));
                return "+PONG".equals(readLine(socket.getInputStream()));
            } catch (IOException notYet) {
                return false;
            }
        }

        private static String runLine(Path root) throws IOException {
            for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
                if (line.startsWith("run = \"")) {
                    return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                }
            }
            throw new IOException("the deploy file has no line 'run'");
        }

        @Override public void close() throws IOException, InterruptedException {
            process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
        }
    }

    // ---- settings ----

    /**
     * The configuration of an edge node of a small deployment: the classes and plans of the operators'
     * pages, 192 MB and 1,024 descriptors.
     */
    static String config(int port, Discovery discovery, Counter counter, List<FlagServer> servers,
        int sockets) {
        return "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\""
            + address(discovery.socket) + "\",\"counter\":\"" + address(counter.socket)
            + "\",\"seed\":\"8c1f30d27a5be964\","
            + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" + sockets + "},"
            + "\"known\":" + Discovery.list(servers) + ",\"settings\":{"
            + "\"rank\":0,\"group_size\":2,\"family\":\"gate\",\"my_zone\":\"hall-a\",\"tick\":4,\"tier\":0,"
            + "\"discovery\":\"pushed\",\"weight_kind\":\"none\",\"azs\":[\"hall-a\",\"hall-b\"],"
            + "\"kinds\":[\"c2-s10\"],\"tiers\":[\"flag-servers\"],\"client_habits\":{\"marks_retry\":true},"
            + "\"contract\":{\"ask_within\":10000,\"cold_share\":0.28,\"drain_grace\":1000,"
            + "\"grace_to_answer\":16,\"overload_factor\":3,\"overload_for\":2000,\"warm_after\":17000},"
            + "\"family_info\":{\"count_limit\":30,\"counter_price\":0.01,\"meter_period\":0,"
            + "\"most_units\":6,\"peer_in_per_s\":0,\"shared_counter\":true,\"trued_up\":false},"
            + "\"feedback\":{\"via\":\"answers\",\"fields\":[\"throughput\",\"outstanding\",\"utilization\"]},"
            + "\"goal\":{\"whole\":0.55,\"worst_class\":0,\"worst_tenant\":0.25,\"worst_window\":0.2},"
            + "\"limits\":{\"cancelling\":true,\"connect_timeout\":250,\"keepalive\":15000,"
            + "\"max_open\":20000,\"max_retry_after\":500,\"parallel_tries\":true,\"peers\":false,"
            + "\"probing\":true,\"retry_after\":true,\"send_cap\":6,\"streams_per_conn\":32,"
            + "\"cpu_us_per_request\":0},"
            + "\"prices\":{\"connection\":0,\"cross_zone\":0.01,\"discovery\":0,\"handshake\":0,"
            + "\"late_fail\":0.08,\"moves\":0,\"origin\":0,\"peer\":0,\"probe\":0.01,\"waste\":0.05},"
            + "\"request_classes\":["
            + requestClass("ruleset-fetch", 2500, "read_like", 6000, 0, 1) + ","
            + requestClass("flag-check", 600, "read_like", 1500, 0, 3) + ","
            + requestClass("exposure-batch", 2000, "idempotency_key", 6000, 4000, 3) + "],"
            + "\"tariffs\":[" + tariff("mini", 2, 8, 0.72, 0, 0) + "," + tariff("standard", 5, 25, 1.1, 10, 50)
            + "," + tariff("pro", 23, 60, 1.6, 0, 0) + "]}}";
    }

    private static String requestClass(String name, int aimMs, String effect, int limitMs, int windowMs,
        int worth) {
        return "{\"name\":\"" + name + "\",\"aim\":" + aimMs + ",\"effect\":\"" + effect
            + "\",\"group\":\"all\",\"hard_limit\":" + limitMs + ",\"late_share\":0.1,\"repeat_window\":"
            + windowMs + ",\"stream\":false,\"worth\":" + worth + "}";
    }

    private static String tariff(String name, double rate, double depth, double price, double hardRate,
        double ceilingBurst) {
        return "{\"name\":\"" + name + "\",\"per_second\":" + rate + ",\"depth\":" + depth
            + ",\"open\":0,\"price\":" + price + ",\"extra_worth\":0,\"over_cost\":1,\"hard_rate\":" + hardRate
            + ",\"ceiling_burst\":" + ceilingBurst + ",\"cap_slack\":" + Math.max(6, 0.1 * ceilingBurst) + "}";
    }

    /** Deletes a folder. */
    static void delete(Path folder) throws IOException {
        if (!Files.exists(folder)) {
            return;
        }
        try (var files = Files.walk(folder)) {
            files.sorted(java.util.Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        }
    }
}
