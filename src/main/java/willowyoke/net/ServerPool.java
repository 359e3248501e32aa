package willowyoke.net;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.BulkStringHeaderRedisMessage;
import io.netty.handler.codec.redis.BulkStringRedisContent;
import io.netty.handler.codec.redis.ErrorRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import willowyoke.Gateway;
import willowyoke.MemoryPolicy.Use;
import willowyoke.net.Invariants.Invariant;

/**
 * The connections to the flag servers, with the attempts and probes on them. A connection carries one request
 * at a time: answers come in the order of the requests, so a slow one would hold up those behind it, and
 * closing the connection to abandon one attempt would end them all.
 */
final class ServerPool {
    /**
     * The part of the servers' idle timeout after which an idle connection is closed. A request that is sent
     * while the server closes the connection would be reset.
     */
    private static final double IDLE_RETIREMENT_FRACTION = 0.4;
    private static final double IDLE_CHECK_INTERVAL_MS = 500;
    /** How long after a connect that failed on this machine the next one is made. */
    private static final double LOCAL_RETRY_DELAY_MS = 10;
    /**
     * How long a connection rests after an answer. A second answer that comes late would be taken for that of
     * the next request; on a connection at rest it is known for what it is.
     */
    private static final double REST_MS = 20;
    /** The same at a server that has lately sent a message more than was asked for, and for how long. */
    static final double SUSPECT_REST_MS = 50;
    private static final double SUSPECT_MS = 10_000;
    private static final double PROBE_TIMEOUT_MS = 250;
    /** How long a node may be held up between reading its clock and writing. */
    private static final double MAX_HOLD_UP_MS = 150;
    private static final int MAX_ARRAY_ELEMENTS = 16;
    /** With the socket's buffer, bounds what is read ahead of a long value while its client reads slowly. */
    private static final int MAX_READ_BYTES = 16 * 1024;
    private static final int RECEIVE_BUFFER_BYTES = 128 * 1024;
    /** How far an attempt has come: no byte is written, some may be, all bytes are, or it has ended. */
    enum AttemptState { WAITING, WRITING, WRITTEN, ENDED }

    /** An attempt of a request, or a probe, which has no request. */
    static class Attempt {
        final PendingRequest request;
        final int number;
        final String server;
        final double startedAtMs;
        /** The attempt is not written after this time, as the decision to send it then no longer holds. */
        final double writeByMs;
        AttemptState state = AttemptState.WAITING;
        /** How it has ended; null before that. */
        private Gateway.Outcome outcome;
        /** When it was written whole; 0 before that. */
        private double writtenAtMs;
        /** When the first bytes of a long value came; 0 for all others. */
        double firstByteAtMs;
        /** Null while the attempt waits for a connection. */
        private ServerConnection connection;

        Attempt(PendingRequest request, int number, String server, double startedAtMs,
            double writeByMs) {
            this.request = request;
            this.number = number;
            this.server = server;
            this.startedAtMs = startedAtMs;
            this.writeByMs = writeByMs;
        }

        /** Whether its client still waits for it, and both deadlines are ahead. */
        private boolean isWorthWriting(double nowMs) {
            return request == null
                || !request.finished && nowMs < Math.min(writeByMs, request.deadlineMs);
        }

        /** Whether its server may have run it, as far as it has got now. */
        private boolean mayHaveRun() {
            return writtenAtMs > 0 && (outcome == null || !outcome.neverRan);
        }

        /** Whether it is not written whole yet: the server cannot have run it then. */
        boolean isUnsent() {
            return state == AttemptState.WAITING || state == AttemptState.WRITING;
        }
    }

    /** A listed server at one address, with its connections. */
    private static final class Endpoint {
        final InetSocketAddress address;
        /** Connections without an attempt, the one that has been idle longest first. */
        final ArrayDeque<ServerConnection> idleConnections = new ArrayDeque<>();
        final Set<ServerConnection> connections = new LinkedHashSet<>();
        /** Attempts that wait for a connection, oldest first. */
        final ArrayDeque<Attempt> waitingAttempts = new ArrayDeque<>();
        int connectingCount;
        boolean listedUp;
        /** Whether the list has it up and it is not detached: only then it gets attempts. */
        boolean usable;
        /** Until when its connections rest for longer after an answer. */
        double suspectUntilMs;

