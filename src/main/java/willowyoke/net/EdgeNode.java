package willowyoke.net;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelHandler;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.BulkStringHeaderRedisMessage;
import io.netty.handler.codec.redis.BulkStringRedisContent;
import io.netty.handler.codec.redis.ErrorRedisMessage;
import io.netty.handler.codec.redis.LastBulkStringRedisContent;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.collection.LongObjectHashMap;
import io.netty.util.concurrent.Future;
import io.netty.util.internal.PlatformDependent;
import java.io.IOException;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import willowyoke.Gateway;
import willowyoke.MemoryPolicy;
import willowyoke.net.Invariants.Invariant;

/**
 * An edge node on real sockets. It owns the clock, the timers and the table of pending requests, and connects
 * the clients, the flag servers, the counter and discovery to the decision module ({@link Gateway.Events}),
 * which takes every decision. Except for start, drain and reload, everything runs on one event loop thread,
 * the module included.
 */
public final class EdgeNode implements Gateway.Actions {
    /** Creates the decision module of a node. */
    public interface ModuleFactory {
        /** Starts a module, which takes its decisions by calling {@code actions}. */
        Gateway.Events start(Gateway.Settings settings, long seed, double nowMs, Gateway.Actions actions);
    }

    /** Subtracted from a client's timeout, so that an answer given at the very end still arrives in time. */
    private static final double ANSWER_MARGIN_MS = 10;
    /** How long after a request's timeout the module may still answer it before the node fails it. */
    private static final double MODULE_GRACE_MS = 8;
    /**
     * A delay of the event loop is likely to come back soon. The last delay, halved in each such time, is
     * therefore subtracted from clients' timeouts: requests are read, and answers written, that much later.
     */
    private static final double LOOP_DELAY_HALF_LIFE_MS = 250;
    /** The largest part of a timeout that is subtracted for loop delay, so that requests are still tried. */
    private static final double MAX_LOOP_DELAY_FRACTION = 0.25;
    /**
     * Shares of the configured number of file descriptors. The remainder is for files and the event loop, 27
     * without any connection, and for the connections to the counter and to discovery, which must still fit
     * with a limit of 256 when all the shares are used up.
     */
    private static final double CLIENT_SOCKET_FRACTION = 0.5;
    private static final double SERVER_SOCKET_FRACTION = 0.3;
    private static final double CONTROL_SOCKET_FRACTION = 0.04;
    /**
     * How often the detached servers that another process has noted are read. A detach has to take effect
     * within 1 s.
     */
    private static final double DETACHED_POLL_INTERVAL_MS = 200;
    /** A timer event on which the module threw an exception is repeated after this time. */
    private static final double TIMER_RETRY_DELAY_MS = 20;
    /** Errors beyond this number are not logged: a flood of them would only cost time. */
    private static final int MAX_LOGGED_ERRORS = 200;
    /** A streamed value, or output left at a connection's end, is given up without progress for this long. */
    static final double STALL_TIMEOUT_MS = 10_000;
    /** How long a long value is held for the requests behind it; a client gets its first bytes by then. */
    private static final double MAX_VALUE_HOLD_MS = 1000;
    /** How long before its request's deadline a long value that is held takes the place of the answer. */
    private static final double VALUE_COMMIT_MARGIN_MS = 20;
    /** How long after a failed bind the next one is tried, and for how long in all. */
    private static final long BIND_RETRY_DELAY_MS = 20;
    private static final long BIND_RETRY_TIME_MS = 20_000;
    /** How long after its timeout a client may still want its answer. */
    private static final double LATE_ANSWER_MS = 550;
    /** The longest timeout that a client may give; a request with a longer one is malformed. */
    private static final double MAX_CLIENT_TIMEOUT_MS = 3_600_000;

    /** Reads the configuration file again. */
    public interface ConfigReader {
        /** Returns the content of the file as it is now. */
        JsonNode read() throws IOException;
    }

