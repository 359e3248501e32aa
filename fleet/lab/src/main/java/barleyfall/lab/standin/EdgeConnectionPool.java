package barleyfall.lab.standin;

import barleyfall.lab.experiment.Experiment;
import barleyfall.lab.net.Link;
import barleyfall.lab.net.LinkHandler;
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
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The front's connections to one edge node. Each carries one request at a time, but for those that clients
 * write behind others, and new ones are opened as needed. The pool also checks whether the edge node is up.
 */
final class EdgeConnectionPool {
    private static final int CONNECT_TIMEOUT_MS = 1000;
    private static final int HEALTH_CHECK_INTERVAL_MS = 250;
    private static final double NANOS_PER_MS = 1e6;
    private final Front front;
    private final int edge;
    private final EventLoop loop;
    private final InetSocketAddress address;
    private final Link link;
    private final double deathNoticeMs;
    private final int maxConnections;
    private final CompletableFuture<Void> ready = new CompletableFuture<>();
    private final ArrayDeque<RequestConnection> idleConnections = new ArrayDeque<>();
    /** Connections that carry requests. */
    private final Set<RequestConnection> busyConnections = new LinkedHashSet<>();
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
        RequestConnection connection = takeBusy(clientTry);
        if (connection == null) {
            connection = idleConnections.pollLast();
            idleCount = idleConnections.size();
        }
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
            connect(new RequestConnection(this, null));
        }
    }

    /** Returns a connection with open requests behind which a try is written, or null. */
    private RequestConnection takeBusy(ClientTry clientTry) {
        if (!front.isPipelined(clientTry)) {
            return null;
        }
        return busyConnections.stream().filter(RequestConnection::mayTakeMore).findFirst().orElse(null);
    }

    // ---- for its connections ----

    /** The front that the pool belongs to. */
    Front front() {
        return front;
    }

    /** The number of the edge node. */
    int edge() {
        return edge;
    }

    /** The event loop of the pool and its connections. */
    EventLoop loop() {
        return loop;
    }

    /** Notes that a connection carries requests. */
    void connectionBusy(RequestConnection connection) {
        busyConnections.add(connection);
    }

    /** Gives a connection without open requests the try that has waited longest, or makes it idle. */
    void connectionFree(RequestConnection connection) {
        busyConnections.remove(connection);
        ClientTry clientTry = waitingTries.poll();
        if (clientTry != null) {
            connection.write(clientTry);
        } else {
            idleConnections.add(connection);
            idleCount = idleConnections.size();
        }
    }

    /** Ends the try that a connection was opened for, or the next that waits: it did not come up. */
    void connectionFailed(ClientTry firstTry, String reason) {
        connectionCount--;
        ClientTry clientTry = firstTry != null ? firstTry : waitingTries.poll();
        if (clientTry != null) {
            clientTry.finished = true;
            front.recordNotTaken(clientTry, edge, reason);
        }
    }

    /** Forgets a connection that has ended, and goes on with the tries that wait. */
    void connectionEnded(RequestConnection connection) {
        connectionCount--;
        busyConnections.remove(connection);
        idleConnections.remove(connection);
        idleCount = idleConnections.size();
        while (takesNoNewConnections() && !waitingTries.isEmpty()) {
            front.reroute(waitingTries.poll());
        }
        if (!waitingTries.isEmpty() && connectionCount < maxConnections) {
            connectionCount++;
            connect(new RequestConnection(this, null));
        }
    }

    /** Sends a try on a connection of its own, here or, where the edge node takes no more, at another. */
    void sendOnNewConnection(ClientTry clientTry) {
        if (takesNoNewConnections()) {
            front.reroute(clientTry);
            return;
        }
        connectionCount++;
        connect(new RequestConnection(this, clientTry));
    }

    /** Whether the edge node is ending and the time in which new connections still come is over. */
    private boolean takesNoNewConnections() {
        return ending && !up;
    }

    /** Returns the class of a try. */
    Experiment.RequestClass requestClass(ClientTry clientTry) {
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
}
