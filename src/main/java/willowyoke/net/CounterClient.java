package willowyoke.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.handler.codec.redis.SimpleStringRedisMessage;
import io.netty.util.ReferenceCountUtil;
import java.math.BigDecimal;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.concurrent.CompletableFuture;
import willowyoke.Gateway;

/**
 * Calls the shared counter service over a few connections. All calls for one counter use the same
 * connection, so its answers come in order: the service answers the calls of a connection one after another.
 */
final class CounterClient {
    private static final int CONNECTION_COUNT = 4;
    /**
     * How long an answer is waited for, as a multiple of the counter timeout. The counter answers each call
     * in its turn, however late; its queue is about three timeouts long. A late answer is still reported,
     * with the time that it took, because its total is correct and the call has been paid for.
     */
    private static final double LATE_ANSWER_WAIT_RATIO = 4;
    /** Shorter than the 10 s or less after which the counter closes an idle connection. */
    private static final double CHECK_INTERVAL_MS = 1000;
    /** A connection on which an answer is outstanding for longer than this leads to a dead machine. */
    private static final double DEAD_CONNECTION_MS = 3000;
    /**
     * The counter serves the calls of all connections in turn. So a connection on which an answer is
     * outstanding is dead once a call made later on another connection, by this multiple of the counter
     * timeout, has been answered. The margin covers the counter's queue and answers that have arrived but are
     * not read yet.
     */
    private static final double SILENT_CONNECTION_LAG_RATIO = 2;
    private static final double RECONNECT_DELAY_MS = 100;
    private static final int MAX_ARRAY_ELEMENTS = 4;
    /**
     * Any number takes fewer bytes. A longer answer cannot be a number, and waiting for its end would block
     * the connection.
     */
    private static final int MAX_ANSWER_BYTES = 64;
    private static final double MAX_TIME_TO_LIVE_MS = 60_000;

    private final EdgeNode node;
    private final double timeoutMs;
    private final Connector connector;
    private final Connection[] connections = new Connection[CONNECTION_COUNT];
    /** Calls in the order in which they were made, from the oldest whose outcome is not reported yet. */
    private final ArrayDeque<PendingCall> unreported = new ArrayDeque<>();
    private InetSocketAddress address;
    private boolean expiryScheduled;
    private final CompletableFuture<Void> ready = new CompletableFuture<>();

    /** A call to the counter, or a ping, from the moment that it is made until its answer. */
    private static final class PendingCall {
        final long counterId;
        final double sentAtMs;
        final boolean ping;
        boolean written;
        /** Whether the module has been given the outcome; a ping has none to report. */
        boolean reported;

        PendingCall(long counterId, double sentAtMs, boolean ping) {
            this.counterId = counterId;
            this.sentAtMs = sentAtMs;
            this.ping = ping;
            reported = ping;
        }
    }

    /** With a null address there is no counter: each call then ends with NO_CONNECTION. */
    CounterClient(EdgeNode node, EventLoopGroup group, InetSocketAddress address, double timeoutMs) {
        this.node = node;
        this.address = address;
        this.timeoutMs = timeoutMs;
        connector = new Connector(group, (int) DEAD_CONNECTION_MS / 2);
        if (address == null) {
            ready.complete(null);
        }
    }

    /** Opens the connections, and checks them from here on. */
    void start() {
        if (address != null) {
            for (int i = 0; i < CONNECTION_COUNT; i++) {
                connections[i] = new Connection();
                connections[i].connect();
            }
            node.schedule(CHECK_INTERVAL_MS, this::checkConnections);
        }
    }

    /** Completes when all connections are open for the first time, or at once where there is no counter. */
    CompletableFuture<Void> ready() {
        return ready;
    }

    /**
     * Closes the connections and goes on at another address. Calls that are written but not answered end with
     * RESET, as their amount may have been added. Null means no change.
     */
    void changeAddress(InetSocketAddress newAddress) {
        if (newAddress == null || newAddress.equals(address)) {
            return;
        }
        boolean first = address == null;
        address = newAddress;
        if (first) {
            start();
            return;
        }
        for (Connection connection : connections) {
            connection.close();
        }
    }