    /** The configuration at the start. */
    private final Config initialConfig;
    /** The configuration after the last reload. */
    private Config currentConfig;
    private final ModuleFactory moduleFactory;
    private final PollTimes pollTimes = new PollTimes();
    private final EventLoopGroup eventLoopGroup = Transport.newEventLoopGroup(pollTimes);
    private final long startNanos = System.nanoTime();
    private final double startUnixMs;
    private final WallClock wallClock;
    private final LongObjectHashMap<PendingRequest> requests = new LongObjectHashMap<>();
    /** Channels written to since the last flush. */
    private final Set<Channel> channelsToFlush = new LinkedHashSet<>();
    private final ClientListener clientListener;
    private final ServerPool serverPool;
    private final CounterClient counterClient;
    private final DiscoveryClient discoveryClient;
    private final Metrics metrics = new Metrics();
    private final MemoryBudget memory;
    private final Invariants invariants = new Invariants(() -> eventLoopGroup.next().inEventLoop());
    private final DetachedServers detachedServers;
    private final Object reloadLock = new Object();
    /** Completes when the servers that the process before has detached are known. */
    private final CompletableFuture<Void> detachedServersKnown = new CompletableFuture<>();
    private final Drain drain;
    private Gateway.Events module;
    private long lastId;
    /** Requests that have no whole answer yet. */
    private int inFlight;
    private int loggedErrors;
    /** Delay of the event loop, and the time at which it was that. */
    private double lastLoopDelayMs;
    private double lastLoopDelayAtMs;
    private SocketAddress listenAddress;
    private SocketAddress controlAddress;
    private boolean listening;
    private boolean ending;
    /** Until when the requests of a node that ends have to be answered. */
    private double answerByMs = Double.MAX_VALUE;

    /** Creates a node that does nothing until it is started. */
    public EdgeNode(Config config, ModuleFactory moduleFactory) {
        this(config, moduleFactory, System::currentTimeMillis);
    }

    /** Creates a node with a wall clock, in ms of Unix time, that may step at any time. */
    EdgeNode(Config config, ModuleFactory moduleFactory, LongSupplier wallClockMs) {
        startUnixMs = wallClockMs.getAsLong();
        wallClock = new WallClock(wallClockMs, this::nowMs, this::wallClockStepped);
        long memoryBytes = (long) config.memoryMb() << 20;
        memory = new MemoryBudget(new MemoryPolicy(memoryBytes, PlatformDependent.maxDirectMemory()),
            this::nowMs);
        initialConfig = config;
        currentConfig = config;
        this.moduleFactory = moduleFactory;
        clientListener = new ClientListener(this, (int) (config.maxSockets() * CLIENT_SOCKET_FRACTION));
        drain = new Drain(this, clientListener, config.inheritsListener());
        serverPool = new ServerPool(this, eventLoopGroup, config,
            (int) (config.maxSockets() * SERVER_SOCKET_FRACTION));
        counterClient = new CounterClient(this, eventLoopGroup, config.counterAddress(),
            config.settings().allowed().counterTimeoutMs());
        discoveryClient = new DiscoveryClient(this, eventLoopGroup, config.discoveryAddresses(),
            config.seed());
        detachedServers = new DetachedServers(config.sharedDirectory());
        metrics.addClasses(config.settings().classes());
    }

    // ---- start, drain and reload ----

