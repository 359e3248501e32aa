package barleyfall.lab.standin;

import barleyfall.lab.experiment.Experiment;
import barleyfall.lab.net.Link;
import barleyfall.lab.net.LinkHandler;
import barleyfall.lab.plan.Arrival;
import barleyfall.lab.plan.Customer;
import barleyfall.lab.seen.Event;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.socket.SocketChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The front's connections to one edge node. Each carries one request at a time, and new ones are opened as
 * needed. The pool also checks whether the edge node is up.
 */
final class EdgeConnectionPool {
    private static final int CONNECT_TIMEOUT_MS = 1000;
    private static final int HEALTH_CHECK_INTERVAL_MS = 250;
    private static final double NANOS_PER_MS = 1e6;
    /**
     * How long a connection waits for an answer after the client's deadline; a later one counts as missing.
     */
    private static final double LATE_ANSWER_WAIT_MS = 500;

    private final Front front;
    private final int edge;
    private final EventLoop loop;
    private final InetSocketAddress address;
    private final Link link;
    private final double deathNoticeMs;
    private final int maxConnections;
    private final CompletableFuture<Void> ready = new CompletableFuture<>();
    private final ArrayDeque<Connection> idleConnections = new ArrayDeque<>();
    private final ArrayDeque<ClientTry> waitingTries = new ArrayDeque<>();
    private int connectionCount;
    private long nextSeed;
    private volatile boolean up;
    private volatile boolean stopped;
    /** The edge node has been told to end: it gets no new connections, but those that are open are used. */
    private volatile boolean ending;
    /** How many connections are idle, for other threads. */
    private volatile int idleCount;
    /** By the system's monotonic clock, as the clock of the run jumps when the load begins. */
    private long lastPongNanos;

    /**
     * Creates a pool without connections.
     *
     * @param deathNoticeMs time without an answer to PING after which the edge node counts as down
     */
    EdgeConnectionPool(Front front, int edge, EventLoop loop, InetSocketAddress address, Link link,
        double deathNoticeMs, int maxConnections) {
        this.front = front;
        this.edge = edge;
        this.loop = loop;
        this.address = address;
        this.link = link;
        this.deathNoticeMs = deathNoticeMs;
        this.maxConnections = maxConnections;
        nextSeed = 7919L * (edge + 1);
    }

    /** Completes when the edge node has answered its first PING. */
    CompletableFuture<Void> ready() {
        return ready;
    }

    /** Returns whether the edge node answered a PING recently. */
    boolean isUp() {
        return up;
    }

    /** Returns whether the edge node is ending and an open connection to it is free. */
    boolean hasConnectionToEndingEdge() {
        return ending && idleCount > 0;
    }

    /** Notes that the edge node has been told to end: its health is no longer checked. */
    void markEnding() {
        ending = true;
    }

    /** Notes that the edge node starts again. */
    void markStarting() {
        ending = false;
    }

    /** Treats the edge node as down until it answers the next PING. */
    void markDown() {
        up = false;
    }

    /** Ends the health checks. */
    void stop() {
        stopped = true;
    }

    // ---- health checks ----

    /** Starts to send a PING every 250 ms. */
    void startHealthChecks() {
        loop.execute(this::checkHealth);
    }

