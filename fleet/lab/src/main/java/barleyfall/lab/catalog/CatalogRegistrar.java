package barleyfall.lab.catalog;

import barleyfall.catalog.client.CatalogClient;
import barleyfall.lab.experiment.Experiment;
import barleyfall.lab.net.LabClock;
import barleyfall.lab.plan.Machine;
import barleyfall.lab.standin.FlagServerRegistry;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Registers flag servers in the list service. Each server renews its lease for as long as it runs, so that
 * the list drops a server that dies silently when its lease expires. Servers that are replaced are drained
 * and removed as by operators.
 */
public final class CatalogRegistrar implements FlagServerRegistry, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(CatalogRegistrar.class);
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);
    private static final int RETRY_DELAY_MS = 100;
    private static final int THREAD_COUNT = 8;
    private static final int STATUS_CONFLICT = 409;
    /** Part of the shortest detection time of a silent death that is the lease; the rest is the grace. */
    private static final double LEASE_FRACTION = 0.75;

    /** One start of a flag server; a later start replaces it. */
    private record ServerLife(Machine machine, double bornAtMs, BooleanSupplier isRunning) { }

    private final ReplicaCluster cluster;
    private final Experiment.Discovery discovery;
    private final LabClock clock;
    private final Consumer<Boolean> setDiscoverySilent;
    private final SplittableRandom random;
    private final Map<String, ServerLife> lives = new ConcurrentHashMap<>();
    private final ScheduledExecutorService executor = Executors.newScheduledThreadPool(THREAD_COUNT, r -> {
        Thread t = new Thread(r, "flag servers to the list");
        t.setDaemon(true);
        return t;
    });

    /** The consumer is called with whether discovery is silent. */
    public CatalogRegistrar(ReplicaCluster cluster, Experiment.Discovery discovery, LabClock clock, long seed,
        Consumer<Boolean> setDiscoverySilent) {
        this.cluster = cluster;
        this.discovery = discovery;
        this.clock = clock;
        this.setDiscoverySilent = setDiscoverySilent;
        random = new SplittableRandom(seed);
    }

    /** Returns the settings of the replicas for leases and the guard, as TOML. */
    public static String settings(Experiment.Discovery discovery) {
        return String.format("[leases]%nleast = \"100ms\"%ngrace = \"%dms\"%n[guard]%nshare = %.3f%n",
            Math.round(discovery.deathDetectionMs().from() * (1 - LEASE_FRACTION)),
            discovery.guardFraction());
    }

    private int leaseMs() {
        return (int) Math.max(100, discovery.deathDetectionMs().from() * LEASE_FRACTION);
    }

    private CatalogClient client(ServerLife life) {
        return new CatalogClient(cluster.httpAddressesFrom(life.machine().number()), REQUEST_TIMEOUT);
    }

    // ---- registration ----

    @Override public void registerInitial(Machine machine, BooleanSupplier isRunning) throws IOException {
        ServerLife life = new ServerLife(machine, Double.NEGATIVE_INFINITY, isRunning);
        lives.put(machine.id(), life);
        renewLater(life, register(life));
    }

    @Override public synchronized void registerStarted(Machine machine, double bornAtMs,
        BooleanSupplier isRunning) {
        ServerLife life = new ServerLife(machine, bornAtMs, isRunning);
        lives.put(machine.id(), life);
        executor.schedule(() -> registerUntilDone(life),
            (long) discovery.registrationMs().at(random.nextDouble()), TimeUnit.MILLISECONDS);
    }

    /** Registers a server, with retries until it succeeds, the server stops, or it has been started again. */
    private void registerUntilDone(ServerLife life) {
        if (!isCurrent(life)) {
            return;
        }
        try {
            renewLater(life, register(life));
        } catch (IOException notYet) {
            executor.schedule(() -> registerUntilDone(life), RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
        }
    }

    private boolean isCurrent(ServerLife life) {
        return lives.get(life.machine().id()) == life && life.isRunning().getAsBoolean();
    }

    private long register(ServerLife life) throws IOException {
        Machine machine = life.machine();
        long bornUnixMs = Double.isInfinite(life.bornAtMs()) ? 0 : clock.toUnixMs(life.bornAtMs());
        CatalogClient.Response response = client(life).post("register", CatalogClient.newBody()
            .put("host", machine.id()).put("dial", "127.0.0.1:" + (1 + machine.number()))
            .put("site", machine.zone()).put("class", "lab").put("block", machine.block())
            .put("born_ms", bornUnixMs).put("lease_ms", leaseMs()).put("instance", "life-" + bornUnixMs));
        if (!response.isOk()) {
            throw new IOException(response.error());
        }
        return response.body().path("token").asLong();
    }

    private void renewLater(ServerLife life, long token) {
        executor.schedule(() -> renew(life, token), leaseMs() / 3, TimeUnit.MILLISECONDS);
    }

    private void renew(ServerLife life, long token) {
        if (!isCurrent(life)) {
            return;
        }
        try {
            CatalogClient.Response response = client(life).post("renew",
                CatalogClient.newBody().put("host", life.machine().id()).put("token", token));
            if (response.status() == STATUS_CONFLICT) {
                registerUntilDone(life);
                return;
            }
        } catch (IOException away) {
            LOG.info("{} could not renew its lease: {}", life.machine().id(), away.getMessage());
        }
        renewLater(life, token);
    }

    @Override public void expireUnlessBack(Machine machine, BooleanSupplier isRunning) {
        // it no longer renews its lease, and the list learns nothing else
    }

    // ---- operators ----

    @Override public void markDraining(Machine machine) {
        sendCommand("drain", machine);
    }

    @Override public void deregister(Machine machine) {
        lives.remove(machine.id());
        sendCommand("remove", machine);
    }

    private void sendCommand(String command, Machine machine) {
        executor.execute(() -> {
            ObjectNode body = CatalogClient.newBody().put("host", machine.id());
            try {
                CatalogClient.Response response =
                    new CatalogClient(cluster.httpAddressesFrom(machine.number()), REQUEST_TIMEOUT)
                        .post(command, body);
                if (response.status() >= 500) {
                    throw new IOException(response.error());
                }
            } catch (IOException notYet) {
                LOG.info("{} {} is retried: {}", command, machine.id(), notYet.getMessage());
                executor.schedule(() -> sendCommand(command, machine), RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
            }
        });
    }

    @Override public void setSilent(boolean silent) {
        setDiscoverySilent.accept(silent);
    }

    @Override public void close() {
        executor.shutdownNow();
    }
}
