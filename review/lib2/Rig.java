import java.io.BufferedInputStream;
import java.io.BufferedWriter;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * What the cases of the second review share: one edge node as a process of its own, started with the command
 * of the deploy file, and stand-ins for flag servers, discovery, the counter and clients. Everything listens
 * on loopback addresses and free ports; files lie in a temporary folder.
 */
final class Rig implements AutoCloseable {
    /** What a client may still wait after its time before its request counts as lost, with the slack. */
    static final long LOST_AFTER_MS = 550;
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path root;
    final Path folder;
    final Settings settings = new Settings();
    final List<FlagServer> servers = new CopyOnWriteArrayList<>();
    final Discovery discovery;
    final Counter counter;
    private final BufferedWriter record;
    private final long startNanos = System.nanoTime();
    private final List<Edge> edges = new ArrayList<>();

    Rig(String caseName) throws IOException {
        root = Path.of(System.getProperty("project", ".")).toAbsolutePath().normalize();
        record = Files.newBufferedWriter(root.resolve("review").resolve(caseName).resolve("record.txt"));
        folder = Files.createTempDirectory("review-" + caseName + "-");
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        discovery = new Discovery(this);
        counter = new Counter(this);
        log("case " + caseName + ", trouble " + (trouble ? "on" : "off"));
    }

    /** Milliseconds since the start of the case. */
    double ms() {
        return (System.nanoTime() - startNanos) / 1e6;
    }

    /** Writes a line to record.txt. */
    void log(String line) {
        synchronized (record) {
            try {
                record.write(String.format(Locale.ROOT, "%10.3f %s%n", ms() / 1000, line));
            } catch (IOException closed) {
                return;
            }
        }
    }

    /** Writes a line to record.txt and shows it. */
    void say(String line) {
        log(line);
        System.out.println(line);
    }