        Endpoint(InetSocketAddress address) {
            this.address = address;
        }

        /** How long its connections rest after an answer. */
        double restMs(double nowMs) {
            return nowMs < suspectUntilMs ? SUSPECT_REST_MS : REST_MS;
        }

        /** Takes the idle connection that was used last among those that have rested; null where none has. */
        ServerConnection takeRested(double nowMs) {
            double answeredBeforeMs = nowMs - restMs(nowMs);
            Iterator<ServerConnection> newestFirst = idleConnections.descendingIterator();
            while (newestFirst.hasNext()) {
                ServerConnection connection = newestFirst.next();
                if (connection.answeredAtMs <= answeredBeforeMs) {
                    newestFirst.remove();
                    return connection;
                }
            }
            return null;
        }
    }

    private final EdgeNode node;
    private final Connector connector;
    private final Config config;
    private final int maxConnections;
    private final Map<String, Endpoint> endpoints = new HashMap<>();
    /** Connections whose attempt is written after the next poll of the event loop. */
    private final ArrayDeque<ServerConnection> writeQueue = new ArrayDeque<>();
    private Set<String> detachedServers = Set.of();
    /** How many connections are open or being opened. */
    private int connectionCount;

    /** Holds at most the given number of connections to all servers together. */
    ServerPool(EdgeNode node, EventLoopGroup group, Config config, int maxConnections) {
        this.node = node;
        this.config = config;
        this.maxConnections = maxConnections;
        connector = new Connector(group, (int) config.connectTimeoutMs())
            .option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            .option(ChannelOption.RECVBUF_ALLOCATOR,
                new AdaptiveRecvByteBufAllocator(512, 2048, MAX_READ_BYTES));
    }

    // ---- list of servers ----

    /** Takes the list of servers, or the changed members only where it is not complete. */
    void updateMembers(List<DiscoveryClient.Member> members, boolean complete) {
        if (complete) {
            Set<String> listedIds = new HashSet<>();
            members.forEach(member -> listedIds.add(member.server().id()));
            for (String id : endpoints.keySet().toArray(new String[0])) {
                if (!listedIds.contains(id)) {
                    stopUsing(endpoints.remove(id));
                }
            }
        }
        for (DiscoveryClient.Member member : members) {
            String id = member.server().id();
            Endpoint known = endpoints.get(id);
            if (member.server().state() == Gateway.ServerState.GONE) {
                stopUsing(endpoints.remove(id));
                continue;
            }
            Endpoint endpoint = known;
            if (known == null || !known.address.equals(member.address())) {
                stopUsing(known);
                endpoint = new Endpoint(member.address());
                endpoints.put(id, endpoint);
            }
            endpoint.listedUp = member.server().state() == Gateway.ServerState.UP;
            updateUsable(id, endpoint);
        }
    }

    /** Sets all servers that are detached by hand: they are treated as servers that drain. */
    void setDetached(Set<String> servers) {
        detachedServers = Set.copyOf(servers);
        endpoints.forEach(this::updateUsable);
    }

    /**
     * Determines whether a server may get attempts. No connection is opened ahead of an attempt: a handshake
     * has its price, and most edge nodes never use most servers.
     */
    private void updateUsable(String id, Endpoint endpoint) {
        endpoint.usable = endpoint.listedUp && !detachedServers.contains(id);
        if (!endpoint.usable) {
            stopUsing(endpoint);
        }
    }

    /** How many servers the list has. */
    int memberCount() {
        return endpoints.size();
    }

