package barleyfall.lab.edge;

import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyfall.lab.net.LabClock;
import barleyfall.lab.process.AddressBlock;
import barleyfall.lab.process.EdgeProcess;
import barleyfall.lab.process.SignalSender;
import barleyfall.lab.process.SystemCallFaults;
import barleyfall.lab.run.Project;
import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * One real edge node, started as the deploy file says, whose system calls a test can make fail, between flag
 * servers and a discovery agent of the test's own. All sockets are on the loopback addresses of one run.
 */
final class EdgeFixture implements AutoCloseable {
    private static final int FEW_DESCRIPTORS = 256;
    /** The memory that the flags of the deploy file are made for. */
    static final int MEMORY_MB = 192;
    private static final int SOCKET_TIMEOUT_MS = 20_000;
    private static final int AWAIT_TIMEOUT_SECONDS = 30;
    private static final int POLL_INTERVAL_MS = 2;
    private static final int HEARTBEAT_INTERVAL_MS = 1000;
    private static final String CUSTOMER = "0000000000000001";
    /** So many gateways that the warm-up of each is short. */
    private static final int GATEWAY_COUNT = 20;

    /** A request that reached a flag server whole, with the time that it tells the server. */
    record Received(int server, String id, long atNanos, double timeLeftMs) { }