    /** Adds an amount to a counter, which the counter service forgets after the time to live. */
    void add(long counterId, double amount, double timeToLiveMs) {
        Connection connection = address == null ? null
            : connections[(int) Math.floorMod(counterId, (long) CONNECTION_COUNT)];
        if (connection == null || connection.channel == null) {
            node.runLater(() -> node.counterCallEnded(counterId, Gateway.Outcome.NO_CONNECTION, 0, 0));
            return;
        }
        PendingCall call = new PendingCall(counterId, node.nowMs(), false);
        long boundedTimeToLiveMs = (long) Math.max(1, Math.min(MAX_TIME_TO_LIVE_MS, timeToLiveMs));
        connection.write(call, "CNT.ADD", Long.toString(counterId),
            toPlainDecimal(amount), Long.toString(boundedTimeToLiveMs));
        unreported.add(call);
        if (!expiryScheduled) {
            expiryScheduled = true;
            node.schedule(LATE_ANSWER_WAIT_RATIO * timeoutMs, this::expireCalls);
        }
    }

    /** Rounds to three decimals and writes them without an exponent. */
    private static String toPlainDecimal(double amount) {
        return BigDecimal.valueOf(Math.rint(amount * 1000) / 1000).stripTrailingZeros().toPlainString();
    }

    /**
     * Reports a timeout for each call that has waited too long. One timer serves all calls, which have the
     * same timeout: with a timer per call, answered ones would wake the event loop once more.
     */
    private void expireCalls() {
        double expiredBeforeMs = node.nowMs() - LATE_ANSWER_WAIT_RATIO * timeoutMs;
        while (!unreported.isEmpty()
            && (unreported.peek().reported || unreported.peek().sentAtMs <= expiredBeforeMs)) {
            report(unreported.poll(), Gateway.Outcome.TIMEOUT, 0);
        }
        expiryScheduled = !unreported.isEmpty();
        if (expiryScheduled) {
            node.schedule(unreported.peek().sentAtMs + LATE_ANSWER_WAIT_RATIO * timeoutMs - node.nowMs(),
                this::expireCalls);
        }
    }

    /** Gives the outcome of a call to the module, once. */
    private void report(PendingCall call, Gateway.Outcome outcome, double total) {
        if (!call.reported) {
            call.reported = true;
            node.counterCallEnded(call.counterId, outcome, node.nowMs() - call.sentAtMs, total);
        }
    }

    /** Closes connections to a machine that is gone, and sends a ping on idle ones to keep them open. */
    private void checkConnections() {
        node.schedule(CHECK_INTERVAL_MS, this::checkConnections);
        for (Connection connection : connections) {
            if (connection.channel != null) {
                PendingCall oldest = connection.pendingCalls.peek();
                if (oldest != null && node.nowMs() - oldest.sentAtMs > DEAD_CONNECTION_MS) {
                    connection.channel.close();
                } else if (node.nowMs() - connection.lastUsedAtMs > CHECK_INTERVAL_MS) {
                    connection.write(new PendingCall(0, node.nowMs(), true), "PING");
                }
            }
        }
    }

    /** Closes connections whose oldest call is far older than one that was just answered on another. */
    private void closeSilentConnections(double answeredCallSentAtMs) {
        for (Connection connection : connections) {
            PendingCall oldest = connection.pendingCalls.peek();
            if (connection.channel != null && oldest != null
                && answeredCallSentAtMs - oldest.sentAtMs > SILENT_CONNECTION_LAG_RATIO * timeoutMs) {
                connection.channel.close();
            }
        }
    }

    /** One of the connections, which is opened again whenever it closes. */
    private final class Connection {
        /** Calls without an answer, oldest first: the next answer belongs to the first of them. */
        private final ArrayDeque<PendingCall> pendingCalls = new ArrayDeque<>();
        /** Null while the connection is not open. */
        private Channel channel;
        /** The connect under way, or null. */
        private Connector.Connect connectAttempt;
        private double openedAtMs;
        private double lastUsedAtMs;

        /** Closes the channel, or aborts the connect, so that the next one goes to the current address. */
        void close() {
            if (channel != null) {
                channel.close();
            } else if (connectAttempt != null) {
                connectAttempt.cancel();
            }
        }