    /**
     * Sends nothing more to a server that drains, is gone or has another address; attempts that are already
     * written may end.
     */
    private void stopUsing(Endpoint endpoint) {
        if (endpoint == null) {
            return;
        }
        endpoint.usable = false;
        for (ServerConnection connection : endpoint.idleConnections.toArray(new ServerConnection[0])) {
            connection.channel.close();
        }
        while (!endpoint.waitingAttempts.isEmpty()) {
            Attempt attempt = endpoint.waitingAttempts.poll();
            node.runLater(() -> endAttempt(attempt, Gateway.Outcome.NO_CONNECTION, null, LoadReport.NONE));
        }
    }

    /** Starts the regular check for connections that have been idle too long. */
    void start() {
        node.schedule(IDLE_CHECK_INTERVAL_MS, this::closeLongIdleConnections);
    }

    private void closeLongIdleConnections() {
        node.schedule(IDLE_CHECK_INTERVAL_MS, this::closeLongIdleConnections);
        checkCounts();
        node.checkCounts();
        double idleBeforeMs = node.nowMs() - config.keepAliveMs() * IDLE_RETIREMENT_FRACTION;
        for (Endpoint endpoint : endpoints.values()) {
            while (!endpoint.idleConnections.isEmpty()
                && endpoint.idleConnections.peek().idleSinceMs < idleBeforeMs) {
                endpoint.idleConnections.poll().channel.close();
            }
        }
    }

    private void checkCounts() {
        int counted = 0;
        for (Endpoint endpoint : endpoints.values()) {
            counted += endpoint.connectingCount + endpoint.connections.size();
            node.invariants().check(Invariant.CONNECTION_COUNT, endpoint.connectingCount >= 0
                && endpoint.waitingAttempts.size() <= endpoint.connectingCount,
                () -> endpoint.waitingAttempts.size() + " attempts wait for " + endpoint.connectingCount
                    + " connects to " + endpoint.address);
        }
        int listed = counted; // those to servers that are no longer listed count too
        node.invariants().check(Invariant.CONNECTION_COUNT, listed <= connectionCount,
            () -> connectionCount + " connections, of which " + listed + " are to listed servers");
    }

    // ---- attempts ----

    /** Sends an attempt on an idle connection, the one used last, or on a new one. */
    void send(Attempt attempt) {
        node.invariants().checkEventLoop("ServerPool.send");
        Endpoint endpoint = endpoints.get(attempt.server);
        if (endpoint == null || !endpoint.usable) {
            node.runLater(() -> endAttempt(attempt, Gateway.Outcome.NO_CONNECTION, null, LoadReport.NONE));
            return;
        }
        ServerConnection idle = takeIdle(endpoint);
        if (idle != null) {
            idle.assign(attempt);
            return;
        }
        if (connectionCount >= maxConnections && !closeAnyIdleConnection()) {
            node.runLater(() -> endAttempt(attempt, Gateway.Outcome.NO_CONNECTION, null, LoadReport.NONE));
            return;
        }
        endpoint.waitingAttempts.add(attempt);
        connect(endpoint);
    }

    /** Takes an idle connection that can carry an attempt; null where there is none. */
    private ServerConnection takeIdle(Endpoint endpoint) {
        ServerConnection connection = endpoint.takeRested(node.nowMs());
        while (connection != null
            && (!connection.channel.isActive() || connection.frames.hasPartialMessage())) {
            connection.channel.close();
            connection = endpoint.takeRested(node.nowMs());
        }
        return connection;
    }

    /** Gives attempts that wait for a connection to those that have rested meanwhile. */
    private void assignWaiting(Endpoint endpoint) {
        while (endpoint.usable && !endpoint.waitingAttempts.isEmpty()) {
            ServerConnection connection = takeIdle(endpoint);
            if (connection == null) {
                return;
            }
            connection.assign(endpoint.waitingAttempts.poll());
        }
    }

    /** Asks a server for its load; the answer, or a timeout, is reported as the outcome of a probe. */
    void probe(String server) {
        Attempt attempt = new Attempt(null, 0, server, node.nowMs(), Double.MAX_VALUE);
        node.schedule(PROBE_TIMEOUT_MS, () -> abandon(attempt, Gateway.Outcome.TIMEOUT));
        send(attempt);
    }