    final SystemCallFaults faults;
    /** What the flag servers have received, in the order of time. */
    final List<Received> received = new CopyOnWriteArrayList<>();
    private final AddressBlock addresses = AddressBlock.claim();
    private final ExecutorService spawnThread = Executors.newSingleThreadExecutor();
    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "peer");
        thread.setDaemon(true);
        return thread;
    });
    private final SignalSender signals = new SignalSender();
    private final List<Closeable> sockets = new CopyOnWriteArrayList<>();
    private final List<Socket> serverConnections = new CopyOnWriteArrayList<>();
    private final EdgeProcess edge;
    private final int serverCount;
    private final int maxDescriptors;
    /** How the flag servers answer. */
    volatile ServerBehavior behavior = EdgeFixture::writeValue;
    private final Map<String, String> environment = new LinkedHashMap<>();

    /**
     * Creates the peers of an edge node, which is not started yet.
     *
     * @param affectedFiles a part of the path of the files that can fail
     */
    EdgeFixture(Path folder, int serverCount, String affectedFiles) throws IOException {
        this(folder, serverCount, affectedFiles, FEW_DESCRIPTORS);
    }

    /** Creates the peers of an edge node that may hold so many descriptors. */
    EdgeFixture(Path folder, int serverCount, String affectedFiles, int maxDescriptors) throws IOException {
        this.serverCount = serverCount;
        this.maxDescriptors = maxDescriptors;
        faults = new SystemCallFaults(folder.resolve("faults"), 1, affectedFiles);
        Project project = Project.find(Path.of(""));
        edge = new EdgeProcess(0, project.root(), project.startCommand(), folder, maxDescriptors,
            new LabClock(), spawnThread, signals, event -> { });
        for (int i = 0; i < serverCount; i++) {
            int server = i;
            listen(addresses.server(0, i), socket -> answerRequests(server, socket));
        }
        listen(addresses.discovery(0), EdgeFixture::watch);
        environment.putAll(faults.environment());
        environment.put("EDGE_NAME", "n0");
    }

    /** Handles one connection of the edge node to a peer. */
    interface ConnectionHandler {
        void handle(Socket socket) throws IOException, InterruptedException;
    }

    private void listen(InetSocketAddress address, ConnectionHandler handler) throws IOException {
        ServerSocket server = new ServerSocket(address.getPort(), 50, address.getAddress());
        sockets.add(server);
        threads.execute(() -> {
            try {
                while (true) {
                    Socket socket = server.accept();
                    sockets.add(socket);
                    threads.execute(() -> {
                        try (socket) {
                            handler.handle(socket);
                        } catch (IOException | InterruptedException ended) {
                            // by the edge node, or by the end of the test
                        }
                    });
                }
            } catch (IOException closed) {
                // the test has ended
            }
        });
    }

    /** How a flag server answers a request. */
    interface ServerBehavior {
        /** Writes the answer to a request, or a part of it; the connection ends where this throws. */
        void answer(Received request, OutputStream out) throws IOException, InterruptedException;
    }

    private static void writeValue(Received request, OutputStream out) throws IOException {
        writeValue("value of " + request.id(), out);
    }

    /** Writes a flag server's answer with this value. */
    static void writeValue(String value, OutputStream out) throws IOException {
        out.write(("*3\r\n$" + value.length() + "\r\n" + value + "\r\n$-1\r\n$-1\r\n")
            .getBytes(StandardCharsets.US_ASCII));
    }

    /** Answers each request as the behavior says. */
    private void answerRequests(int server, Socket socket) throws IOException, InterruptedException {
        serverConnections.add(socket);
        InputStream in = socket.getInputStream();
        while (true) {
            List<String> command = BlockingRespReader.read(in);
            if (!command.get(0).startsWith("CALL.")) {
                socket.getOutputStream().write("+OK\r\n".getBytes(StandardCharsets.US_ASCII));
                continue;
            }
            Received request = new Received(server, command.get(2), System.nanoTime(),
                Double.parseDouble(command.get(3).replaceAll(".*\\bd=([0-9.]+).*", "$1")));
            received.add(request);
            behavior.answer(request, socket.getOutputStream());
        }
    }

    /** Closes the connections to the flag servers, so that the next request needs a new one. */
    void closeServerConnections() throws IOException {
        for (Socket socket : serverConnections) {
            socket.close();
        }
        serverConnections.clear();
    }

    /** Answers a request to discovery with a watch on which nothing changes. */
    private static void watch(Socket socket) throws IOException, InterruptedException {
        BufferedReader reader =
            new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        for (String line = reader.readLine(); line != null && !line.isEmpty(); line = reader.readLine()) {
            continue; // a line of the request's head
        }
        socket.getOutputStream().write("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
            .getBytes(StandardCharsets.US_ASCII));
        while (true) {
            socket.getOutputStream().write("1\r\n\n\r\n".getBytes(StandardCharsets.US_ASCII));
            Thread.sleep(HEARTBEAT_INTERVAL_MS);
        }
    }

    /** Returns the configuration, with the given deadline of the request classes. */
    String config(int deadlineMs) {
        return config(deadlineMs, serverCount);
    }

    /** Returns the configuration with a list of so many servers, several of which may be one process. */
    String config(int deadlineMs, int listedServers) {
        StringBuilder hosts = new StringBuilder();
        for (int i = 0; i < listedServers; i++) {
            hosts.append(i == 0 ? "" : ",").append("{\"host\":\"s").append(i).append("\",\"dial\":\"")
                .append(AddressBlock.hostAndPort(addresses.server(0, i % serverCount)))
                .append("\",\"site\":\"a\",\"class\":\"m\",\"block\":1,\"health\":\"active\"}");
        }
        return """
            {"name":"n0","listen":"%s","control":"%s","discovery":"%s","seed":"1",
             "limits":{"memory_mb":%d,"sockets":%d},"known":{"seq":41,"whole":true,"hosts":[%s]},
             "settings":{"rank":0,"group_size":%d,"tick":4,
              "contract":{"cold_share":0.3,"warm_after":2000,"overload_factor":3,"overload_for":500},
              "limits":{"send_cap":3,"keepalive":15000,"connect_timeout":250,"cancelling":true},
              "request_classes":[
               {"name":"read","effect":"read_like","aim":200,"hard_limit":%d,"worth":1},
               {"name":"once","effect":"non_idempotent","aim":200,"hard_limit":%d,"worth":1}],
              "tariffs":[{"name":"p","per_second":100000,"depth":300000}]}}"""
            .formatted(AddressBlock.hostAndPort(addresses.edge(0)),
                AddressBlock.hostAndPort(addresses.control(0)),
                AddressBlock.hostAndPort(addresses.discovery(0)), MEMORY_MB, maxDescriptors, hosts,
                GATEWAY_COUNT, deadlineMs, deadlineMs);
    }

    /** Starts the process with a configuration, and does not wait for it. */
    void launch(String config) throws IOException {
        edge.start(config, environment);
    }

    /** Starts the process again, with the temporary files of the one before, and does not wait for it. */
    void launchWithFiles(String config) throws IOException {
        edge.startWithFiles(config, environment);
    }

    /** Starts the process and waits until it takes clients. */
    void start(String config) throws Exception {
        launch(config);
        awaitReady();
    }

    /** Waits until the control address answers; fails where the process ends. */
    void awaitReady() throws Exception {
        await("the edge node takes clients", this::isReady);
    }

    /** Whether the control address answers; fails where the process has ended. */
    boolean isReady() {
        if (!edge.isAlive()) {
            throw new AssertionError("the edge node has ended: " + log());
        }
        try {
            return control("PING").equals(List.of("SUCCESS"));
        } catch (IOException notYet) {
            return false;
        }
    }

    /** Waits for a condition; fails where it does not come true. */
    static void await(String what, BooleanSupplier condition) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(AWAIT_TIMEOUT_SECONDS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > endNanos) {
                throw new AssertionError("not within " + AWAIT_TIMEOUT_SECONDS + " s: " + what);
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
    }

    /** Sends a line to the control address and returns the lines of the answer. */
    List<String> control(String line) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(addresses.control(0), SOCKET_TIMEOUT_MS);
            socket.setSoTimeout(SOCKET_TIMEOUT_MS);
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII).lines()
                .toList();
        }
    }

    /** Returns the value of a metric. */
    double metric(String name) throws IOException {
        for (String line : control("INFO")) {
            if (line.startsWith(name + " ")) {
                return Double.parseDouble(line.substring(name.length() + 1));
            }
        }
        throw new AssertionError("no metric is named " + name);
    }

    /** Returns all metrics of violated invariants. */
    List<String> violations() throws IOException {
        List<String> found = new ArrayList<>();
        for (String line : control("INFO")) {
            if (line.startsWith("node_invariant_violations_total") && !line.endsWith(" 0")) {
                found.add(line);
            }
        }
        return found;
    }

    /** Opens a connection of a client. */
    Client client() throws IOException {
        Client client = new Client();
        sockets.add(client.socket);
        return client;
    }

    /** A client's connection. */
    final class Client {
        final Socket socket = new Socket();

        private Client() throws IOException {
            socket.connect(addresses.edge(0), SOCKET_TIMEOUT_MS);
            socket.setSoTimeout(SOCKET_TIMEOUT_MS);
        }

        /** Sends a request without waiting for its answer. */
        void send(String requestClass, int id, int timeoutMs) throws IOException {
            write(request(requestClass, id, timeoutMs));
        }

        /** Writes text as it is. */
        void write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        }

        /** Whether a part of an answer has come that is not read yet. */
        boolean hasAnswer() {
            try {
                return socket.getInputStream().available() > 0;
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        /** Reads the answer that comes next. */
        String answer() throws IOException {
            return BlockingRespReader.read(socket.getInputStream()).get(0);
        }
    }

    /** Returns a request without a body as it stands on the wire. */
    static String request(String requestClass, int id, int timeoutMs) {
        return request(CUSTOMER,
            "c=" + requestClass + ",t=p,d=" + timeoutMs + ",units=1,spread=1,first=0", id);
    }

    /** Returns a request of a customer with these pairs of names and values. */
    static String request(String customer, String pairs, int id) {
        return "*4\r\n$8\r\nCALL.GET\r\n$16\r\n" + customer + "\r\n$16\r\n" + hex(id) + "\r\n$"
            + pairs.length() + "\r\n" + pairs + "\r\n";
    }

    /** Returns a request with a body of so many bytes as it stands on the wire. */
    static String requestWithBody(String requestClass, int id, int timeoutMs, int bodyBytes) {
        return request(requestClass, id, timeoutMs).replace("*4\r\n$8\r\nCALL.GET", "*5\r\n$9\r\nCALL.POST")
            + "$" + bodyBytes + "\r\n" + "b".repeat(bodyBytes) + "\r\n";
    }

    /** Returns a request's id as it stands on the wire. */
    static String hex(int id) {
        return String.format("%016x", id);
    }

    /** Returns the answer that the flag servers give to a request. */
    static String valueOf(int id) {
        return "value of " + hex(id);
    }

    /** Replaces the configuration file and sends SIGHUP. */
    void reload(String config) throws IOException {
        Path next = edge.folder().resolve("config.next");
        Files.writeString(next, config);
        Files.move(next, edge.folder().resolve("config.json"),
            java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        signals.send("HUP", edge.process());
    }

    /** Returns the process of the edge node. */
    EdgeProcess process() {
        return edge;
    }

    /** Returns the most memory that the process has had resident so far, in MiB. */
    int peakMemoryMb() throws IOException {
        Path status = Path.of("/proc", Long.toString(edge.process().pid()), "status");
        for (String line : Files.readAllLines(status)) {
            if (line.startsWith("VmHWM:")) {
                return Integer.parseInt(line.replaceAll("\\D", "")) / 1024;
            }
        }
        throw new IOException("no VmHWM in " + status);
    }

    /** Returns the log of the last start. */
    String log() {
        try (var files = Files.list(edge.folder())) {
            StringBuilder text = new StringBuilder();
            for (Path file : files.filter(f -> f.getFileName().toString().startsWith("log-")).toList()) {
                text.append(Files.readString(file));
            }
            return text.toString();
        } catch (IOException e) {
            return e.toString();
        }
    }

    @Override public void close() throws IOException, InterruptedException {
        edge.kill();
        spawnThread.shutdown();
        signals.close();
        for (Closeable socket : sockets) {
            socket.close();
        }
        threads.shutdownNow();
        // a thread that is still in accept keeps its address, which the next fixture may need
        assertTrue(threads.awaitTermination(AWAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS), "peers still run");
        addresses.close();
    }
}