    /**
     * Starts the node. It listens only once discovery, the counter and the servers out by hand are known,
     * because a load balancer sends clients to any node that accepts connections; after readyTimeoutMs it
     * listens with what it has.
     * Returns false, without listening, when the node has already been told to end.
     */
    public boolean start(long readyTimeoutMs) throws IOException {
        CompletableFuture<Void> ready = new CompletableFuture<>();
        eventLoopGroup.execute(() -> {
            try {
                module = moduleFactory.start(initialConfig.settings(), initialConfig.seed(), nowMs(), this);
            } catch (RuntimeException e) {
                ready.completeExceptionally(e);
                return;
            }
            pollDetachedServers();
            discoveryClient.start(initialConfig.initialMembers());
            counterClient.start();
            serverPool.start();
            CompletableFuture.allOf(discoveryClient.ready(), counterClient.ready(), detachedServersKnown)
                .thenRun(() -> ready.complete(null));
        });
        try {
            ready.get(readyTimeoutMs, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            System.err.println("ready with what there is: discovery " + discoveryClient.ready().isDone()
                + ", counter " + counterClient.ready().isDone()
                + ", servers out by hand " + detachedServersKnown.isDone());
        } catch (java.util.concurrent.ExecutionException e) {
            throw new IOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
        if (!tryListen()) {
            return false;
        }
        boolean bound = false;
        try {
            bound = bindAll();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            if (!bound) {
                stopListening();
            }
        }
        return bound;
    }

    /** Listens for clients, then for operators; false where the node has been told to end meanwhile. */
    private boolean bindAll() throws IOException, InterruptedException {
        listenAddress = bindWithRetries(() -> clientListener.bind(eventLoopGroup,
            initialConfig.listenAddress(), initialConfig.inheritsListener()));
        if (listenAddress != null && initialConfig.controlAddress() != null) {
            int maxConnections = maxControlConnections(initialConfig.maxSockets());
            controlAddress = bindWithRetries(() ->
                new ControlListener(this, maxConnections, this::answerCommand)
                    .bind(eventLoopGroup, initialConfig.controlAddress()));
        }
        return listenAddress != null;
    }

    /** Binds a socket. */
    private interface Binding {
        SocketAddress bind() throws IOException, InterruptedException;
    }

    /**
     * Binds a socket; where that fails, tries again for a while, as the reason may be over in a moment. Null
     * where the node has been told to end.
     */
    private SocketAddress bindWithRetries(Binding binding) throws IOException, InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(BIND_RETRY_TIME_MS);
        while (!isEnding()) {
            try {
                return binding.bind();
            } catch (IOException | ChannelException e) {
                if (System.nanoTime() > endNanos) {
                    throw new IOException("cannot listen: " + e.getMessage(), e);
                }
                logError("cannot listen, trying again", e);
                Thread.sleep(BIND_RETRY_DELAY_MS);
            }
        }
        return null;
    }

    private static int maxControlConnections(int maxSockets) {
        return Math.max(8, (int) (maxSockets * CONTROL_SOCKET_FRACTION));
    }

    /** The largest number of connections of clients, flag servers and the control address together. */
    static int maxConnections(int maxSockets) {
        return ClientListener.maxIncludingClosing((int) (maxSockets * CLIENT_SOCKET_FRACTION))
            + (int) (maxSockets * SERVER_SOCKET_FRACTION) + maxControlConnections(maxSockets);
    }

    /** Notes that the node listens, so that an end has clients to answer first; false when it is ending. */
    private synchronized boolean tryListen() {
        listening = !ending;
        return listening;
    }

    private synchronized void stopListening() {
        listening = false;
    }

    private synchronized boolean isEnding() {
        return ending;
    }

    /** Notes that the node ends; true when it listens and has to be drained first. */
    private synchronized boolean beginEnding() {
        ending = true;
        return listening;
    }

    /** The address on which clients are accepted, or null before that. */
    SocketAddress listenAddress() {
        return listenAddress;
    }

    /** The address on which control commands are accepted, or null where there is none. */
    SocketAddress controlAddress() {
        return controlAddress;
    }

    /** Answers a command on the control address, which opens together with the one for clients. */
    private String answerCommand(String line) {
        return switch (line) {
            case "PING" -> ControlListener.YES;
            case "INFO" -> metrics.prometheusText(inFlight, serverPool.memberCount(),
                module.excludedServerCount(nowMs()), memory, invariants) + "EOT";
            default -> detachOrAttach(line);
        };
    }

    private String detachOrAttach(String line) {
        int space = line.indexOf(' ');
        String command = space < 0 ? line : line.substring(0, space);
        if (!command.equals("DETACH") && !command.equals("ATTACH")) {
            return ControlListener.NO + " unknown call";
        }
        String server = line.substring(command.length()).strip();
        if (!module.knowsServer(server) && !detachedServers.servers().contains(server)) {
            return ControlListener.NO + " unknown flag server";
        }
        try {
            if (command.equals("DETACH")) {
                detachedServers.add(server);
            } else {
                detachedServers.remove(server);
            }
        } catch (IOException e) {
            logError(command, e);
            return ControlListener.NO + " not kept for the next process";
        }
        announceDetachedServers();
        return ControlListener.YES;
    }

    /** Reads the servers that the previous process has detached, or that one running in parallel detaches. */
    private void pollDetachedServers() {
        schedule(DETACHED_POLL_INTERVAL_MS, this::pollDetachedServers);
        try {
            if (detachedServers.refresh()) {
                announceDetachedServers();
            }
            detachedServersKnown.complete(null);
        } catch (IOException e) {
            logError("servers out by hand", e);
        }
    }

    /** Tells the pool before the module, as for a draining server. */
    private void announceDetachedServers() {
        serverPool.setDetached(detachedServers.servers());
        notifyModule(m -> m.detachedServersChanged(nowMs(), detachedServers.servers()));
    }

    /** Handles SIGTERM: answers all accepted requests and then ends the node; returns when that is done. */
    public void drain() {
        if (!beginEnding()) {
            return;
        }
        double signalledAtMs = nowMs();
        eventLoopGroup.execute(() -> runGuarded(() ->
            drain.begin(signalledAtMs, DrainSchedule.of(currentConfig.settings()))));
        drain.awaitEnd();
        eventLoopGroup.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).awaitUninterruptibly(500);
    }