    /**
     * Stops waiting for an attempt, which ends with the given outcome. A timeout before it is written whole
     * counts as NO_CONNECTION, as the server cannot have run it.
     */
    void abandon(Attempt attempt, Gateway.Outcome outcome) {
        if (attempt.state == AttemptState.ENDED) {
            return;
        }
        ServerConnection connection = attempt.connection;
        boolean nothingWritten = attempt.state == AttemptState.WAITING;
        endAttempt(attempt, attempt.isUnsent() && outcome == Gateway.Outcome.TIMEOUT
            ? Gateway.Outcome.NO_CONNECTION : outcome, null, LoadReport.NONE);
        if (connection == null) {
            Endpoint endpoint = endpoints.get(attempt.server);
            if (endpoint != null) {
                endpoint.waitingAttempts.remove(attempt);
            }
        } else if (nothingWritten) {
            connection.current = null;
            connection.release();
        } else {
            connection.current = null;
            connection.channel.close(); // an answer may still come on it, so it can't be used again
        }
    }

    /** Abandons an attempt that is not written whole and so never runs; others go on. */
    void abandonUnsent(Attempt attempt) {
        if (attempt.isUnsent()) {
            abandon(attempt, Gateway.Outcome.NOT_SENT);
        }
    }

    /**
     * Writes the queued attempts. The sockets have been polled since they were queued, so a client that
     * closed its connection right behind its request is known to be gone by now, unless that poll is some
     * time ago.
     */
    private void writeQueued() {
        try {
            for (ServerConnection connection = writeQueue.poll(); connection != null;
                connection = writeQueue.poll()) {
                writeQueued(connection, connection.current);
            }
        } finally {
            if (!writeQueue.isEmpty()) {
                node.runAfterNextPoll(this::writeQueued); // an exception on one doesn't hold up the others
            }
        }
    }

    private void writeQueued(ServerConnection connection, Attempt attempt) {
        if (attempt != null) {
            connection.lookAtBothSides(attempt);
        }
        if (attempt == null || connection.current != attempt || attempt.state != AttemptState.WAITING) {
            return;
        }
        if (!connection.endpoint.usable) {
            abandon(attempt, Gateway.Outcome.NO_CONNECTION); // the server has begun to drain
        } else if (attempt.isWorthWriting(node.nowMs())) {
            connection.write(attempt);
        } else {
            abandon(attempt, Gateway.Outcome.NOT_SENT);
        }
    }

    /** Reports the outcome of an attempt or a probe, once. */
    private void endAttempt(Attempt attempt, Gateway.Outcome outcome, RedisMessage value, double[] load) {
        if (attempt.state == AttemptState.ENDED) {
            return;
        }
        attempt.state = AttemptState.ENDED;
        attempt.outcome = outcome;
        if (attempt.request == null) {
            node.probeEnded(attempt.server, outcome, node.nowMs() - attempt.startedAtMs, load);
        } else {
            node.attemptEnded(attempt, outcome, value, load);
        }
    }

    // ---- connections ----

    /** Closes an idle connection of any server, which makes room for a new one; false where none is idle. */
    private boolean closeAnyIdleConnection() {
        for (Endpoint endpoint : endpoints.values()) {
            if (!endpoint.idleConnections.isEmpty()) {
                endpoint.idleConnections.poll().channel.close();
                return true;
            }
        }
        return false;
    }

    /** Opens a connection, which then takes the attempt that has waited longest. */
    private void connect(Endpoint endpoint) {
        endpoint.connectingCount++;
        connectionCount++;
        connect(endpoint, node.nowMs() + config.connectTimeoutMs());
    }