        void connect() {
            connectAttempt = connector.connect(address,
                newChannel -> newChannel.pipeline().addLast(node.workHandler()).addLast(new AnswerHandler(
                    RespCodec.addTo(newChannel.pipeline(), MAX_ARRAY_ELEMENTS, MAX_ANSWER_BYTES))),
                this::connected, this::connectFailed);
        }

        private void connected(Channel newChannel) {
            connectAttempt = null;
            channel = newChannel;
            openedAtMs = node.nowMs();
            lastUsedAtMs = openedAtMs;
            for (Connection connection : connections) {
                if (connection.channel == null) {
                    return;
                }
            }
            ready.complete(null);
        }

        private void connectFailed(Throwable cause) {
            node.invariants().checkEventLoop("the end of a connect to the counter");
            if (Connector.isLocalFailure(cause)) {
                node.countLocalFailure("connect");
            }
            connectAttempt = null;
            node.schedule(RECONNECT_DELAY_MS, this::connect);
        }

        /** Sends a command; its answer is the one that follows those of the calls already pending. */
        void write(PendingCall call, String... words) {
            pendingCalls.add(call);
            lastUsedAtMs = call.sentAtMs;
            channel.write(RespCodec.command(channel.alloc(), words))
                .addListener(future -> call.written = future.isSuccess());
            node.flushLater(channel);
        }

        /** Assigns the answers on a channel to the pending calls, in order. */
        private final class AnswerHandler extends ChannelInboundHandlerAdapter {
            private final RespCodec.FrameTracker frames;
            /** Set after an invalid answer: what follows it belongs to no call. */
            private boolean broken;

            private AnswerHandler(RespCodec.FrameTracker frames) {
                this.frames = frames;
            }

            @Override public void channelRead(ChannelHandlerContext ctx, Object msg) {
                try {
                    // a late answer, too, belongs to the oldest call
                    PendingCall call = broken ? null : pendingCalls.poll();
                    if (call == null || !reportAnswer(call, (RedisMessage) msg)) {
                        abort(ctx);
                    } else if (!call.ping) {
                        closeSilentConnections(call.sentAtMs);
                    }
                } finally {
                    ReferenceCountUtil.release(msg);
                }
            }

            /**
             * Reports the outcome of a call. False where the answer is invalid; without a number in it, the
             * amount has been added all the same, so the outcome is RESET.
             */
            private boolean reportAnswer(PendingCall call, RedisMessage msg) {
                if (call.ping) {
                    return msg instanceof SimpleStringRedisMessage;
                }
                ErrorLine error = ErrorLine.ofCounter(msg);
                if (error != null && error.code() != ErrorLine.Code.UNKNOWN) {
                    report(call, Gateway.Outcome.BUSY, 0); // nothing was added
                    return true;
                }
                String text = RespCodec.text(msg);
                double total = text == null ? Double.NaN : DecimalText.parse(text);
                boolean valid = !Double.isNaN(total);
                report(call, valid ? Gateway.Outcome.OK : Gateway.Outcome.RESET, valid ? total : 0);
                return valid;
            }

            /** Closes the channel and drops what it still receives. */
            private void abort(ChannelHandlerContext ctx) {
                broken = true;
                frames.discardInput();
                ctx.close();
            }

            @Override public void channelReadComplete(ChannelHandlerContext ctx) {
                node.flushChannels();
            }

            /** Ends the pending calls; the amount of one that was written may have been added. */
            @Override public void channelInactive(ChannelHandlerContext ctx) {
                channel = null;
                for (PendingCall call = pendingCalls.poll(); call != null; call = pendingCalls.poll()) {
                    report(call, call.written ? Gateway.Outcome.RESET : Gateway.Outcome.NO_CONNECTION, 0);
                }
                // the counters of this connection use no other: it reconnects at once, but waits where the
                // counter closes each connection as soon as it is open
                node.schedule(openedAtMs + RECONNECT_DELAY_MS - node.nowMs(), Connection.this::connect);
                node.flushChannels();
            }

            @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                if (!(cause instanceof java.io.IOException)) {
                    node.logError("counter", cause);
                }
                abort(ctx); // the decoder still passes on what it makes of the bytes behind the error
            }
        }
    }
}
