package barleyfall.lab.catalog;

import barleyfall.catalog.client.CatalogClient;
import barleyfall.lab.net.LabClock;
import barleyfall.lab.net.Link;
import barleyfall.lab.net.LinkListener;
import barleyfall.lab.net.OneWayLink;
import barleyfall.lab.process.AddressBlock;
import barleyfall.lab.process.ChildProcess;
import barleyfall.lab.process.SignalSender;
import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The replicas of a list service, each a process with a folder of its own. Each reaches the others through
 * proxies of the lab, whose addresses are in a hosts file of its own, so that any replica can be cut off.
 */
public final class ReplicaCluster implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(ReplicaCluster.class);
    private static final int READY_TIMEOUT_SECONDS = 30;
    private static final int TERM_GRACE_MS = 2000;
    private static final int POLL_INTERVAL_MS = 20;

    private final AddressBlock addresses;
    private final Path folder;
    private final String extraSettings;
    private final int replicaCount;
    private final ExecutorService spawnThread = Executors.newSingleThreadExecutor(r -> {
        Thread t = new Thread(r, "spawner of replicas");
        t.setDaemon(true);
        return t;
    });
    private final SignalSender signalSender = new SignalSender();
    private final List<ChildProcess> processes = new ArrayList<>();
    private final List<List<Link>> links = new ArrayList<>();
    private final List<LinkListener> listeners = new ArrayList<>();
    private final int[] startCounts;

    /**
     * Opens the links between the replicas; none is started yet.
     *
     * @param extraSettings TOML lines that are added to the replicas' configuration files
     */
    public ReplicaCluster(int replicaCount, String extraSettings, AddressBlock addresses,
        EventLoopGroup eventLoops, LabClock clock, Path folder) throws IOException {
        this.replicaCount = replicaCount;
        this.extraSettings = extraSettings;
        this.addresses = addresses;
        this.folder = folder.toAbsolutePath();
        startCounts = new int[replicaCount];
        for (int from = 0; from < replicaCount; from++) {
            List<Link> row = new ArrayList<>();
            links.add(row);
            for (int to = 0; to < replicaCount; to++) {
                Link link = new Link(new OneWayLink(0, 0), new OneWayLink(0, 0));
                row.add(link);
                if (from != to) {
                    int target = to;
                    LinkListener listener = new LinkListener(eventLoops.next(),
                        addresses.replicaRaft(from, to), clock, link, from * 8L + to,
                        (channel, handler) -> channel.pipeline()
                            .addLast(new TcpForwarder(addresses.replicaRaft(target))));
                    listeners.add(listener);
                    listener.open();
                }
            }
            int number = from;
            processes.add(new ChildProcess("replica " + name(from), spawnThread, signalSender,
                (change, detail) -> LOG.info("replica {} {} {}", name(number), change, detail)));
        }
    }

    private static String name(int replica) {
        return "r" + replica;
    }

    /** Returns the number of replicas. */
    public int size() {
        return replicaCount;
    }

    /** Returns the data folder of a replica. */
    public Path folder(int replica) {
        return folder.resolve(name(replica)).resolve("data");
    }

    /** Returns the log file of the last start of a replica. */
    public File log(int replica) {
        return folder.resolve(name(replica)).resolve("log-" + startCounts[replica] + ".txt").toFile();
    }

    /** Returns the process of a replica. */
    public ChildProcess process(int replica) {
        return processes.get(replica);
    }

    /** Returns the HTTP address of a replica, as {@code address:port}. */
    public String http(int replica) {
        return AddressBlock.hostAndPort(addresses.replicaHttp(replica));
    }

    /** Returns the HTTP addresses of all replicas, beginning with this one. */
    public List<String> httpAddressesFrom(int replica) {
        return IntStream.range(0, replicaCount).mapToObj(i -> http((replica + i) % replicaCount)).toList();
    }

    /** Starts a replica for the first time or again. */
    public void start(int replica) throws IOException {
        start(replica, "");
    }

    /** Starts a replica whose files cannot grow beyond a size, as on a disk that is full by then. */
    public void startOnFullDisk(int replica, int maxFileKb) throws IOException {
        start(replica, "ulimit -f " + 2 * maxFileKb + "; trap '' XFSZ; ");
    }

    private void start(int replica, String limitCommand) throws IOException {
        Path home = Files.createDirectories(folder.resolve(name(replica)));
        StringBuilder hosts = new StringBuilder();
        StringBuilder settings = new StringBuilder("id = \"" + name(replica) + "\"\ndir = \""
            + folder(replica) + "\"\n");
        StringBuilder peers = new StringBuilder();
        for (int to = 0; to < replicaCount; to++) {
            String address = (to == replica ? addresses.replicaRaft(to) : addresses.replicaRaft(replica, to))
                .getAddress().getHostAddress();
            hosts.append(address).append(' ').append(name(to)).append(".list\n");
            peers.append("[[replica]]\nid = \"").append(name(to)).append("\"\nraft = \"").append(name(to))
                .append(".list:").append(addresses.replicaRaft(to).getPort()).append("\"\nhttp = \"")
                .append(http(to)).append("\"\n");
        }
        Files.writeString(home.resolve("hosts"), hosts);
        Files.writeString(home.resolve("replica.toml"), settings.append(peers).append(extraSettings));
        startCounts[replica]++;
        processes.get(replica).start(limitCommand
            + "exec java -XX:+UseSerialGC -Xmx256m -XX:TieredStopAtLevel=1 -Xshare:auto"
            + " -Djdk.net.hosts.file='" + home.resolve("hosts") + "' -cp '"
            + System.getProperty("java.class.path") + "' barleyfall.catalog.Serve '"
            + home.resolve("replica.toml") + "'" + (startCounts[replica] == 1 ? " --found" : ""),
            home.toFile(), Map.of(), log(replica));
    }

    /** Starts all replicas and waits until each knows a leader. */
    public void startAll() throws IOException {
        for (int i = 0; i < replicaCount; i++) {
            start(i);
        }
        for (int i = 0; i < replicaCount; i++) {
            awaitStatus(i, status -> !status.path("stale").asBoolean(true)
                && status.path("epoch").asLong() > 0);
        }
    }

    /**
     * Waits until the status of a replica meets a condition and returns it; throws if it has not within 30 s.
     */
    public JsonNode awaitStatus(int replica, Predicate<JsonNode> condition) throws IOException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_TIMEOUT_SECONDS);
        JsonNode lastStatus = null;
        while (System.nanoTime() < deadlineNanos) {
            if (!processes.get(replica).isAlive()) {
                throw new IOException("replica " + name(replica) + " has exited: "
                    + Files.readString(log(replica).toPath()));
            }
            lastStatus = status(replica);
            if (lastStatus != null && condition.test(lastStatus)) {
                return lastStatus;
            }
            try {
                Thread.sleep(POLL_INTERVAL_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException("interrupted", e);
            }
        }
        throw new IOException("replica " + name(replica) + " did not reach the expected status within "
            + READY_TIMEOUT_SECONDS + " s; its last status was " + lastStatus + "; see " + log(replica));
    }

    /** Returns the status that a replica reports, or null if it does not respond. */
    public JsonNode status(int replica) {
        try {
            return new CatalogClient(List.of(http(replica)), Duration.ofSeconds(1)).get("status").body();
        } catch (IOException away) {
            return null;
        }
    }

    /** Returns the leader according to most of the replicas that respond, or -1 if there is none. */
    public int leader() {
        int[] votes = new int[replicaCount];
        for (int i = 0; i < replicaCount; i++) {
            JsonNode status = processes.get(i).isAlive() ? status(i) : null;
            if (status != null && !status.path("stale").asBoolean() && status.path("leader").isTextual()) {
                votes[Integer.parseInt(status.path("leader").asText().substring(1))]++;
            }
        }
        int best = IntStream.range(0, replicaCount).reduce((a, b) -> votes[a] >= votes[b] ? a : b).orElse(-1);
        return best >= 0 && votes[best] > 0 ? best : -1;
    }

    /** Returns the resident memory of a replica's process. */
    public long memoryMb(int replica) throws IOException {
        Path status = Path.of("/proc/" + processes.get(replica).process().pid() + "/status");
        try (Stream<String> lines = Files.lines(status)) {
            return lines.filter(line -> line.startsWith("VmRSS:")).map(line -> line.replaceAll("\\D", ""))
                .mapToLong(Long::parseLong).findFirst().orElse(0) / 1024;
        }
    }

    /** Cuts a replica off from all others in both directions, without closing connections, or undoes that. */
    public void setCutOff(int replica, boolean cut) {
        LOG.info("replica {} {}", name(replica), cut ? "is cut off" : "is no longer cut off");
        for (int other = 0; other < replicaCount; other++) {
            if (other != replica) {
                links.get(replica).get(other).setCut(cut, true, true);
                links.get(other).get(replica).setCut(cut, true, true);
            }
        }
    }

    @Override public void close() throws IOException {
        for (ChildProcess process : processes) {
            if (process.isAlive()) {
                signalSender.send("CONT", process.process());
            }
        }
        processes.parallelStream().forEach(process -> process.termOrKill(TERM_GRACE_MS));
        listeners.forEach(LinkListener::close);
        signalSender.close();
        spawnThread.shutdown();
    }
}
