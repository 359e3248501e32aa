package barleyfall.lab.run;

import barleyfall.lab.experiment.Experiment;
import barleyfall.lab.net.Door;
import barleyfall.lab.net.LabClock;
import barleyfall.lab.net.Link;
import barleyfall.lab.net.LoopLag;
import barleyfall.lab.net.Way;
import barleyfall.lab.plan.Plan;
import barleyfall.lab.process.AddressBlock;
import barleyfall.lab.seen.Seen;
import barleyfall.lab.standin.Agent;
import barleyfall.lab.standin.Catalog;
import barleyfall.lab.standin.CounterStandIn;
import barleyfall.lab.standin.FlagFleet;
import barleyfall.lab.standin.Front;
import barleyfall.lab.standin.Requests;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.epoll.EpollIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Consumer;

/** All stand-ins of a run, on their sockets. */
final class Parties {
    private static final int LOOPS = 3;
    /** The front's own: its load must go out on time whatever the other stand-ins are at. */
    private static final int FRONT_LOOPS = 2;

    private final EventLoopGroup frontLoops =
        new MultiThreadIoEventLoopGroup(FRONT_LOOPS, EpollIoHandler.newFactory());
    private final EventLoopGroup loops =
        new MultiThreadIoEventLoopGroup(LOOPS, EpollIoHandler.newFactory());
    final ScheduledExecutorService timers = Executors.newScheduledThreadPool(2, r -> {
        Thread t = new Thread(r, "lab timers");
        t.setDaemon(true);
        return t;
    });
    final LoopLag lag = new LoopLag();
    final Catalog catalog;
    final FlagFleet servers;
    final CounterStandIn counter;
    final Front front;
    final List<Agent> agents = new ArrayList<>();
    final List<Link> toCounter = new ArrayList<>();
    final List<Link> toDiscovery = new ArrayList<>();
    final List<Link> toFront = new ArrayList<>();
    private final List<Door> doors = new ArrayList<>();

    Parties(Plan plan, LabClock clock, AddressBlock addresses, Consumer<Seen> trace) throws IOException {
        Experiment e = plan.experiment();
        lag.watch(loops);
        lag.watch(frontLoops);
        long seed = plan.streams().of("parties").nextLong();
        catalog = new Catalog(e.discovery(), clock, timers, seed);
        Requests requests = new Requests();
        servers = new FlagFleet(plan, clock, loops, catalog, requests, addresses::server, trace);
        servers.start();
        counter = new CounterStandIn(e.counter(), clock, loops.next(), trace);
        List<InetSocketAddress> edges = new ArrayList<>();
        for (int i = 0; i < e.topology().edges(); i++) {
            int n = i;
            String zone = plan.zone(i);
            Agent agent = new Agent(n, clock, loops.next(),
                m -> AddressBlock.text(addresses.server(n, m.number())), trace);
            agents.add(agent);
            catalog.add(agent);
            toCounter.add(link(plan, "n" + n + " counter", zone, plan.zone(0)));
            toDiscovery.add(new Link(new Way(0, 0), new Way(0, 0)));
            double client = e.delays().client().at(plan.streams().of("delay n" + n + " front").nextDouble());
            toFront.add(new Link(new Way(client, e.delays().jitter()), new Way(client, e.delays().jitter())));
            doors.add(new Door(loops.next(), addresses.discovery(n), clock, toDiscovery.get(n), seed + n,
                agent::fit));
            doors.add(new Door(loops.next(), addresses.counter(n), clock, toCounter.get(n), seed - n,
                (channel, handler) -> counter.fit(n, channel, handler)));
            edges.add(addresses.edge(n));
        }
        for (Door d : doors) {
            d.open();
        }
        front = new Front(plan, clock, frontLoops, requests, edges, toFront, timers, trace);
    }

    private static Link link(Plan plan, String pair, String from, String to) {
        double delay = plan.delay(pair, from, to);
        double jitter = plan.experiment().delays().jitter();
        return new Link(new Way(delay, jitter), new Way(delay, jitter));
    }

    void stop() {
        front.end();
        timers.shutdownNow();
        servers.stop();
        doors.forEach(Door::close);
        frontLoops.shutdownGracefully(0, 500,
            java.util.concurrent.TimeUnit.MILLISECONDS).syncUninterruptibly();
        loops.shutdownGracefully(0, 500, java.util.concurrent.TimeUnit.MILLISECONDS).syncUninterruptibly();
    }
}
