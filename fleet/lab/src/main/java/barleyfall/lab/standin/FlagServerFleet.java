package barleyfall.lab.standin;

import barleyfall.lab.experiment.Experiment;
import barleyfall.lab.net.LabClock;
import barleyfall.lab.net.Link;
import barleyfall.lab.net.LinkListener;
import barleyfall.lab.net.OneWayLink;
import barleyfall.lab.plan.Machine;
import barleyfall.lab.plan.Plan;
import barleyfall.lab.seen.Event;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiFunction;
import java.util.function.Consumer;

/**
 * All flag servers of a run, each with a listener and a link for every edge node, and the faults that can be
 * injected into them. Must not be called on an event loop.
 */
public final class FlagServerFleet {
    /** A machine with the server on it. */
    private static final class ServerHost {
        final FlagServer server;
        final List<LinkListener> listeners = new ArrayList<>();
        final List<Link> links = new ArrayList<>();
        /** The machine has vanished from the network. */
        volatile boolean silent;

        ServerHost(FlagServer server) {
            this.server = server;
        }

        boolean isRunning() {
            return !silent && server.isUp();
        }
    }

    private final Plan plan;
    private final LabClock clock;
    private final EventLoopGroup loops;
    private final FlagServerRegistry registry;
    private final RequestLog requests;
    private final BiFunction<Integer, Integer, InetSocketAddress> addresses;
    private final Consumer<Event> trace;
    private final List<ServerHost> hosts = new CopyOnWriteArrayList<>();
    private final Map<String, Integer> numberById = new ConcurrentHashMap<>();

    /**
     * Creates an empty fleet.
     *
     * @param addresses returns the address at which an edge node (first) finds a machine (second)
     */
    public FlagServerFleet(Plan plan, LabClock clock, EventLoopGroup loops, FlagServerRegistry registry,
        RequestLog requests, BiFunction<Integer, Integer, InetSocketAddress> addresses,
        Consumer<Event> trace) {
        this.plan = plan;
        this.clock = clock;
        this.loops = loops;
        this.registry = registry;
        this.requests = requests;
        this.addresses = addresses;
        this.trace = trace;
    }

    /** Starts and registers the initial fleet, which is warm. */
    public void start() throws IOException {
        for (int i = 0; i < plan.experiment().topology().servers(); i++) {
            ServerHost host = add(plan.zone(i));
            runOnLoop(host, () -> host.server.start(false));
            registry.registerInitial(host.server.machine(), host::isRunning);
            openListeners(host);
        }
    }

    /** Adds a machine. Synchronized, as its number is its index in the list and determines its address. */
    private synchronized ServerHost add(String zone) {
        Experiment experiment = plan.experiment();
        int number = hosts.size();
        Machine machine = plan.machine(number, zone);
        ServerHost host = new ServerHost(
            new FlagServer(machine, experiment, clock, loops.next(), requests, trace));
        for (int edge = 0; edge < experiment.topology().edges(); edge++) {
            int edgeNumber = edge;
            double delayMs = plan.delayMs("n" + edge + " s" + number, plan.zone(edge), zone);
            Link link = new Link(new OneWayLink(delayMs, experiment.delays().jitterFraction()),
                new OneWayLink(delayMs, experiment.delays().jitterFraction()));
            host.links.add(link);
            host.listeners.add(new LinkListener(host.server.loop(), addresses.apply(edge, number), clock,
                link, machine.noiseSeed() + edge, (channel, handler) -> channel.pipeline().addLast(
                    new FlagServerConnection(host.server, edgeNumber, handler,
                        experiment.servers().idleTimeoutMs()))));
        }
        host.server.onOverloadCrash(() -> closeListenersInBackground(host));
        numberById.put(machine.id(), number);
        hosts.add(host);
        return host;
    }

    /** Opens the listeners of a machine for all edge nodes. */
    private static void openListeners(ServerHost host) throws IOException {
        for (LinkListener listener : host.listeners) {
            listener.open();
        }
    }