    /** Has all requests answered by a time: those that are open, and those that still come. */
    void answerAllBy(double answerByMs) {
        this.answerByMs = answerByMs;
        notifyModule(m -> m.drainStarted(nowMs(), answerByMs));
        for (PendingRequest request : requests.values().toArray(new PendingRequest[0])) {
            bringForward(request);
        }
    }

    /** Tells the module that another process takes over the clients. */
    void announceHandover() {
        notifyModule(m -> m.handoverStarted(nowMs()));
    }

    /** How many requests have no whole answer yet. */
    int openRequestCount() {
        return inFlight;
    }

    /** Has an open request answered before a node that ends may be killed. */
    private void bringForward(PendingRequest request) {
        if (request.isUnanswered() && request.deadlineMs > answerByMs) {
            request.deadlineMs = answerByMs;
            request.timeoutTimer.cancel(false);
            request.timeoutTimer = schedule(answerByMs - nowMs(), () -> clientTimeoutReached(request));
        }
    }

    /**
     * Handles SIGHUP: applies the settings and the addresses of discovery and the counter from the
     * configuration file; the rest cannot change. A file that is incomplete or malformed is rejected as a
     * whole. It is read in the calling thread, because another file may soon replace it. Each signal has a
     * thread of its own, so one file is read and handed over after the other.
     */
    public void reload(ConfigReader reader) {
        synchronized (reloadLock) {
            JsonNode json;
            try {
                json = reader.read();
            } catch (IOException e) {
                logError("configuration", e);
                json = MissingNode.getInstance();
            }
            scheduleReload(json);
        }
    }

    private void scheduleReload(JsonNode changed) {
        eventLoopGroup.execute(() -> runGuarded(() -> {
            try {
                applyConfig(currentConfig.reloaded(changed));
            } catch (IllegalArgumentException bad) {
                metrics.countReload(false);
                System.err.println("configuration, kept as it was: " + bad.getMessage());
            }
        }));
    }

    private void applyConfig(Config changed) {
        currentConfig = changed;
        discoveryClient.changeAddresses(changed.discoveryAddresses());
        counterClient.changeAddress(changed.counterAddress());
        metrics.addClasses(changed.settings().classes());
        metrics.countReload(true);
        notifyModule(m -> m.settingsChanged(nowMs(), changed.settings()));
    }

    /**
     * The module's clock: a monotonic clock in milliseconds, set to Unix time once, so that the module's
     * counter names, which contain the time, are the same on all edge nodes.
     */
    double nowMs() {
        return startUnixMs + (System.nanoTime() - startNanos) / 1e6;
    }

    private void wallClockStepped() {
        System.err.println("the wall clock has stepped; it shows " + Math.round(wallClock.offsetMs())
            + " ms more than this node's clock");
        notifyModule(m -> m.wallClockStepped(nowMs(), wallClock.offsetMs()));
    }

    /** The wall clock, by which others tell times. */
    WallClock wallClock() {
        return wallClock;
    }

    /** Runs a task on the event loop after a delay; logs what it throws. */
    Future<?> schedule(double delayMs, Runnable task) {
        long delayNanos = Math.max(0, Math.round(delayMs * 1e6));
        double dueMs = nowMs() + delayNanos / 1e6;
        return eventLoopGroup.schedule(() -> {
            pollTimes.noteWork();
            double nowMs = nowMs();
            invariants.check(Invariant.FLUSHED_OUTPUT, channelsToFlush.isEmpty(),
                () -> channelsToFlush.size() + " connections with unflushed output");
            lastLoopDelayMs = Math.max(loopDelayMs(nowMs), nowMs - dueMs);
            lastLoopDelayAtMs = nowMs;
            runGuarded(task);
        }, delayNanos, TimeUnit.NANOSECONDS);
    }

    /** How long what is being read now may have waited in its socket, in ms. */
    double unreadMs() {
        return pollTimes.unreadMs();
    }

    /** Whether what the last poll has found may be out of date. */
    boolean isPollOld() {
        return pollTimes.isPollOld();
    }

    /** A handler that belongs in front of all others in each pipeline. */
    ChannelHandler workHandler() {
        return pollTimes.handler();
    }

    /** Estimated delay of the event loop, by how late its timers ran: 0 while it keeps up. */
    private double loopDelayMs(double nowMs) {
        return lastLoopDelayMs * Math.pow(0.5, (nowMs - lastLoopDelayAtMs) / LOOP_DELAY_HALF_LIFE_MS);
    }

    /**
     * Runs a task on the event loop after the current event. An outcome is reported this way, after the
     * action that led to it has returned, as the simulator does.
     */
    void runLater(Runnable task) {
        eventLoopGroup.execute(() -> runGuarded(task));
    }