    /** Connects again after failures of this machine, until the connect counts as failed. */
    private void connect(Endpoint endpoint, double giveUpAtMs) {
        if (endpoint.waitingAttempts.isEmpty()) { // they have ended since the last failure
            endpoint.connectingCount--;
            connectionCount--;
            return;
        }
        ServerConnection connection = new ServerConnection(endpoint);
        connector.connect(endpoint.address, channel -> {
            connection.channel = channel;
            channel.pipeline().addLast(node.workHandler());
            connection.frames = RespCodec.addTo(channel.pipeline(), MAX_ARRAY_ELEMENTS,
                RespCodec.MAX_VALUE_BYTES, connection.openAccount(), connection);
            channel.pipeline().addLast(connection);
        }, channel -> connected(connection), cause -> connectFailed(endpoint, cause, giveUpAtMs));
    }

    private void connected(ServerConnection connection) {
        node.invariants().checkEventLoop("the end of a connect to a flag server");
        Endpoint endpoint = connection.endpoint;
        endpoint.connectingCount--;
        endpoint.connections.add(connection);
        if (endpoint.usable) {
            connection.release();
        } else {
            connection.channel.close();
        }
        node.flushChannels();
    }

    private void connectFailed(Endpoint endpoint, Throwable cause, double giveUpAtMs) {
        node.invariants().checkEventLoop("the end of a connect to a flag server");
        if (RequestTrace.ENABLED) {
            RequestTrace.log(node.nowMs(), "connect " + endpoint.address, "failed", cause);
        }
        boolean local = Connector.isLocalFailure(cause);
        if (local) {
            node.countLocalFailure("connect");
        }
        if (local && !endpoint.waitingAttempts.isEmpty()
            && node.nowMs() + LOCAL_RETRY_DELAY_MS < giveUpAtMs) {
            node.schedule(LOCAL_RETRY_DELAY_MS, () -> connect(endpoint, giveUpAtMs));
            return;
        }
        endpoint.connectingCount--;
        connectionCount--;
        // each waiting attempt has started a connect: with one too few left, the oldest attempt fails
        if (endpoint.waitingAttempts.size() > endpoint.connectingCount) {
            endAttempt(endpoint.waitingAttempts.poll(),
                local ? Gateway.Outcome.NOT_SENT : Gateway.Outcome.NO_CONNECTION, null, LoadReport.NONE);
        }
        node.flushChannels();
    }

