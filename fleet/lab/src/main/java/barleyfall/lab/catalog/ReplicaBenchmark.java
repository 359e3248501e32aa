package barleyfall.lab.catalog;

import barleyfall.catalog.client.CatalogClient;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;

/** Measures a list service of several replicas: writes, watches, failover, restart, memory and disk. */
public final class ReplicaBenchmark {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);
    private static final int CLIENT_COUNT = 32;
    private static final int LEASE_MS = 3_600_000;
    private static final int WATCH_COUNT = 200;
    private static final int WATCHED_CHANGE_COUNT = 400;
    private static final int CHANGE_INTERVAL_MS = 25;
    private static final int KILL_COUNT = 10;

    private final ReplicaCluster cluster;
    private final Consumer<String> output;

    /** The replicas have to run and have a leader; each figure is passed to the output. */
    public ReplicaBenchmark(ReplicaCluster cluster, Consumer<String> output) {
        this.cluster = cluster;
        this.output = output;
    }

    /** Runs all measurements with a list of so many members and so many changes. */
    public void run(int memberCount, int changeCount) throws IOException {
        measureRegistrations(memberCount);
        measureWatches();
        new ManyWatchesBenchmark(cluster, output).run(memberCount);
        int stopped = cluster.size() - 1;
        cluster.process(stopped).kill();
        measureChanges(memberCount, changeCount);
        measureCatchUp(stopped);
        output.accept("memory of each replica, MB: " + memoryMb());
        output.accept("on disk at each replica, MB: " + diskMb());
        measureFailover();
        measureRestart();
    }

    private CatalogClient client(int firstReplica) {
        return new CatalogClient(cluster.httpAddressesFrom(firstReplica), REQUEST_TIMEOUT);
    }

    /** One write of a benchmark; the number counts the writes from 0. */
    private interface Write {
        CatalogClient.Response of(CatalogClient client, int number) throws IOException;
    }

    /** Runs writes by several clients in parallel; returns the writes per second. */
    private double writesPerSecond(int count, Write write) throws IOException {
        ExecutorService executor = Executors.newFixedThreadPool(CLIENT_COUNT);
        AtomicInteger next = new AtomicInteger();
        long beganNanos = System.nanoTime();
        List<Future<Void>> tasks = new ArrayList<>();
        for (int c = 0; c < CLIENT_COUNT; c++) {
            CatalogClient client = client(c % 2);
            tasks.add(executor.submit(() -> {
                for (int i = next.getAndIncrement(); i < count; i = next.getAndIncrement()) {
                    CatalogClient.Response response = write.of(client, i);
                    if (!response.isOk()) {
                        throw new IOException(response.error());
                    }
                }
                return null;
            }));
        }
        try {
            for (Future<Void> task : tasks) {
                task.get();
            }
        } catch (InterruptedException | ExecutionException e) {
            throw new IOException(e);
        } finally {
            executor.shutdownNow();
        }
        return count / ((System.nanoTime() - beganNanos) / 1e9);
    }

    private void measureRegistrations(int memberCount) throws IOException {
        double writesPerSecond = writesPerSecond(memberCount,
            (client, i) -> client.post("register", CatalogClient.newBody()
                .put("host", "m" + i).put("dial", "10.0.0.1:" + (1 + i % 60_000)).put("site", "hall-a")
                .put("class", "c2").put("lease_ms", LEASE_MS).put("instance", "bench")));
        output.accept(String.format("%d members registered by %d clients: %.0f writes a second", memberCount,
            CLIENT_COUNT, writesPerSecond));
    }

    private void measureChanges(int memberCount, int changeCount) throws IOException {
        double writesPerSecond = writesPerSecond(changeCount,
            (client, i) -> client.post(i / memberCount % 2 == 0 ? "drain" : "undrain",
                CatalogClient.newBody().put("host", "m" + i % memberCount)));
        output.accept(String.format("%d changes by %d clients: %.0f writes a second", changeCount,
            CLIENT_COUNT, writesPerSecond));
    }

    /** Starts the replica that was down during the changes. */
    private void measureCatchUp(int replica) throws IOException {
        long version = cluster.awaitStatus(0, status -> !status.path("stale").asBoolean(true)).path("seq")
            .asLong();
        long beganNanos = System.nanoTime();
        cluster.start(replica);
        cluster.awaitStatus(replica, status -> status.path("seq").asLong() >= version);
        output.accept(String.format("a replica that was down during them has the list %.1f s after its start",
            (System.nanoTime() - beganNanos) / 1e9));
    }

    // ---- watches ----

    private void measureWatches() throws IOException {
        Map<Long, Long> sentNanosByVersion = new ConcurrentHashMap<>();
        ConcurrentLinkedQueue<long[]> received = new ConcurrentLinkedQueue<>();
        List<Socket> sockets = new ArrayList<>();
        long sinceVersion = cluster.awaitStatus(0, status -> !status.path("stale").asBoolean(true))
            .path("seq").asLong();
        for (int i = 0; i < WATCH_COUNT; i++) {
            String[] address = cluster.http(i % cluster.size()).split(":");
            Socket socket = new Socket();
            socket.connect(new InetSocketAddress(address[0], Integer.parseInt(address[1])));
            sockets.add(socket);
            socket.getOutputStream().write(("GET /catalog/members?follow=1&since=" + sinceVersion
                + " HTTP/1.1\r\nHost: x\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            Thread reader = new Thread(() -> readChanges(socket, received), "watch " + i);
            reader.setDaemon(true);
            reader.start();
        }
        CatalogClient client = client(0);
        for (int i = 0; i < WATCHED_CHANGE_COUNT; i++) {
            ObjectNode body = CatalogClient.newBody().put("host", "m" + i);
            long sentNanos = System.nanoTime();
            sentNanosByVersion.put(client.post("pin", body).body().path("seq").asLong(), sentNanos);
            pause(CHANGE_INTERVAL_MS);
        }
        pause(1000);
        for (Socket socket : sockets) {
            socket.close();
        }
        Histogram delayMicros = new Histogram(3);
        received.forEach(versionAndNanos -> {
            if (sentNanosByVersion.containsKey(versionAndNanos[0])) {
                delayMicros.recordValue(Math.max(1,
                    (versionAndNanos[1] - sentNanosByVersion.get(versionAndNanos[0])) / 1000));
            }
        });
        output.accept(String.format("from sending a change to each of %d watches, ms: p50 %.1f, p99 %.1f, "
            + "max %.1f (%d of %d received)", WATCH_COUNT, delayMicros.getValueAtPercentile(50) / 1000.0,
            delayMicros.getValueAtPercentile(99) / 1000.0, delayMicros.getMaxValue() / 1000.0,
            delayMicros.getTotalCount(), (long) WATCH_COUNT * WATCHED_CHANGE_COUNT));
    }

    private static void readChanges(Socket socket, ConcurrentLinkedQueue<long[]> received) {
        try (BufferedReader in = new BufferedReader(
            new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                long nowNanos = System.nanoTime();
                if (line.startsWith("{")) {
                    JSON.readTree(line).path("hosts")
                        .forEach(member -> received.add(new long[] {member.path("seq").asLong(), nowNanos}));
                }
            }
        } catch (IOException closed) {
            // the measurement is over
        }
    }

    // ---- faults ----

    private void measureFailover() throws IOException {
        List<Double> failoverMs = new ArrayList<>();
        for (int i = 0; i < KILL_COUNT; i++) {
            int leader = cluster.leader();
            cluster.process(leader).kill();
            long killedNanos = System.nanoTime();
            CatalogClient others = client(leader + 1);
            ObjectNode body = CatalogClient.newBody().put("host", "m" + i);
            while (!succeeds(others, body)) {
                pause(1);
            }
            failoverMs.add((System.nanoTime() - killedNanos) / 1e6);
            cluster.start(leader);
            cluster.awaitStatus(leader, status -> !status.path("stale").asBoolean(true));
        }
        failoverMs.sort(Double::compare);
        output.accept(String.format("from the kill of the leader to the next write, ms, %d times: min %.0f, "
            + "median %.0f, max %.0f", KILL_COUNT, failoverMs.get(0), failoverMs.get(KILL_COUNT / 2),
            failoverMs.get(KILL_COUNT - 1)));
    }

    private static boolean succeeds(CatalogClient client, ObjectNode body) {
        try {
            return client.post("unpin", body).isOk();
        } catch (IOException notYet) {
            return false;
        }
    }

    private void measureRestart() throws IOException {
        for (int i = 0; i < cluster.size(); i++) {
            cluster.process(i).kill();
        }
        long beganNanos = System.nanoTime();
        for (int i = 0; i < cluster.size(); i++) {
            cluster.start(i);
        }
        for (int i = 0; i < cluster.size(); i++) {
            cluster.awaitStatus(i, status -> !status.path("stale").asBoolean(true));
        }
        output.accept(String.format("all replicas killed and restarted: all serve with a leader after %.1f s",
            (System.nanoTime() - beganNanos) / 1e9));
    }

    private List<Long> memoryMb() throws IOException {
        List<Long> sizes = new ArrayList<>();
        for (int i = 0; i < cluster.size(); i++) {
            sizes.add(cluster.memoryMb(i));
        }
        return sizes;
    }

    private List<Long> diskMb() throws IOException {
        List<Long> sizes = new ArrayList<>();
        for (int i = 0; i < cluster.size(); i++) {
            try (Stream<Path> files = Files.walk(cluster.folder(i))) {
                sizes.add(files.filter(Files::isRegularFile).mapToLong(file -> file.toFile().length())
                    .sum() >> 20);
            }
        }
        return sizes;
    }

    private static void pause(long ms) {
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
