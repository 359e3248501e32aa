package barleyfall.lab.run;

import barleyfall.catalog.client.CatalogClient;
import barleyfall.lab.catalog.CatalogRegistrar;
import barleyfall.lab.catalog.DiscoveryProxy;
import barleyfall.lab.catalog.ReplicaCluster;
import barleyfall.lab.experiment.Experiment;
import barleyfall.lab.net.EventLoopLag;
import barleyfall.lab.net.LabClock;
import barleyfall.lab.net.Link;
import barleyfall.lab.net.LinkListener;
import barleyfall.lab.net.OneWayLink;
import barleyfall.lab.plan.Plan;
import barleyfall.lab.process.AddressBlock;
import barleyfall.lab.seen.Event;
import barleyfall.lab.standin.AgentRegistry;
import barleyfall.lab.standin.CounterStandIn;
import barleyfall.lab.standin.DiscoveryAgent;
import barleyfall.lab.standin.FlagServerFleet;
import barleyfall.lab.standin.FlagServerRegistry;
import barleyfall.lab.standin.Front;
import barleyfall.lab.standin.RequestLog;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.epoll.EpollIoHandler;
import io.netty.handler.codec.http.HttpServerCodec;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** All stand-ins of a run: flag servers, counter, discovery and clients, with the links to the edge nodes. */
final class LabEnvironment {
    private static final Logger LOG = LoggerFactory.getLogger(LabEnvironment.class);
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);
    private static final int EVENT_LOOP_COUNT = 3;
    /**
     * The front has its own event loops, so that the load is sent on time whatever the other stand-ins do.
     */
    private static final int FRONT_EVENT_LOOP_COUNT = 2;

    private final EventLoopGroup frontEventLoops =
        new MultiThreadIoEventLoopGroup(FRONT_EVENT_LOOP_COUNT, EpollIoHandler.newFactory());
    private final EventLoopGroup eventLoops =
        new MultiThreadIoEventLoopGroup(EVENT_LOOP_COUNT, EpollIoHandler.newFactory());
    final ScheduledExecutorService timers = Executors.newScheduledThreadPool(2, r -> {
        Thread t = new Thread(r, "lab timers");
        t.setDaemon(true);
        return t;
    });
    final EventLoopLag lag = new EventLoopLag();
    final FlagServerRegistry registry;
    /** The list service, or null if the lab's own agents stand in for it. */
    final ReplicaCluster replicas;
    final FlagServerFleet servers;
    final CounterStandIn counter;
    final Front front;
    final List<DiscoveryAgent> agents = new ArrayList<>();
    final List<Link> toCounter = new ArrayList<>();
    /** For each edge node, the link to its agent or the links to each replica of the list service. */
    final List<List<Link>> toDiscovery = new ArrayList<>();
    final List<Link> toFront = new ArrayList<>();
    private final List<LinkListener> listeners = new ArrayList<>();
    private final AddressBlock addresses;
    private volatile JsonNode lastList;

    /** Creates and starts all stand-ins; the list service keeps its files in the folder. */
    LabEnvironment(Plan plan, LabClock clock, AddressBlock addresses, Path folder, Consumer<Event> trace)
        throws IOException {
        Experiment experiment = plan.experiment();
        lag.watch(eventLoops);
        lag.watch(frontEventLoops);
        long seed = plan.randomStreams().of("parties").nextLong();
        AgentRegistry agentRegistry = new AgentRegistry(experiment.discovery(), clock, timers, seed);
        int replicaCount = experiment.discovery().replicas();
        if (replicaCount > 0) {
            replicas = new ReplicaCluster(replicaCount, CatalogRegistrar.settings(experiment.discovery()),
                addresses, eventLoops, clock, folder.resolve("list"));
            replicas.startAll();
            registry = new CatalogRegistrar(replicas, experiment.discovery(), clock, seed, silent ->
                toDiscovery.forEach(links -> links.forEach(l -> l.setCut(silent, true, true))));
        } else {
            replicas = null;
            registry = agentRegistry;
        }
        this.addresses = addresses;
        RequestLog requests = new RequestLog();
        servers = new FlagServerFleet(plan, clock, eventLoops, registry, requests, addresses::server, trace);
        servers.start();
        counter = new CounterStandIn(experiment.counter(), clock, eventLoops.next(), trace);
        List<InetSocketAddress> edges = new ArrayList<>();
        for (int i = 0; i < experiment.topology().edges(); i++) {
            int edge = i;
            String zone = plan.zone(i);
            List<Link> links = new ArrayList<>();
            toDiscovery.add(links);
            if (replicas == null) {
                DiscoveryAgent agent = new DiscoveryAgent(edge, clock, eventLoops.next(),
                    machine -> AddressBlock.hostAndPort(addresses.server(edge, machine.number())), trace);
                agents.add(agent);
                agentRegistry.add(agent);
                links.add(new Link(new OneWayLink(0, 0), new OneWayLink(0, 0)));
                listeners.add(new LinkListener(eventLoops.next(), addresses.discovery(edge), clock,
                    links.get(0), seed + edge, agent::addHandlers));
            }
            double propagationMs = experiment.discovery().propagationMs()
                .at(plan.randomStreams().of("list n" + edge).nextDouble());
            for (int r = 0; r < replicaCount; r++) {
                int replica = r;
                Link link = new Link(new OneWayLink(0, 0), new OneWayLink(0, 0));
                links.add(link);
                listeners.add(new LinkListener(eventLoops.next(), addresses.replica(edge, r), clock, link,
                    seed + edge, (channel, handler) -> channel.pipeline()
                        .addLast(new HttpServerCodec(), new DiscoveryProxy(edge,
                            addresses.replicaHttp(replica), id -> serverAddress(edge, id), propagationMs,
                            clock, trace))));
            }
            toCounter.add(link(plan, "n" + edge + " counter", zone, plan.zone(0)));
            double clientDelayMs = experiment.delays().clientMs()
                .at(plan.randomStreams().of("delay n" + edge + " front").nextDouble());
            toFront.add(new Link(new OneWayLink(clientDelayMs, experiment.delays().jitterFraction()),
                new OneWayLink(clientDelayMs, experiment.delays().jitterFraction())));
            listeners.add(new LinkListener(eventLoops.next(), addresses.counter(edge), clock,
                toCounter.get(edge), seed - edge,
                (channel, handler) -> counter.addHandlers(edge, channel, handler)));
            edges.add(addresses.edge(edge));
        }
        for (LinkListener listener : listeners) {
            listener.open();
        }
        front = new Front(plan, clock, frontEventLoops, requests, edges, toFront, timers, trace);
    }

    private static Link link(Plan plan, String pair, String from, String to) {
        double delayMs = plan.delayMs(pair, from, to);
        double jitterFraction = plan.experiment().delays().jitterFraction();
        return new Link(new OneWayLink(delayMs, jitterFraction),
            new OneWayLink(delayMs, jitterFraction));
    }

    /** Returns the address at which an edge node finds a flag server; an unknown one is a bug of the lab. */
    private String serverAddress(int edge, String serverId) {
        Integer number = servers.numberOf(serverId);
        if (number == null) {
            throw new IllegalStateException("the list names " + serverId + ", which the lab never started");
        }
        return AddressBlock.hostAndPort(addresses.server(edge, number));
    }

    /** Returns where an edge node finds discovery: its agent, or the replicas of the list service. */
    List<String> discoveryAddresses(int edge) {
        if (replicas == null) {
            return List.of(AddressBlock.hostAndPort(addresses.discovery(edge)));
        }
        return IntStream.range(0, replicas.size())
            .mapToObj(r -> AddressBlock.hostAndPort(addresses.replica(edge, r))).toList();
    }

    /** Returns the list that an edge node starts with; while the list service is down, the last one known. */
    ObjectNode knownList(int edge) throws IOException {
        if (replicas == null) {
            return agents.get(edge).currentList();
        }
        try {
            CatalogClient.Response response =
                new CatalogClient(replicas.httpAddressesFrom(0), REQUEST_TIMEOUT).get("members");
            lastList = response.isOk() ? response.body() : lastList;
        } catch (IOException away) {
            LOG.info("an edge node starts with an older list: {}", away.getMessage());
        }
        if (lastList == null) {
            throw new IOException("the list service has not sent a list yet");
        }
        return DiscoveryProxy.withServerAddresses(lastList.deepCopy(), id -> serverAddress(edge, id));
    }

    /** Stops all stand-ins. */
    void stop() {
        front.stop();
        timers.shutdownNow();
        servers.stop();
        if (replicas != null) {
            ((CatalogRegistrar) registry).close();
            try {
                replicas.close();
            } catch (IOException e) {
                LOG.warn("while stopping the list service", e);
            }
        }
        listeners.forEach(LinkListener::close);
        frontEventLoops.shutdownGracefully(0, 500,
            java.util.concurrent.TimeUnit.MILLISECONDS).syncUninterruptibly();
        eventLoops.shutdownGracefully(0, 500, java.util.concurrent.TimeUnit.MILLISECONDS)
            .syncUninterruptibly();
    }
}