    /** Runs a task once the sockets have been polled again: a timer due at once runs in the next cycle. */
    void runAfterNextPoll(Runnable task) {
        eventLoopGroup.execute(() -> schedule(0, task));
    }

    /** Runs a task, logs what it throws, and flushes what it wrote. */
    private void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            logError("event", e);
        }
        flushChannels();
    }

    /** Calls the module; an exception in it is logged and does not reach the event loop. False then. */
    private boolean notifyModule(Consumer<Gateway.Events> event) {
        invariants.checkEventLoop("an event of the module");
        try {
            event.accept(module);
            return true;
        } catch (RuntimeException | Error e) {
            logError("module", e);
            return false;
        }
    }

    /** Logs an error with its source, up to MAX_LOGGED_ERRORS of them. */
    void logError(String source, Throwable error) {
        if (++loggedErrors > MAX_LOGGED_ERRORS) {
            return;
        }
        StackTraceElement[] trace = error.getStackTrace();
        System.err.println(source + ": " + error + (trace.length > 0 ? " at " + trace[0] : ""));
    }

    /** Has the channel flushed at the end of the current event. */
    void flushLater(Channel channel) {
        invariants.checkEventLoop("flushLater");
        channelsToFlush.add(channel);
    }

    /** Flushes all channels written to since the last call. */
    void flushChannels() {
        invariants.checkEventLoop("flushChannels");
        if (!channelsToFlush.isEmpty()) {
            Channel[] channels = channelsToFlush.toArray(new Channel[0]);
            channelsToFlush.clear();
            for (Channel channel : channels) {
                channel.flush();
            }
        }
    }

    /** Counts a message of a flag server that no request has asked for. */
    void countSurplusAnswer() {
        metrics.countSurplusAnswer();
    }

    /** Counts a client's connection that this node ends. */
    void countClientEnd(ClientConnection.EndReason reason) {
        metrics.countClientEnd(reason, pollTimes.pollAgeMs());
    }

    /** Counts an end of a client's connection that is put off, as a command has come since the last poll. */
    void countClientEndPutOff() {
        metrics.countClientEndPutOff();
    }

    /** Counts commands that were lost behind a value that broke when the client had a part of it. */
    void countCommandsBehindBrokenValue(int count) {
        metrics.countCommandsBehindBrokenValue(count);
    }

    /** Counts bytes that a client has sent behind the end of its connection. */
    void countBytesBehindEnd(int bytes) {
        metrics.countBytesBehindEnd(bytes);
    }

    /** Counts a system call that failed for a reason of this machine. */
    void countLocalFailure(String call) {
        metrics.countLocalFailure(call);
    }

    /** The event loop on which all state of this node is used. */
    EventLoopGroup eventLoopGroup() {
        return eventLoopGroup;
    }

    /** The run-time checks of this node. */
    Invariants invariants() {
        return invariants;
    }

    /** What the connections of this node hold in memory. */
    MemoryBudget memory() {
        return memory;
    }

    /** Counts the requests in flight, and the memory in use, again. */
    void checkCounts() {
        memory.check(invariants);
        int unanswered = 0;
        for (PendingRequest request : requests.values()) {
            unanswered += request.finished ? 0 : 1;
        }
        int counted = unanswered;
        invariants.check(Invariant.OPEN_REQUESTS, counted == inFlight,
            () -> inFlight + " requests in flight, and " + counted + " without an answer");
    }

    // ---- requests of clients ----

    /**
     * Accepts a request; returns what is wrong with a malformed one, else null.
     *
     * @param unreadMs how long it may have waited until it was read, which is a part of its time
     */
    String acceptRequest(AnswerSlot slot, ArrayRedisMessage command, double unreadMs) {
        double nowMs = nowMs();
        CallCommand call;
        try {
            call = CallCommand.parse(command);
        } catch (IllegalArgumentException e) {
            return e.getMessage();
        }
        if (!(call.timeoutMs() > 0 && call.timeoutMs() <= MAX_CLIENT_TIMEOUT_MS)) {
            return "d is out of range";
        }
        double expectedDelayMs = Math.min(loopDelayMs(nowMs), MAX_LOOP_DELAY_FRACTION * call.timeoutMs());
        double leftMs = call.timeoutMs() - ANSWER_MARGIN_MS - Math.max(unreadMs, expectedDelayMs);
        double timeoutMs = Math.max(1, Math.min(leftMs, answerByMs - nowMs));
        int heldBytes = Math.max(MemoryPolicy.MIN_REQUEST_BYTES, CallCommand.capacity(command));
        if (!slot.memory().requests().reserve(heldBytes)) {
            return refuseRequest(slot, command);
        }
        PendingRequest request = new PendingRequest(++lastId, slot, command, call,
            requestClass(call.requestClass()), nowMs + timeoutMs,
            currentConfig.settings().allowed().maxAttempts(), heldBytes);
        slot.request = request;
        slot.setWantedUntil(nowMs + call.timeoutMs() + LATE_ANSWER_MS);
        trace(request, "accepted", call.requestClass());
        inFlight++;
        requests.put(request.id, request);
        request.timeoutTimer = schedule(timeoutMs + 1, () -> clientTimeoutReached(request));
        if (!notifyModule(m -> m.requestArrived(nowMs,
            new Gateway.Request(request.id, call.requestClass(), call.plan(), call.customer(), timeoutMs,
                call.units(), call.customerGatewayCount(), call.firstGateway(), call.clientRetry(),
                slot.connectionId())))) {
            failUnanswered(request);
        }
        return null;
    }

    /** Refuses a request unheard; returns what is wrong with a malformed one, else null. */
    String refuseRequest(AnswerSlot slot, ArrayRedisMessage command) {
        try {
            metrics.countRefused(CallCommand.parse(command).requestClass());
        } catch (IllegalArgumentException e) {
            return e.getMessage();
        }
        slot.answer(ClientConnection.BUSY_ANSWER);
        return null;
    }

    private Gateway.RequestClass requestClass(String name) {
        for (Gateway.RequestClass requestClass : currentConfig.settings().classes()) {
            if (requestClass.name().equals(name)) {
                return requestClass;
            }
        }
        return null;
    }

    /** Writes a step of a request to the trace, where that is on. */
    void trace(PendingRequest request, String event, Object detail) {
        if (RequestTrace.ENABLED) {
            RequestTrace.log(nowMs(), request.call.requestId(), event, detail);
        }
    }

    /** Times out all attempts except one that is streaming; the module may then still answer the request. */
    private void clientTimeoutReached(PendingRequest request) {
        for (ServerPool.Attempt attempt : request.attempts.toArray(new ServerPool.Attempt[0])) {
            if (attempt != request.streamingAttempt) {
                serverPool.abandon(attempt, Gateway.Outcome.TIMEOUT);
            }
        }
        if (request.streamingAttempt != null) {
            request.lastProgressAtMs = Math.max(request.lastProgressAtMs, nowMs());
            checkStreamProgress(request);
        } else if (!request.finished) {
            request.timeoutTimer = schedule(MODULE_GRACE_MS, () -> failUnanswered(request));
        }
    }

    /** Fails a request that the module left unanswered or threw on, so that each request gets one answer. */
    private void failUnanswered(PendingRequest request) {
        if (isUnanswered(request)) {
            answerFailed(request);
            notifyModule(m -> m.requestCancelled(nowMs(), request.id));
        }
    }

    /** Cancels a request whose client has closed its connection. */
    void clientDisconnected(PendingRequest request) {
        if (!request.finished) {
            trace(request, "client gone", "");
            finish(request);
            notifyModule(m -> m.requestCancelled(nowMs(), request.id));
            if (request.streamingAttempt != null) {
                serverPool.abandon(request.streamingAttempt, Gateway.Outcome.CANCELLED);
            }
            releaseIfDone(request);
        }
    }

    // ---- streamed values ----

    /**
     * Begins to receive the long value of an attempt. Returns false when the request has an answer or
     * receives another one.
     */
    boolean beginLongValue(ServerPool.Attempt attempt, BulkStringHeaderRedisMessage header,
        FlowControl source) {
        PendingRequest request = attempt.request;
        if (request.finished || request.longValueAttempt != null) {
            return false;
        }
        request.longValueAttempt = attempt;
        attempt.firstByteAtMs = nowMs();
        request.lastProgressAtMs = attempt.firstByteAtMs;
        request.slot.beginLongValue(header, source, () -> streamingStarted(attempt));
        schedule(Math.min(MAX_VALUE_HOLD_MS, heldUntilMs(request) - attempt.firstByteAtMs),
            () -> streamHeldValue(attempt));
        return true;
    }

    /** Until when a long value may wait for its turn: then its request would be answered otherwise. */
    private static double heldUntilMs(PendingRequest request) {
        return request.deadlineMs - VALUE_COMMIT_MARGIN_MS;
    }

    /** Decides for a long value that is still held, as its server is slow or it is not its turn. */
    private void streamHeldValue(ServerPool.Attempt attempt) {
        PendingRequest request = attempt.request;
        if (request.finished || request.longValueAttempt != attempt || request.streamingAttempt != null) {
            return;
        }
        double leftMs = heldUntilMs(request) - nowMs();
        if (leftMs > 0 && !request.slot.isItsTurn()) {
            schedule(leftMs, () -> streamHeldValue(attempt));
        } else {
            request.slot.streamLongValue();
        }
    }

    /** Notes that the client gets a part of a value, and so no other answer from then on. */
    private void streamingStarted(ServerPool.Attempt attempt) {
        PendingRequest request = attempt.request;
        request.streamingAttempt = attempt;
        notifyModule(m -> m.responseStarted(nowMs(), request.id, attempt.number));
    }

    /** Passes on or holds the next chunk of a long value. */
    void longValueChunk(ServerPool.Attempt attempt, BulkStringRedisContent chunk) {
        PendingRequest request = attempt.request;
        request.lastProgressAtMs = nowMs();
        if (request.finished) {
            ReferenceCountUtil.release(chunk); // it has another answer, or its client has gone
            return;
        }
        boolean last = chunk instanceof LastBulkStringRedisContent;
        request.slot.addChunk(chunk);
        if (last) {
            finish(request);
            metrics.countServed(request.call.requestClass());
        }
    }

    /** Gives up a streamed value that makes no progress. It may run past the client's timeout otherwise. */
    private void checkStreamProgress(PendingRequest request) {
        if (!request.slot.isItsTurn()) {
            request.lastProgressAtMs = nowMs(); // its server is not read
        }
        if (nowMs() - request.lastProgressAtMs > STALL_TIMEOUT_MS) {
            serverPool.abandon(request.streamingAttempt, Gateway.Outcome.TIMEOUT);
        } else {
            request.timeoutTimer = schedule(STALL_TIMEOUT_MS / 4, () -> checkStreamProgress(request));
        }
    }

    /** Shows the client that the rest of a streamed value will not come. */
    private void abortStream(PendingRequest request) {
        finish(request);
        metrics.countFailed(request.call.requestClass());
        request.slot.abortStream();
    }

    private void answer(PendingRequest request, RedisMessage message) {
        finish(request);
        request.slot.answer(message);
        releaseIfDone(request);
    }

    /** Whether the request exists and no part of an answer has been written. */
    private static boolean isUnanswered(PendingRequest request) {
        return request != null && request.isUnanswered();
    }

    private void answerFailed(PendingRequest request) {
        trace(request, "failed", "");
        metrics.countFailed(request.call.requestClass());
        answer(request, new ErrorRedisMessage("ERR failed"));
    }

    /**
     * Marks a request as finished. Attempts that are not sent whole are withdrawn even where the settings do
     * not allow cancelling, as their servers have not begun to work.
     */
    private void finish(PendingRequest request) {
        invariants.check(Invariant.SINGLE_ANSWER, !request.finished,
            () -> "request " + request.call.requestId() + " ends a second time");
        request.finished = true;
        inFlight--;
        request.slot.request = null;
        for (ServerPool.Attempt attempt : request.attempts) {
            if (attempt.isUnsent()) {
                runLater(() -> serverPool.abandonUnsent(attempt));
            }
        }
        if (request.attemptsInFlight == 0) {
            request.timeoutTimer.cancel(false);
        }
    }

    /** Releases a request that is finished and has no attempts in flight. */
    private void releaseIfDone(PendingRequest request) {
        if (request.finished && request.attemptsInFlight == 0 && requests.remove(request.id) != null) {
            request.timeoutTimer.cancel(false);
            request.release();
        }
    }

    // ---- events of servers, counter and discovery ----

    /** Answers the request of a successful attempt, and tells the module of the attempt's end. */
    void attemptEnded(ServerPool.Attempt attempt, Gateway.Outcome outcome, RedisMessage value,
        double[] load) {
        PendingRequest request = attempt.request;
        trace(request, "attempt " + attempt.number + " ended", outcome);
        request.attemptsInFlight--;
        double nowMs = nowMs();
        if (outcome == Gateway.Outcome.OK && isUnanswered(request)) {
            finish(request);
            if (request.slot.answer(ReferenceCountUtil.retain(value))) {
                metrics.countServed(request.call.requestClass());
            } else {
                metrics.countFailed(request.call.requestClass());
            }
        }
        if (attempt == request.streamingAttempt && !request.finished) {
            abortStream(request);
        } else if (attempt == request.longValueAttempt && !request.finished) {
            request.longValueAttempt = null;
            request.slot.dropLongValue();
        }
        double durationMs = (attempt.firstByteAtMs > 0 ? attempt.firstByteAtMs : nowMs) - attempt.startedAtMs;
        boolean notified = notifyModule(m -> m.attemptEnded(nowMs, request.id, attempt.number, outcome,
            durationMs, request.finished, 0, load));
        if (!notified) {
            failUnanswered(request);
        }
        releaseIfDone(request);
    }

    /** Counts an attempt whose command has been written whole. */
    void attemptWritten() {
        metrics.countAttempt();
    }

    /** Tells the module of the end of a probe. */
    void probeEnded(String server, Gateway.Outcome outcome, double durationMs, double[] load) {
        notifyModule(m -> m.probeEnded(nowMs(), server, outcome, durationMs, load));
    }

    /** Tells the module of the end of a call to the counter. */
    void counterCallEnded(long counterId, Gateway.Outcome outcome, double durationMs, double total) {
        notifyModule(m -> m.counterCallEnded(nowMs(), counterId, outcome, durationMs, total));
    }

    /**
     * Applies a list of flag servers, or changes to it. The pool is told before the module, so that no
     * attempt that waits for a connection goes to a server that drains by now. Returns false, with nothing
     * applied, when the module rejects a complete list.
     */
    boolean applyServerList(List<DiscoveryClient.Member> members, boolean complete,
        Gateway.ListSource source) {
        List<Gateway.Server> servers = new ArrayList<>(members.size());
        for (DiscoveryClient.Member member : members) {
            servers.add(member.server());
        }
        if (complete && !module.acceptsServerList(nowMs(), servers, source)) {
            return false;
        }
        serverPool.updateMembers(members, complete);
        notifyModule(m -> m.serverListUpdated(nowMs(), servers, complete));
        return true;
    }

    /** Tells the module that a call to discovery failed or its watch ended. */
    void discoveryFailed() {
        notifyModule(m -> m.discoveryFailed(nowMs()));
    }

    // ---- actions of the module ----

    @Override public void send(long id, String server, double giveUpAtMs, double writeByMs) {
        PendingRequest request = requests.get(id);
        if (request == null) {
            return;
        }
        ServerPool.Attempt attempt = new ServerPool.Attempt(request, request.attempts.size(), server, nowMs(),
            writeByMs);
        request.attempts.add(attempt);
        request.attemptsInFlight++;
        trace(request, "attempt " + attempt.number + " decided", server);
        if (request.finished || attempt.startedAtMs >= request.deadlineMs
            || attempt.number >= request.maxAttempts) {
            attempt.state = ServerPool.AttemptState.ENDED;
            runLater(() -> attemptEnded(attempt, Gateway.Outcome.NOT_SENT, null, LoadReport.NONE));
            return;
        }
        if (giveUpAtMs > 0 && giveUpAtMs < request.deadlineMs) {
            schedule(giveUpAtMs - attempt.startedAtMs,
                () -> serverPool.abandon(attempt, Gateway.Outcome.TIMEOUT));
        }
        serverPool.send(attempt);
    }

    @Override public void cancel(long id, int attemptNumber) {
        PendingRequest request = requests.get(id);
        if (request != null && attemptNumber >= 0 && attemptNumber < request.attempts.size()) {
            ServerPool.Attempt attempt = request.attempts.get(attemptNumber);
            runLater(() -> serverPool.abandon(attempt, Gateway.Outcome.CANCELLED));
        }
    }

    @Override public void refuse(long id, double retryAfterMs) {
        PendingRequest request = requests.get(id);
        if (isUnanswered(request)) {
            trace(request, "refused", retryAfterMs);
            metrics.countRefused(request.call.requestClass());
            answer(request,
                new ErrorRedisMessage(retryAfterMs > 0 ? "BUSY " + Math.round(retryAfterMs) : "BUSY"));
        }
    }

    @Override public void fail(long id) {
        PendingRequest request = requests.get(id);
        if (isUnanswered(request)) {
            answerFailed(request);
        }
    }

    @Override public void setTimer(double delayMs, long token) {
        double dueMs = nowMs() + delayMs;
        schedule(delayMs, () -> {
            // The module has one timer for everything: if an exception lost it, nothing would fall due again.
            if (!notifyModule(m -> m.timerFired(Math.max(nowMs(), dueMs), token))) {
                setTimer(TIMER_RETRY_DELAY_MS, token);
            }
        });
    }

    @Override public void probe(String server) {
        serverPool.probe(server);
    }

    @Override public void addToCounter(long counterId, double amount, double timeToLiveMs) {
        counterClient.add(counterId, amount, timeToLiveMs);
    }

    @Override public void subscribe() {
        discoveryClient.ensureWatching();
    }
}