    /** Closes the listeners of a machine on a thread of its own. */
    private static void closeListenersInBackground(ServerHost host) {
        // a listener waits for its event loop to close it, so this cannot run on that loop
        Thread closer = new Thread(() -> host.listeners.forEach(LinkListener::close),
            "listeners of " + host.server.machine().id());
        closer.setDaemon(true);
        closer.start();
    }

    /** Runs an action on the server's event loop and waits for it. */
    private static void runOnLoop(ServerHost host, Runnable action) {
        host.server.loop().submit(action).syncUninterruptibly();
    }

    /** Returns the number of machines, including those that were replaced. */
    public int size() {
        return hosts.size();
    }

    /** Returns a machine. */
    public Machine machine(int number) {
        return hosts.get(number).server.machine();
    }

    /** Returns the number of the machine with an id, or null. */
    public Integer numberOf(String id) {
        return numberById.get(id);
    }

    /** Returns the link between an edge node and a machine. */
    public Link link(int edge, int number) {
        return hosts.get(number).links.get(edge);
    }

    // ---- faults and deploys ----

    /**
     * Crashes the process: its connections are reset and new ones refused; the registry learns of it later.
     */
    public void crash(int number) {
        ServerHost host = hosts.get(number);
        runOnLoop(host, () -> host.server.stop("crash"));
        host.listeners.forEach(LinkListener::close);
        expireUnlessBack(host);
    }

    /** Reports to the registry that the server died without deregistering. */
    private void expireUnlessBack(ServerHost host) {
        registry.expireUnlessBack(host.server.machine(), host::isRunning);
    }

    /** Takes the machine off the network: open connections stay open but silent, new ones get no answer. */
    public void silence(int number) {
        ServerHost host = hosts.get(number);
        host.silent = true;
        runOnLoop(host, () -> host.server.stop("silent"));
        host.links.forEach(link -> link.setCut(true, true, true));
        expireUnlessBack(host);
    }

    /** Starts a server again after a crash or a silence. It is cold and is registered a little later. */
    public void restart(int number) throws IOException {
        ServerHost host = hosts.get(number);
        if (host.silent) {
            host.links.forEach(Link::reset);
            host.links.forEach(link -> link.setCut(false, true, true));
            host.silent = false;
        }
        runOnLoop(host, () -> host.server.start(true));
        double bornMs = clock.nowMs();
        for (LinkListener listener : host.listeners) {
            listener.reopen();
        }
        registry.registerStarted(host.server.machine(), bornMs, host::isRunning);
    }

    /** Makes a server slower by a factor; 1 is its normal speed. */
    public void setSlowdown(int number, double factor) {
        ServerHost host = hosts.get(number);
        runOnLoop(host, () -> host.server.setSlowdown(factor));
    }

    /** Marks a server as draining. It still serves what is sent to it, until it is replaced. */
    public void drain(int number) {
        registry.markDraining(machine(number));
    }

    /** Ends a drained server for good. */
    public void retire(int number) {
        ServerHost host = hosts.get(number);
        runOnLoop(host, () -> host.server.stop("replaced"));
        host.listeners.forEach(LinkListener::close);
        registry.deregister(host.server.machine());
    }

    /** Starts a new, cold machine in the zone of a replaced one; returns its number. */
    public int startSuccessor(int number) throws IOException {
        ServerHost host = add(machine(number).zone());
        runOnLoop(host, () -> host.server.start(true));
        double bornMs = clock.nowMs();
        openListeners(host);
        registry.registerStarted(host.server.machine(), bornMs, host::isRunning);
        return hosts.indexOf(host);
    }

    /** Restarts a server that was detached by hand; the machine stays the same, the server is cold. */
    public void restartByHand(int number) throws IOException {
        ServerHost host = hosts.get(number);
        runOnLoop(host, () -> host.server.stop("crash"));
        restart(number);
    }

    /** Stops all servers and closes their listeners. */
    public void stop() {
        hosts.forEach(host -> {
            runOnLoop(host, () -> host.server.stop("end"));
            host.listeners.forEach(LinkListener::close);
        });
    }
}