    /** A connection to a server, with at most one attempt on it. */
    private final class ServerConnection extends ChannelInboundHandlerAdapter
        implements RespCodec.LargeValueSink, MemoryAccount.Holder {
        private final Endpoint endpoint;
        private MemoryAccount.Part partialAnswer;
        private Channel channel;
        private RespCodec.FrameTracker frames;
        /** The attempt that is to be written or to be answered; null where there is none. */
        private Attempt current;
        /** Its request has been answered; it is released once all bytes that have come are read. */
        private boolean answerComplete;
        private double idleSinceMs;
        /** When its last answer came. */
        private double answeredAtMs = Double.NEGATIVE_INFINITY;
        /** Whether it has carried an earlier request to its answer. */
        private boolean reused;

        ServerConnection(Endpoint endpoint) {
            this.endpoint = endpoint;
        }

        /** Opens the account of the connection, from which it takes memory for answers read in part. */
        MemoryAccount.Part openAccount() {
            MemoryAccount account = node.memory().openAccount(this);
            channel.closeFuture().addListener(closed -> account.close());
            partialAnswer = account.part(Use.PARTIAL_ANSWER);
            return partialAnswer;
        }

        @Override public MemoryAccount.Offer offer(boolean lastResort) {
            return partialAnswer.bytes() > 0 ? partialAnswer.offer(frames::dropMessage) : null;
        }

        /** Takes an attempt, to be written after the next poll of the event loop. */
        void assign(Attempt attempt) {
            current = attempt;
            attempt.connection = this;
            if (writeQueue.isEmpty()) {
                node.runAfterNextPoll(ServerPool.this::writeQueued);
            }
            writeQueue.add(this);
        }

        /** Sees what has come since the last poll: the client's close, a surplus answer, the server's end. */
        private void lookAtBothSides(Attempt attempt) {
            if (attempt.request != null && node.isPollOld()) {
                attempt.request.slot.lookForClose();
            }
            if (reused && current == attempt && DirectSocket.read(channel) == DirectSocket.Input.ENDED) {
                retire();
            }
        }

        private void write(Attempt attempt) {
            checkAllowed(attempt);
            attempt.state = AttemptState.WRITING;
            ArrayRedisMessage command = attempt.request == null
                ? RespCodec.command(channel.alloc(), "INFO", "load")
                : attempt.request.call.withRemainingTime(attempt.request.command,
                    attempt.request.deadlineMs - node.nowMs(), channel.alloc());
            channel.writeAndFlush(command).addListener(future -> {
                if (future.isSuccess() && attempt.state == AttemptState.WRITING) {
                    attempt.state = AttemptState.WRITTEN;
                    attempt.writtenAtMs = node.nowMs();
                }
                if (future.isSuccess() && attempt.request != null) {
                    node.attemptWritten();
                }
            });
        }

        private void checkAllowed(Attempt attempt) {
            if (attempt.request == null) {
                return;
            }
            double nowMs = node.nowMs();
            node.invariants().check(Invariant.OPEN_WHEN_SENT, attempt.isWorthWriting(nowMs - MAX_HOLD_UP_MS),
                () -> "request " + attempt.request.call.requestId() + " is written after its end");
            Gateway.RequestClass requestClass = attempt.request.requestClass;
            for (Attempt earlier : attempt.request.attempts) {
                if (requestClass != null && earlier != attempt && earlier.mayHaveRun()) {
                    node.invariants().check(Invariant.ALLOWED_REPEAT, mayRepeat(requestClass, earlier, nowMs),
                        () -> "request " + attempt.request.call.requestId() + " of class "
                            + requestClass.name() + " may have run at " + earlier.server);
                }
            }
        }

        private boolean mayRepeat(Gateway.RequestClass requestClass, Attempt earlier, double nowMs) {
            return switch (requestClass.effect()) {
                case SAFE -> true;
                case IDEMPOTENCY_KEY -> nowMs <= earlier.writtenAtMs + requestClass.repeatWindowMs();
                case NON_IDEMPOTENT -> false;
            };
        }

        /** Becomes idle, or takes the attempt that has waited longest, at once or when it has rested. */
        void release() {
            if (!endpoint.usable) {
                channel.close();
                return;
            }
            idleSinceMs = node.nowMs();
            endpoint.idleConnections.addLast(this);
            double restLeftMs = answeredAtMs + endpoint.restMs(idleSinceMs) - idleSinceMs;
            if (restLeftMs <= 0) {
                assignWaiting(endpoint);
            } else if (!endpoint.waitingAttempts.isEmpty()) {
                node.schedule(restLeftMs, () -> assignWaiting(endpoint));
            }
        }

        /**
         * Closes the connection. Where it was kept from an earlier request, an attempt of which nothing is
         * written yet is sent on another connection.
         */
        private void retire() {
            Attempt attempt = current;
            if (attempt != null && attempt.state == AttemptState.WAITING && reused) {
                current = null;
                attempt.connection = null;
                send(attempt);
            }
            channel.close();
        }

        @Override public void channelRead(ChannelHandlerContext ctx, Object msg) {
            try {
                frames.messageComplete();
                Attempt attempt = current;
                if (attempt == null || attempt.isUnsent()) {
                    handleUnsolicited(attempt, (RedisMessage) msg);
                    return;
                }
                handleAnswer(attempt, (RedisMessage) msg);
                if (current == attempt) {
                    current = null;
                    answerComplete = true;
                }
            } finally {
                ReferenceCountUtil.release(msg);
            }
        }

        /**
         * Handles a message that came before a request was written whole, so it is no answer. The connection
         * is closed, lest the rest of the request reaches the server and runs beside another attempt.
         */
        private void handleUnsolicited(Attempt attempt, RedisMessage msg) {
            if (reused || answerComplete) {
                suspect();
            }
            retire();
            if (current == attempt && attempt != null) {
                current = null;
                ErrorLine error = ErrorLine.ofServer(msg, loadFields());
                boolean busy = !reused && error != null && error.code() == ErrorLine.Code.BUSY;
                endAttempt(attempt, busy ? Gateway.Outcome.BUSY : Gateway.Outcome.NOT_SENT, null,
                    LoadReport.NONE);
            }
        }

        /** Notes that the server has sent a message more than was asked for. */
        private void suspect() {
            node.countSurplusAnswer();
            endpoint.suspectUntilMs = node.nowMs() + SUSPECT_MS;
        }

        @Override public boolean beginValue(BulkStringHeaderRedisMessage header) {
            return current != null && current.request != null && current.state == AttemptState.WRITTEN
                && node.beginLongValue(current, header, this::setReading);
        }

        @Override public void valueChunk(BulkStringRedisContent chunk) {
            if (current == null) {
                ReferenceCountUtil.release(chunk); // the client has gone, and this connection is closing
            } else {
                node.longValueChunk(current, chunk);
            }
        }

        private void setReading(boolean reading) {
            channel.config().setAutoRead(reading);
        }

        /** Ends an attempt or a probe by what the server has answered. */
        private void handleAnswer(Attempt attempt, RedisMessage msg) {
            if (msg instanceof ArrayRedisMessage array && !array.isNull() && !array.children().isEmpty()
                && RespCodec.isBulkString(array.children().get(0)) && attempt.request != null) {
                List<RedisMessage> parts = array.children();
                endAttempt(attempt, Gateway.Outcome.OK, parts.get(0),
                    parts.size() > 2 ? parseLoad(RespCodec.text(parts.get(2))) : LoadReport.NONE);
            } else if (msg instanceof ErrorRedisMessage) {
                handleError(attempt, ErrorLine.ofServer(msg, loadFields()));
            } else if (attempt.request == null && RespCodec.isBulkString(msg)) {
                endAttempt(attempt, Gateway.Outcome.OK, null, parseLoad(RespCodec.text(msg)));
            } else {
                endAttempt(attempt, Gateway.Outcome.ERROR, null, LoadReport.NONE);
            }
        }

        private void handleError(Attempt attempt, ErrorLine error) {
            if (error.code() == ErrorLine.Code.UNKNOWN) {
                node.logError("flag server", new IllegalStateException(error.text()));
            }
            endAttempt(attempt,
                error.code() == ErrorLine.Code.BUSY ? Gateway.Outcome.BUSY : Gateway.Outcome.ERROR, null,
                parseLoad(error.loadReport()));
        }

        /** Releases the connection after an answer, unless more bytes have come than were asked for. */
        @Override public void channelReadComplete(ChannelHandlerContext ctx) {
            if (answerComplete && channel.isActive()) {
                answerComplete = false;
                reused = true;
                answeredAtMs = node.nowMs();
                if (frames.hasPartialMessage()) {
                    channel.close();
                } else {
                    release();
                }
            }
            node.flushChannels();
        }

        @Override public void channelInactive(ChannelHandlerContext ctx) {
            connectionCount--;
            endpoint.idleConnections.remove(this);
            endpoint.connections.remove(this);
            retire();
            Attempt attempt = current;
            current = null;
            if (attempt != null) {
                endAttempt(attempt, attempt.state == AttemptState.WRITTEN
                    ? Gateway.Outcome.RESET : Gateway.Outcome.NO_CONNECTION, null, LoadReport.NONE);
            }
            node.flushChannels();
        }

        @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof java.io.IOException)) {
                node.logError("app server connection", cause);
            }
            frames.discardInput();
            retire();
            Attempt attempt = current;
            if (attempt != null && cause instanceof CodecException
                && !(cause instanceof PrematureChannelClosureException)) {
                // cleared first: the decoder still passes on what it makes of the bytes behind the error
                current = null;
                // the server has answered, if malformed, so this is an error and no reset
                endAttempt(attempt, Gateway.Outcome.ERROR, null, LoadReport.NONE);
            }
            channel.close();
        }
    }

    private double[] parseLoad(String report) {
        return LoadReport.parse(report, loadFields());
    }

    private List<String> loadFields() {
        return config.settings().loadFields();
    }
}