    private void checkHealth() {
        if (stopped) {
            return;
        }
        if (up && (System.nanoTime() - lastPongNanos) / NANOS_PER_MS > deathNoticeMs) {
            up = false;
        }
        if (!ending) {
            connect(new HealthCheck(System.nanoTime()));
        }
        loop.schedule(this::checkHealth, HEALTH_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** A PING on a connection of its own. */
    private final class HealthCheck extends ChannelInboundHandlerAdapter implements Consumer<String> {
        private final long sentNanos;
        private final RespParser parser = new RespParser();

        HealthCheck(long sentNanos) {
            this.sentNanos = sentNanos;
        }

        @Override public void channelActive(ChannelHandlerContext ctx) {
            ctx.writeAndFlush(Unpooled.copiedBuffer("*1\r\n$4\r\nPING\r\n", StandardCharsets.US_ASCII));
            loop.schedule(() -> ctx.close(), CONNECT_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }

        @Override public void channelRead(ChannelHandlerContext ctx, Object message) {
            ByteBuf in = (ByteBuf) message;
            try {
                parser.add(in);
                List<String> answer = parser.next();
                if (answer != null && answer.get(0).equals("+PONG") && !ending) {
                    lastPongNanos = sentNanos;
                    up = true;
                    ready.complete(null);
                    ctx.close();
                }
            } catch (RespParser.MalformedRespException malformed) {
                ctx.close();
            } finally {
                in.release();
            }
        }

        @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close(); // the next check comes soon
        }

        @Override public void accept(String reason) {
            // the connection failed; the next check comes soon
        }
    }

    // ---- tries ----

    /** Sends a try as soon as a connection is free. May be called from any thread. */
    void submit(ClientTry clientTry) {
        loop.execute(() -> {
            front.recordStartDelay(clientTry);
            double waitMs = clientTry.deadlineMs(requestClass(clientTry)) - front.clock().nowMs();
            loop.schedule(() -> deadlinePassed(clientTry), (long) (Math.max(0, waitMs) * NANOS_PER_MS),
                TimeUnit.NANOSECONDS);
            dispatch(clientTry);
        });
    }

    /** Writes a try to an idle connection, or queues it and opens another connection if the limit allows. */
    private void dispatch(ClientTry clientTry) {
        if (clientTry.resent) {
            sendOnNewConnection(clientTry);
            return;
        }
        Connection connection = idleConnections.pollLast();
        idleCount = idleConnections.size();
        if (connection != null) {
            connection.write(clientTry);
            return;
        }
        if (takesNoNewConnections()) {
            front.reroute(clientTry);
            return;
        }
        waitingTries.add(clientTry);
        if (connectionCount < maxConnections) {
            connectionCount++;
            connect(new Connection(null));
        }
    }

    /** Sends a try on a connection of its own, here or, where the edge node takes no more, at another. */
    private void sendOnNewConnection(ClientTry clientTry) {
        if (takesNoNewConnections()) {
            front.reroute(clientTry);
            return;
        }
        connectionCount++;
        connect(new Connection(clientTry));
    }

    /** Whether the edge node is ending and the time in which new connections still come is over. */
    private boolean takesNoNewConnections() {
        return ending && !up;
    }

    private Experiment.RequestClass requestClass(ClientTry clientTry) {
        return front.experiment().classes().get(clientTry.arrival.classIndex());
    }

    /**
     * Ends a try for its client. If it was written already, its connection waits a little longer for the
     * answer, so that a late one can be recorded.
     */
    private void deadlinePassed(ClientTry clientTry) {
        if (clientTry.finished || clientTry.expired) { // a rerouted try has a timer at each edge node
            return;
        }
        clientTry.expired = true;
        if (clientTry.written) {
            front.tryFinished(clientTry, false, false, 0);
        } else {
            clientTry.finished = true;
            waitingTries.remove(clientTry);
            front.recordNotTaken(clientTry, edge, "no connection in time");
        }
    }

    /** Connects to the edge node. If that fails, the handler's {@code accept} is called with the reason. */
    private <H extends ChannelInboundHandlerAdapter & Consumer<String>> void connect(H handler) {
        if (!link.isPassable()) {
            loop.schedule(() -> handler.accept("no connection comes up"), CONNECT_TIMEOUT_MS,
                TimeUnit.MILLISECONDS);
            return;
        }
        new Bootstrap().group(loop).channel(EpollSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .option(ChannelOption.TCP_NODELAY, true).handler(new ChannelInitializer<SocketChannel>() {
                @Override protected void initChannel(SocketChannel channel) {
                    channel.pipeline().addLast(new LinkHandler(front.clock(), link, false, nextSeed++),
                        handler);
                }
            }).connect(address).addListener(f -> {
                if (!f.isSuccess()) {
                    handler.accept(String.valueOf(f.cause().getMessage()));
                }
            });
    }

    /** A connection for requests. */
    private final class Connection extends ChannelInboundHandlerAdapter implements Consumer<String> {
        private final RespParser parser = new RespParser();
        /** The try that the connection is opened for, or null where it takes the next that waits. */
        private final ClientTry firstTry;
        private ChannelHandlerContext ctx;
        private ClientTry current;
        private long lastId;
        private boolean hasAnswered;
        private boolean wasReset;
        /** Its client has left: what still comes was on its way. */
        private boolean left;

        Connection(ClientTry firstTry) {
            this.firstTry = firstTry;
        }

        /** Called when the connection could not be opened: fails one of the waiting tries. */
        @Override public void accept(String reason) {
            connectionCount--;
            ClientTry clientTry = firstTry != null ? firstTry : waitingTries.poll();
            if (clientTry != null) {
                clientTry.finished = true;
                front.recordNotTaken(clientTry, edge, reason);
            }
        }

        @Override public void channelActive(ChannelHandlerContext channelContext) {
            ctx = channelContext;
            if (firstTry != null && !firstTry.expired) {
                write(firstTry);
            } else {
                takeNext();
            }
        }

        /** Writes a waiting try, or makes the connection idle. */
        private void takeNext() {
            ClientTry clientTry = waitingTries.poll();
            if (clientTry != null) {
                write(clientTry);
            } else {
                idleConnections.add(this);
                idleCount = idleConnections.size();
            }
        }

        /** Writes a try and records it. */
        void write(ClientTry clientTry) {
            current = clientTry;
            Arrival arrival = clientTry.arrival;
            Customer customer = front.plan().customers().get(arrival.customerIndex());
            Experiment.RequestClass requestClass = requestClass(clientTry);
            boolean isKeyed = requestClass.effect().equals("keyed");
            boolean isGet = requestClass.effect().equals("safe");
            String key = isKeyed ? String.format("%016x", arrival.idempotencyKey()) : null;
            double nowMs = front.clock().nowMs();
            double remainingMs = Math.max(1, clientTry.deadlineMs(requestClass) - nowMs);
            String id = String.format("%016x", clientTry.id());
            String terms = "c=" + requestClass.name()
                + ",t=" + front.experiment().plans().get(customer.plan()).name()
                + ",d=" + Math.round(remainingMs) + (isKeyed ? ",k=" + key : "")
                + (clientTry.tryNumber > 0 ? ",r=1" : "") + ",units=" + arrival.units()
                + ",spread=" + customer.spread() + ",first=" + customer.first();
            String body = isGet ? null : "body of " + id;
            String verb = isGet ? "CALL.GET" : "CALL.POST";
            front.requests().record(clientTry.id(),
                new RequestLog.SentTry(arrival, clientTry.tryNumber, verb, customer.wireId(), key, body));
            StringBuilder text = new StringBuilder(160).append(isGet ? "*4\r\n" : "*5\r\n");
            appendBulkString(text, verb);
            appendBulkString(text, customer.wireId());
            appendBulkString(text, id);
            appendBulkString(text, terms);
            if (body != null) {
                appendBulkString(text, body);
            }
            clientTry.written = true;
            front.trace().accept(new Event.RequestSent(nowMs, clientTry.scheduledMs, clientTry.id(),
                arrival.id(), clientTry.tryNumber, edge, customer.number(), customer.plan(),
                arrival.classIndex(), arrival.units(), remainingMs, key));
            ctx.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
            double leaveAfterMs = front.leaveAfterMs(clientTry, remainingMs);
            if (leaveAfterMs >= 0) {
                loop.schedule(() -> leave(clientTry), (long) (leaveAfterMs * NANOS_PER_MS),
                    TimeUnit.NANOSECONDS);
            }
            loop.schedule(() -> giveUp(clientTry, "no answer half a second after its time"),
                (long) ((remainingMs + LATE_ANSWER_WAIT_MS) * NANOS_PER_MS), TimeUnit.NANOSECONDS);
        }

        /** Closes the connection where the try is still open: its client has left, and tries no more. */
        private void leave(ClientTry clientTry) {
            if (current == clientTry && !clientTry.finished) {
                clientTry.finished = true;
                current = null;
                left = true;
                front.trace().accept(new Event.ClientLeft(front.clock().nowMs(), clientTry.id(), edge));
                ctx.close();
            }
        }

        /** Records that no answer came and closes the connection. */
        private void giveUp(ClientTry clientTry, String reason) {
            if (current == clientTry && !clientTry.finished) {
                clientTry.finished = true;
                current = null;
                front.trace().accept(new Event.ResponseMissing(front.clock().nowMs(), clientTry.id(), edge,
                    reason));
                ctx.close();
            }
        }

        @Override public void channelRead(ChannelHandlerContext channelContext, Object message) {
            ByteBuf in = (ByteBuf) message;
            try {
                parser.add(in);
                for (List<String> answer = parser.next(); answer != null; answer = parser.next()) {
                    handleAnswer(answer);
                }
            } catch (RespParser.MalformedRespException malformed) {
                front.trace().accept(new Event.UnexpectedResponse(front.clock().nowMs(), edge, lastId,
                    malformed.getMessage()));
                channelContext.close();
            } finally {
                in.release();
            }
        }

        /** Handles an answer; without a request in progress it is recorded as unasked for. */
        private void handleAnswer(List<String> answer) {
            double nowMs = front.clock().nowMs();
            String firstWord = answer.get(0);
            if (current == null && left) {
                return;
            }
            if (current == null) {
                front.trace().accept(new Event.UnexpectedResponse(nowMs, edge, lastId,
                    String.valueOf(firstWord)));
                return;
            }
            ClientTry clientTry = current;
            current = null;
            hasAnswered = true;
            lastId = clientTry.id();
            clientTry.finished = true;
            boolean refused = firstWord != null && firstWord.startsWith("-BUSY");
            boolean served = firstWord != null && !firstWord.startsWith("-") && !firstWord.startsWith("+")
                && !firstWord.startsWith(":");
            double retryAfterMs = refused ? parseRetryAfterMs(firstWord) : 0;
            front.trace().accept(new Event.ResponseReceived(nowMs, clientTry.id(), edge,
                served ? "served" : refused ? "refused" : "failed", served ? firstWord : null, retryAfterMs));
            if (!clientTry.expired) {
                front.tryFinished(clientTry, served, refused, retryAfterMs);
            }
            // further answers in the same read belong to no request: handle them before the next is sent
            loop.execute(() -> {
                if (ctx.channel().isActive()) {
                    takeNext();
                }
            });
        }

        @Override public void channelInactive(ChannelHandlerContext channelContext) {
            connectionCount--;
            idleConnections.remove(this);
            idleCount = idleConnections.size();
            ClientTry clientTry = current;
            current = null;
            if (clientTry != null && !clientTry.finished) {
                if (hasAnswered && !wasReset && !clientTry.resent && !clientTry.expired) {
                    clientTry.resent = true; // the edge node closed the idle connection at the same moment
                    clientTry.written = false;
                    sendOnNewConnection(clientTry);
                } else {
                    clientTry.finished = true;
                    front.trace().accept(new Event.ResponseMissing(front.clock().nowMs(), clientTry.id(),
                        edge, wasReset ? "the connection was reset" : "the connection ended"));
                    if (!clientTry.expired) {
                        front.tryFinished(clientTry, false, false, 0);
                    }
                }
            }
            while (takesNoNewConnections() && !waitingTries.isEmpty()) {
                front.reroute(waitingTries.poll());
            }
            if (!waitingTries.isEmpty() && connectionCount < maxConnections) {
                connectionCount++;
                connect(new Connection(null));
            }
        }

        @Override public void exceptionCaught(ChannelHandlerContext channelContext, Throwable cause) {
            wasReset = true;
            channelContext.close();
        }
    }

    /** Returns the time in {@code -BUSY MS}, 0 if there is none. */
    private static double parseRetryAfterMs(String answer) {
        try {
            return answer.length() > 6 ? Double.parseDouble(answer.substring(6).trim()) : 0;
        } catch (NumberFormatException e) {
            return 0; // a text, not a time
        }
    }

    private static void appendBulkString(StringBuilder text, String value) {
        text.append('$').append(value.length()).append("\r\n").append(value).append("\r\n");
    }
}