    static void sleep(double ms) {
        try {
            Thread.sleep(Math.max(0, Math.round(ms)));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static Thread spawn(String name, Runnable task) {
        Thread thread = new Thread(null, task, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, LOOPBACK)) {
            return socket.getLocalPort();
        }
    }

    static String address(int port) {
        return "127.0.0.1:" + port;
    }

    FlagServer addServer(String zone) throws IOException {
        FlagServer server = new FlagServer(this, "s-" + (servers.size() + 1), zone);
        servers.add(server);
        return server;
    }

    /** Starts an edge node with a configuration of its own and waits until it takes clients. */
    Edge startEdge(int rank) throws IOException {
        Edge edge = new Edge(this, rank);
        edges.add(edge);
        edge.start();
        return edge;
    }

    /** Ends the case: 1 where the rule was broken, 0 where it held, 2 where it couldn't run. */
    static void run(String caseName, Body body) {
        int code;
        Rig rig = null;
        try {
            rig = new Rig(caseName);
            code = body.run(rig) ? 1 : 0;
            rig.say(code == 1 ? "BROKEN" : "held");
        } catch (Exception e) {
            e.printStackTrace();
            if (rig != null) {
                rig.say("could not run: " + e);
            }
            code = 2;
        }
        if (rig != null) {
            rig.close();
        }
        Runtime.getRuntime().halt(code);
    }

    /** A case; true where the rule was broken. */
    interface Body {
        boolean run(Rig rig) throws Exception;
    }

    @Override public synchronized void close() {
        edges.forEach(Edge::kill);
        synchronized (record) {
            try {
                record.close();
            } catch (IOException e) {
                System.err.println(e);
            }
        }
        if (System.getenv("KEEP") != null) {
            return;
        }
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(path);
            }
        } catch (IOException e) {
            System.err.println(e);
        }
    }

    // ---- the edge node ----

    /** The figures of an edge node's configuration, like those of a small deployment. */
    static final class Settings {
        int groupSize = 2;
        int memoryMb = 192;
        int sockets = 1024;
        final List<String> classes = new ArrayList<>();
        final List<String> plans = new ArrayList<>();

        void addClass(String name, String effect, int aimMs, int deadlineMs, int windowMs) {
            classes.add(String.format("{\"name\":\"%s\",\"aim\":%d,\"effect\":\"%s\",\"group\":\"all\","
                + "\"hard_limit\":%d,\"late_share\":0.2,\"repeat_window\":%d,\"stream\":false,\"worth\":3}", name,
                aimMs, effect, deadlineMs, windowMs));
        }

        void addPlan(String name, double rate, double depth, double hardRate, double ceilingBurst, double slack) {
            plans.add(String.format(Locale.ROOT, "{\"name\":\"%s\",\"per_second\":%s,\"depth\":%s,\"open\":0,"
                + "\"price\":1,\"extra_worth\":0,\"over_cost\":0.5,\"hard_rate\":%s,\"ceiling_burst\":%s,"
                + "\"cap_slack\":%s}", name, rate, depth, hardRate, ceilingBurst, slack));
        }

        String json(int rank) {
            return "{\"rank\":" + rank + ",\"group_size\":" + groupSize + ",\"family\":\"gate\","
                + "\"my_zone\":\"hall-a\",\"azs\":[\"hall-a\",\"hall-b\"],\"tick\":4,\"tier\":0,"
                + "\"tiers\":[\"flag-servers\"],\"kinds\":[\"c2-s10\"],\"discovery\":\"pushed\","
                + "\"weight_kind\":\"none\",\"client_habits\":{\"marks_retry\":true},"
                + "\"contract\":{\"ask_within\":10000,\"cold_share\":0.28,\"drain_grace\":1000,"
                + "\"grace_to_answer\":16,\"overload_factor\":3,\"overload_for\":2000,\"warm_after\":17000},"
                + "\"family_info\":{\"count_limit\":30,\"counter_price\":0.01,\"meter_period\":0,"
                + "\"most_units\":6,\"peer_in_per_s\":0,\"shared_counter\":true,\"trued_up\":false},"
                + "\"feedback\":{\"via\":\"answers\",\"fields\":[\"throughput\",\"outstanding\",\"utilization\"]},"
                + "\"goal\":{\"whole\":0.55,\"worst_class\":0,\"worst_tenant\":0.25,\"worst_window\":0.2},"
                + "\"limits\":{\"cancelling\":true,\"connect_timeout\":250,\"keepalive\":15000,"
                + "\"max_open\":20000,\"max_retry_after\":500,\"parallel_tries\":true,\"peers\":false,"
                + "\"probing\":true,\"retry_after\":true,\"send_cap\":6,"
                + "\"streams_per_conn\":32,\"cpu_us_per_request\":0,\"cpu_us_per_s\":400000},"
                + "\"prices\":{\"connection\":0,\"cross_zone\":0.01,\"discovery\":0,\"handshake\":0,"
                + "\"late_fail\":0.08,\"moves\":0,\"origin\":0,\"peer\":0,\"probe\":0.01,\"waste\":0.05},"
                + "\"request_classes\":[" + String.join(",", classes) + "],"
                + "\"tariffs\":[" + String.join(",", plans) + "]}";
        }
    }

    /** An edge node: a process started with the command of the deploy file. */
    static final class Edge {
        final Rig rig;
        final int rank;
        final int port;
        final int controlPort;
        final Path home;
        Process process;

        Edge(Rig rig, int rank) throws IOException {
            this.rig = rig;
            this.rank = rank;
            port = freePort();
            controlPort = freePort();
            home = Files.createDirectories(rig.folder.resolve("n" + rank));
        }

        String configJson() {
            return "{\"name\":\"n" + rank + "\",\"listen\":\"" + address(port) + "\",\"control\":\""
                + address(controlPort) + "\",\"discovery\":\"" + address(rig.discovery.port) + "\",\"counter\":\""
                + address(rig.counter.port) + "\",\"seed\":\"8c1f30d27a5be96" + rank + "\",\"limits\":{\"cores\":1.0,"
                + "\"memory_mb\":" + rig.settings.memoryMb + ",\"sockets\":" + rig.settings.sockets + "},\"known\":"
                + rig.discovery.whole() + ",\"settings\":" + rig.settings.json(rank) + "}";
        }

        void writeConfig() throws IOException {
            Path next = home.resolve("config.next");
            Files.writeString(next, configJson());
            Files.move(next, home.resolve("config.json"), java.nio.file.StandardCopyOption.ATOMIC_MOVE);
        }

        void start() throws IOException {
            Path tmp = Files.createDirectories(home.resolve("tmp"));
            writeConfig();
            String run = Files.readAllLines(rig.root.resolve("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("run = ")).findFirst().orElseThrow();
            run = run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'));
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c",
                "ulimit -n " + rig.settings.sockets + "; " + run);
            builder.directory(rig.root.toFile());
            builder.environment().put("EDGE_CONFIG", home.resolve("config.json").toString());
            builder.environment().put("TMPDIR", tmp.toString());
            builder.redirectErrorStream(true).redirectOutput(
                ProcessBuilder.Redirect.appendTo(home.resolve("log.txt").toFile()));
            process = builder.start();
            double begun = rig.ms();
            while (!answersPing()) {
                if (!process.isAlive() || rig.ms() > begun + 30_000) {
                    throw new IOException("the edge node doesn't take clients");
                }
                sleep(50);
            }
            rig.log("n" + rank + " pid " + process.pid() + " takes clients on " + address(port) + " after "
                + Math.round(rig.ms() - begun) + " ms");
        }

        private boolean answersPing() {
            try (Socket socket = connect(port, 1000)) {
                socket.getOutputStream().write(command("PING"));
                return "+PONG".equals(new Reader(socket).line());
            } catch (IOException notYet) {
                return false;
            }
        }

        boolean alive() {
            return process.isAlive();
        }

        void kill() {
            if (process != null) {
                process.destroyForcibly();
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
    }

    // ---- RESP ----

    static Socket connect(int port, int readTimeoutMs) throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(LOOPBACK, port), 5000);
        socket.setSoTimeout(readTimeoutMs);
        return socket;
    }

    static byte[] command(String... words) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        byte[] head = ("*" + words.length + "\r\n").getBytes(StandardCharsets.US_ASCII);
        out.write(head, 0, head.length);
        for (String word : words) {
            byte[] bytes = word.getBytes(StandardCharsets.ISO_8859_1);
            byte[] length = ("$" + bytes.length + "\r\n").getBytes(StandardCharsets.US_ASCII);
            out.write(length, 0, length.length);
            out.write(bytes, 0, bytes.length);
            out.write('\r');
            out.write('\n');
        }
        return out.toByteArray();
    }

    /** A client's request, as the protocol page words it. */
    static byte[] call(String verb, String customer, String id, String pairs, String... body) {
        return body.length == 0 ? command(verb, customer, id, pairs) : command(verb, customer, id, pairs, body[0]);
    }

    /** Reads RESP2. */
    static final class Reader {
        private final InputStream in;

        Reader(Socket socket) throws IOException {
            in = new BufferedInputStream(socket.getInputStream(), 16 * 1024);
        }

        String line() throws IOException {
            StringBuilder text = new StringBuilder();
            for (int next = in.read(); next != '\n'; next = in.read()) {
                if (next < 0) {
                    throw new EOFException(text.length() == 0 ? "closed" : "closed within a line");
                }
                if (next != '\r') {
                    text.append((char) next);
                }
            }
            return text.toString();
        }

        private byte[] bytes(int length) throws IOException {
            byte[] bytes = in.readNBytes(length + 2);
            if (bytes.length < length + 2) {
                throw new EOFException("closed within a value, " + bytes.length + " of " + length + " bytes");
            }
            return java.util.Arrays.copyOf(bytes, length);
        }

        /** One message: a line with its type, or the value of a bulk string after a '$'. */
        String message() throws IOException {
            String line = line();
            if (line.startsWith("$") && !line.equals("$-1")) {
                return "$" + new String(bytes(Integer.parseInt(line.substring(1))), StandardCharsets.ISO_8859_1);
            }
            if (line.startsWith("*") && !line.equals("*-1")) {
                StringBuilder all = new StringBuilder("*");
                for (int i = Integer.parseInt(line.substring(1)); i > 0; i--) {
                    all.append(message()).append('\n');
                }
                return all.toString();
            }
            return line;
        }

        /** The words of a command; null at the connection's end. */
        List<String> words() throws IOException {
            String head;
            try {
                head = line();
            } catch (EOFException end) {
                return null;
            }
            List<String> words = new ArrayList<>();
            for (int i = Integer.parseInt(head.substring(1)); i > 0; i--) {
                words.add(message().substring(1));
            }
            return words;
        }
    }

    // ---- stand-ins of the platform ----

    /** What a flag server does with a request that has reached it whole. */
    interface Work {
        void serve(FlagServer server, Socket socket, OutputStream out, List<String> words) throws IOException;
    }

    /** A flag server: answers each request after its work, in the order of the connection. */
    static final class FlagServer {
        final Rig rig;
        final String id;
        final String zone;
        final ServerSocket listener;
        final List<Socket> sockets = new CopyOnWriteArrayList<>();
        volatile String health = "active";
        volatile double bornMs;
        volatile double workMs = 40;
        volatile Work work = FlagServer::answer;

        FlagServer(Rig rig, String id, String zone) throws IOException {
            this.rig = rig;
            this.id = id;
            this.zone = zone;
            listener = new ServerSocket(0, 512, LOOPBACK);
            spawn(id, this::accept);
        }

        private void accept() {
            while (!listener.isClosed()) {
                try {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    sockets.add(socket);
                    spawn(id + " connection", () -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                Reader reader = new Reader(socket);
                for (List<String> words = reader.words(); words != null; words = reader.words()) {
                    String name = words.get(0);
                    if (name.equals("PING")) {
                        socket.getOutputStream().write("+PONG\r\n".getBytes(StandardCharsets.US_ASCII));
                    } else if (name.equals("INFO")) {
                        writeBulk(socket.getOutputStream(), "qps=10,inflight=1,util=0.3");
                    } else if (name.startsWith("CALL.")) {
                        rig.log(id + " takes " + words.get(2) + " " + words.get(3));
                        work.serve(this, socket, socket.getOutputStream(), words);
                    } else {
                        socket.getOutputStream().write("-ERR\r\n".getBytes(StandardCharsets.US_ASCII));
                    }
                }
            } catch (IOException e) {
                rig.log(id + " connection: " + e.getMessage());
            } finally {
                sockets.remove(socket);
            }
        }

        /** The value that this flag server makes for a request. */
        static String valueOf(String id) {
            return "value-of-" + id;
        }

        void answer(Socket socket, OutputStream out, List<String> words) throws IOException {
            sleep(workMs);
            byte[] value = valueOf(words.get(2)).getBytes(StandardCharsets.US_ASCII);
            String report = "qps=10,inflight=1,util=0.30";
            out.write(("*3\r\n$" + value.length + "\r\n" + valueOf(words.get(2)) + "\r\n$-1\r\n$" + report.length()
                + "\r\n" + report + "\r\n").getBytes(StandardCharsets.US_ASCII));
        }

        static void writeBulk(OutputStream out, String text) throws IOException {
            out.write(("$" + text.length() + "\r\n" + text + "\r\n").getBytes(StandardCharsets.US_ASCII));
        }

        String entry() {
            return String.format(Locale.ROOT, "{\"host\":\"%s\",\"dial\":\"%s\",\"site\":\"%s\",\"class\":\"c2-s10\","
                + "\"block\":0,\"health\":\"%s\",\"share\":1.0,\"born_ms\":%.0f}", id,
                address(listener.getLocalPort()), zone, health, bornMs);
        }
    }

    /** Discovery: the whole list, and a watch that stays open. */
    static final class Discovery {
        final Rig rig;
        final int port;
        private final ServerSocket listener;
        private final List<Socket> watches = new CopyOnWriteArrayList<>();
        private int seq = 41;
        /** How long a call waits for its answer; what an open watch has to tell comes at once. */
        volatile double answerAfterMs;

        Discovery(Rig rig) throws IOException {
            this.rig = rig;
            listener = new ServerSocket(0, 64, LOOPBACK);
            port = listener.getLocalPort();
            spawn("discovery", this::accept);
            spawn("heartbeat", () -> {
                while (true) {
                    sleep(2000);
                    watches.forEach(watch -> writeChunk(watch, "\n"));
                }
            });
        }

        synchronized String whole() {
            List<String> entries = rig.servers.stream().filter(s -> !s.health.equals("left"))
                .map(FlagServer::entry).toList();
            return "{\"seq\":" + seq + ",\"whole\":true,\"hosts\":[" + String.join(",", entries) + "]}";
        }

        /** Tells all watches what has changed. */
        synchronized void tell(FlagServer... changed) {
            seq++;
            List<String> entries = Stream.of(changed).map(FlagServer::entry).toList();
            String line = "{\"seq\":" + seq + ",\"whole\":false,\"hosts\":[" + String.join(",", entries) + "]}\n";
            rig.log("discovery tells " + line.strip());
            watches.forEach(watch -> writeChunk(watch, line));
        }

        private void accept() {
            while (true) {
                try {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    spawn("discovery connection", () -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try {
                Reader reader = new Reader(socket);
                while (true) {
                    String request = reader.line();
                    while (!reader.line().isEmpty()) {
                        continue;
                    }
                    rig.log("discovery is asked: " + request);
                    sleep(answerAfterMs);
                    byte[] body = (whole() + "\n").getBytes(StandardCharsets.US_ASCII);
                    OutputStream out = socket.getOutputStream();
                    if (request.contains("follow=1")) {
                        out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
                        writeChunk(socket, whole() + "\n");
                        watches.add(socket);
                    } else {
                        out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
                        out.write(body);
                    }
                }
            } catch (IOException end) {
                watches.remove(socket);
            }
        }

        private void writeChunk(Socket socket, String text) {
            try {
                synchronized (socket) {
                    socket.getOutputStream().write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
                }
            } catch (IOException gone) {
                watches.remove(socket);
            }
        }
    }

    /** The counter. */
    static final class Counter {
        final int port;
        private final Map<String, Double> totals = new HashMap<>();

        Counter(Rig rig) throws IOException {
            ServerSocket listener = new ServerSocket(0, 64, LOOPBACK);
            port = listener.getLocalPort();
            spawn("counter", () -> {
                while (true) {
                    try {
                        Socket socket = listener.accept();
                        socket.setTcpNoDelay(true);
                        spawn("counter connection", () -> serve(socket));
                    } catch (IOException e) {
                        return;
                    }
                }
            });
        }

        private void serve(Socket socket) {
            try (socket) {
                Reader reader = new Reader(socket);
                for (List<String> words = reader.words(); words != null; words = reader.words()) {
                    if (words.get(0).equals("CNT.ADD")) {
                        double total;
                        synchronized (totals) {
                            total = totals.merge(words.get(1), Double.parseDouble(words.get(2)), Double::sum);
                        }
                        FlagServer.writeBulk(socket.getOutputStream(),
                            new java.math.BigDecimal(total).round(new java.math.MathContext(7)).toPlainString());
                    } else {
                        socket.getOutputStream().write((words.get(0).equals("PING") ? "+PONG\r\n" : "+OK\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
                    }
                }
            } catch (IOException end) {
                return;
            }
        }
    }

    // ---- clients ----

    /** How requests have ended, by kind. */
    static final class Tally {
        private final Map<String, Integer> counts = new TreeMap<>();

        synchronized void add(String kind) {
            counts.merge(kind, 1, Integer::sum);
        }

        synchronized int of(String kind) {
            return counts.getOrDefault(kind, 0);
        }

        @Override public synchronized String toString() {
            return counts.toString();
        }
    }

    /**
     * One request on a connection that carries nothing else meanwhile. A client waits for its answer; the
     * request is lost when none has come half a second after its time (and the slack of 50 ms). A connection
     * that ends without one is told apart: before its first answer, and after.
     */
    String request(Socket socket, Reader reader, byte[] command, String id, int timeoutMs, boolean first)
        throws IOException {
        double sentMs = ms();
        socket.setSoTimeout((int) (timeoutMs + LOST_AFTER_MS));
        String ended;
        try {
            socket.getOutputStream().write(command);
            String answer = reader.message();
            double tookMs = ms() - sentMs;
            if (answer.startsWith("$")) {
                ended = !answer.substring(1).equals(FlagServer.valueOf(id)) ? "foreign"
                    : tookMs <= timeoutMs ? "served" : "served late";
            } else {
                ended = answer.startsWith("-BUSY") ? "refused" : "failed";
            }
            if (tookMs > timeoutMs + LOST_AFTER_MS) {
                ended = "lost";
            }
        } catch (java.net.SocketTimeoutException e) {
            ended = "lost";
        } catch (IOException e) {
            ended = first ? "closed unread" : "closed";
        }
        log("request " + id + " d=" + timeoutMs + " " + ended + " after " + Math.round(ms() - sentMs) + " ms");
        return ended;
    }
}
