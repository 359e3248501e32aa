package willowyoke.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.ServerSocketChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.BulkStringHeaderRedisMessage;
import io.netty.handler.codec.redis.BulkStringRedisContent;
import io.netty.handler.codec.redis.ErrorRedisMessage;
import io.netty.handler.codec.redis.LastBulkStringRedisContent;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.handler.codec.redis.SimpleStringRedisMessage;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Set;
import willowyoke.net.Invariants.Invariant;

/**
 * Accepts clients' connections, reads commands from them and writes the answers in the order of the commands.
 */
final class ClientListener {
    /** Unanswered commands on one connection; further commands are refused as busy. */
    private static final int MAX_PIPELINED_COMMANDS = 256;
    /** How long the client has to close a connection after the node has shut down its output. */
    private static final double LINGER_MS = 200;
    private static final int MAX_COMMAND_PARTS = 16;
    /** A connection that has been silent for this long since its accept may make room for others. */
    private static final double SILENT_BEFORE_CLOSE_MS = 100;
    static final RedisMessage BUSY_ANSWER = new ErrorRedisMessage("BUSY");
    /** Bounds, in bytes, of the output of a slow client that is kept in this process. */
    private static final WriteBufferWaterMark WRITE_BUFFER_LIMITS =
        new WriteBufferWaterMark(16 * 1024, 32 * 1024);
    /** Output of a slow client that is kept in the socket. */
    private static final int SEND_BUFFER_BYTES = 128 * 1024;
    /** A connection without a whole command is closed after this; the protocol demands it within 3 s. */
    private static final double FIRST_COMMAND_TIMEOUT_MS = 2300;

    private final EdgeNode node;
    private final int maxConnections;
    /** Open connections, the least recently used first. */
    private final Set<Connection> connections = new LinkedHashSet<>();
    /** Null until the listening channel is registered. */
    private AcceptControl acceptControl;
    /** The node ends: each connection is closed as soon as it has no unanswered commands. */
    private boolean closing;
    private boolean roomCheckScheduled;
    /** Further requests are refused: the time until the process may be killed is for those that are open. */
    private boolean refusing;
    /** No connection is accepted any more; a bind that is still under way ends. */
    private boolean unbound;

    /** Closes idle connections when there are more than maxConnections. */
    ClientListener(EdgeNode node, int maxConnections) {
        this.node = node;
        this.maxConnections = maxConnections;
    }

    /** Listens on an address, or on the inherited socket; throws where that is not possible. */
    SocketAddress bind(EventLoopGroup group, SocketAddress address, boolean inherited)
        throws IOException, InterruptedException {
        ServerBootstrap bootstrap = new ServerBootstrap().group(group)
            .option(ChannelOption.SO_BACKLOG, 1024).option(ChannelOption.SO_REUSEADDR, true)
            .handler(new ChannelInitializer<ServerSocketChannel>() {
                @Override protected void initChannel(ServerSocketChannel channel) {
                    // set on the event loop, because a client may connect before bind has returned
                    acceptControl = new AcceptControl(node);
                    channel.pipeline().addLast(acceptControl);
                    if (unbound) {
                        channel.close();
                    }
                }
            })
            .childOption(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER_LIMITS)
            .childHandler(new ChannelInitializer<SocketChannel>() {
                @Override protected void initChannel(SocketChannel channel) {
                    Connection connection = new Connection(channel,
                        RespCodec.addTo(channel.pipeline(), MAX_COMMAND_PARTS));
                    channel.pipeline().addLast(connection);
                    connections.add(connection);
                    node.schedule(FIRST_COMMAND_TIMEOUT_MS, connection::closeIfSilent);
                    makeRoom();
                }
            });
        ChannelFuture listening = inherited ? Transport.listenOnInheritedSocket(bootstrap)
            : bootstrap.channel(Transport.serverSocketChannelClass()).bind(address);
        return listening.sync().channel().localAddress();
    }

    /**
     * Closes a connection when there are too many: the oldest that has carried no command, at once, or else
     * the one that has been idle for longest, which gets the time to read its last answer. When there is
     * none, no connection is accepted until one closes, or has been silent for long enough.
     */
    private void makeRoom() {
        if (connections.size() > maxConnections) {
            closeLeastUsed();
        }
        boolean full = connections.size() >= maxIncludingClosing(maxConnections);
        acceptControl.setFull(full);
        if (full && !roomCheckScheduled) {
            roomCheckScheduled = true;
            node.schedule(SILENT_BEFORE_CLOSE_MS, () -> {
                roomCheckScheduled = false;
                makeRoom();
            });
        }
    }

    private void closeLeastUsed() {
        Connection leastUsed = null;
        for (Connection connection : connections) {
            if (connection.isSilent()) {
                connection.closeSilent();
                return;
            }
            if (leastUsed == null && connection.commandReceived && connection.slots.isEmpty()
                && !connection.discardingInput) {
                leastUsed = connection;
            }
        }
        if (leastUsed != null) {
            leastUsed.endOutput();
        }
    }

    /** The limit on open connections, with those that are being closed to make room: a close takes time. */
    static int maxIncludingClosing(int maxConnections) {
        return maxConnections + Math.max(1, maxConnections / 16);
    }

    /** Closes each connection right after its next answer, when its client is least likely to be writing. */
    void closeAfterNextAnswer() {
        closing = true;
    }

    /**
     * Closes the connections without unanswered commands, each in an event of its own and only if no command
     * has been read from it by then. One that has carried no command yet stays open, as its first one may be
     * on its way and no client sends that again; it ends after its answer, or when it stays silent.
     */
    void closeIdleConnections() {
        closing = true;
        for (Connection connection : connections) {
            node.runLater(() -> {
                if (connection.commandReceived && connection.slots.isEmpty()) {
                    connection.endOutput();
                }
            });
        }
    }

    /**
     * Refuses all requests from here on, and closes each connection once it has no unanswered commands. A
     * client may send on an open connection until the process is killed.
     */
    void refuseFurtherRequests() {
        refusing = true;
        closeIdleConnections();
    }

    /** Whether connections may wait that could not be accepted just now. */
    boolean isAcceptFailing() {
        return acceptControl != null && acceptControl.hasFailed();
    }

    /** Stops accepting connections. */
    void unbind() {
        unbound = true;
        if (acceptControl != null) {
            acceptControl.close();
        }
    }

    /** Whether no connection is open. */
    boolean isIdle() {
        return connections.isEmpty();
    }

    /** Resumes reading from connections on which it had stopped for want of memory. */
    void resumeReading() {
        for (Connection connection : connections) {
            connection.updateAutoRead();
        }
    }

    /** Stops and resumes reading from the source of a streamed answer while the client falls behind. */
    interface FlowControl {
        /** Resumes reading when on is true, stops it when false. */
        void read(boolean on);
    }

    /** The place of one command's answer in the order of answers on its connection. */
    static final class AnswerSlot {
        private final Connection connection;
        /** Parts of a streamed answer that are not written yet. */
        private final ArrayDeque<RedisMessage> chunks = new ArrayDeque<>(0);
        private RedisMessage answer;
        /** How many commands in a row get this answer, so that refused commands share one slot. */
        private int repeatCount = 1;
        private FlowControl flowControl;
        /** The request that will be answered here, or null. */
        EdgeNode.PendingRequest request;

        private AnswerSlot(Connection connection) {
            this.connection = connection;
        }

        /** Sets the answer, which is written after those before it. */
        void answer(RedisMessage message) {
            connection.node().invariants().check(Invariant.SINGLE_ANSWER,
                answer == null && flowControl == null, () -> "a second answer in one place");
            answer = message;
            connection.writeReadyAnswers();
        }

        /** Begins an answer that is written in chunks as they are received. */
        void beginStream(BulkStringHeaderRedisMessage header, FlowControl flowControl) {
            this.flowControl = flowControl;
            chunks.add(header);
            connection.writeStream(this);
        }

        /** Adds the next chunk of a streamed answer. */
        void streamChunk(BulkStringRedisContent chunk) {
            chunks.add(chunk);
            connection.writeStream(this);
        }

        /** Closes the connection, because the rest of a streamed answer will not come. */
        void abort() {
            connection.traceClose("the rest of a streamed answer will not come");
            connection.channel.close();
        }
    }

    /** A connection of a client, as the last handler of its pipeline. */
    private final class Connection extends ChannelInboundHandlerAdapter {
        private final SocketChannel channel;
        private final RespCodec.FrameTracker frameTracker;
        private final ArrayDeque<AnswerSlot> slots = new ArrayDeque<>();
        private final double acceptedAtMs = node.nowMs();
        private boolean commandReceived;
        /** How long what is read may have waited in the accept queue; 0 after the first read. */
        private double queuedMs;
        private boolean discardingInput;
        private boolean outputEnded;
        private double lastWriteAtMs = Double.NEGATIVE_INFINITY;

        Connection(SocketChannel channel, RespCodec.FrameTracker frameTracker) {
            this.channel = channel;
            this.frameTracker = frameTracker;
            queuedMs = AcceptControl.queuedMs(channel);
        }

        private EdgeNode node() {
            return node;
        }

        /** Whether no command has come for a while, and no error is being answered. */
        private boolean isSilent() {
            return !commandReceived && slots.isEmpty() && !discardingInput
                && node.nowMs() - acceptedAtMs >= SILENT_BEFORE_CLOSE_MS;
        }

        /** Closes a connection on which nothing has been written. */
        private void closeSilent() {
            checkAnswered();
            traceClose("silent, and there are too many connections");
            discardInput();
            channel.close();
        }

        /** To be called before a close that the client has not caused. */
        private void checkAnswered() {
            for (AnswerSlot slot : slots) {
                node.invariants().check(Invariant.ANSWERED_BEFORE_CLOSE, slot.request == null,
                    () -> "request " + slot.request.call.requestId() + " is open");
            }
        }

        /** Writes the reason for a close to the trace, where that is on. */
        private void traceClose(String reason) {
            if (RequestTrace.ENABLED) {
                RequestTrace.log(node.nowMs(), "client " + channel.remoteAddress(), "closed",
                    reason + ", " + slots.size() + " open");
            }
        }

        @Override public void channelRead(ChannelHandlerContext ctx, Object msg) {
            node.invariants().checkEventLoop("a client's message");
            if (discardingInput) { // not accepted: the client sends it again elsewhere
                ReferenceCountUtil.release(msg);
                return;
            }
            if (slots.isEmpty()) {
                connections.remove(this);
                connections.add(this); // moves it to the end, as the most recently used
            }
            commandReceived = true;
            if (slots.size() >= MAX_PIPELINED_COMMANDS || !slots.isEmpty() && node.isMemoryFull()) {
                refuseUnread();
                ReferenceCountUtil.release(msg);
                return;
            }
            AnswerSlot slot = new AnswerSlot(this);
            slots.add(slot);
            try {
                if (msg instanceof ArrayRedisMessage command && command != ArrayRedisMessage.NULL_INSTANCE
                    && !command.children().isEmpty()) {
                    handleCommand(slot, command);
                } else {
                    slot.answer(new ErrorRedisMessage("ERR a command expected"));
                }
            } finally {
                ReferenceCountUtil.release(msg);
            }
            updateAutoRead();
        }

        /** Refuses a command in its turn. Reading goes on, as only a read shows that the client closes. */
        private void refuseUnread() {
            AnswerSlot last = slots.peekLast();
            if (last.answer == BUSY_ANSWER) {
                last.repeatCount++;
            } else {
                AnswerSlot slot = new AnswerSlot(this);
                slots.add(slot);
                slot.answer(BUSY_ANSWER);
            }
        }

        private void handleCommand(AnswerSlot slot, ArrayRedisMessage command) {
            String name = RespCodec.text(command.children().get(0));
            if ("CALL.GET".equals(name) || "CALL.POST".equals(name)) {
                String error = refusing ? node.refuseRequest(slot, command)
                    : node.acceptRequest(slot, command, queuedMs);
                if (error != null) {
                    slot.answer(new ErrorRedisMessage("ERR " + error));
                }
            } else if ("PING".equalsIgnoreCase(name)) {
                slot.answer(new SimpleStringRedisMessage("PONG"));
            } else {
                slot.answer(new ErrorRedisMessage("ERR unknown command"));
            }
        }

        /**
         * Stops reading while the client does not read its answers, and, when the pending requests take too
         * much memory, while none of them is of this connection. Otherwise reading goes on, because a close
         * by the client, which cancels its requests, shows only in a read. While answers are unread, it shows
         * in writing them.
         */
        private void updateAutoRead() {
            boolean read = discardingInput
                || channel.isWritable() && !(slots.isEmpty() && node.isMemoryFull());
            if (channel.config().isAutoRead() != read) {
                channel.config().setAutoRead(read);
            }
        }

        /** Writes the received part of a streamed answer in its turn; until then stops reading its source. */
        private void writeStream(AnswerSlot slot) {
            if (slot == slots.peek()) {
                writeReadyAnswers();
            } else {
                slot.flowControl.read(false);
            }
        }

        /** Writes all answers whose turn it is. */
        private void writeReadyAnswers() {
            while (!slots.isEmpty() && (slots.peek().answer != null || writeChunks(slots.peek()))) {
                AnswerSlot slot = slots.poll();
                lastWriteAtMs = node.nowMs();
                for (int i = 0; slot.answer != null && i < slot.repeatCount; i++) {
                    channel.write(slot.answer, channel.voidPromise());
                    node.flushLater(channel);
                }
            }
            if (slots.isEmpty() && (closing || discardingInput)) {
                endOutput();
            }
            updateAutoRead();
        }

        /** Writes the received chunks of a streamed answer; returns true with the last one. */
        private boolean writeChunks(AnswerSlot slot) {
            boolean last = false;
            while (!slot.chunks.isEmpty()) {
                last = slot.chunks.peek() instanceof LastBulkStringRedisContent;
                channel.write(slot.chunks.poll(), channel.voidPromise());
                node.flushLater(channel);
            }
            if (slot.flowControl != null) {
                slot.flowControl.read(last || channel.isWritable());
            }
            return last;
        }

        /**
         * Shuts down the output after all answers, then waits for the client to close: closing at once could
         * reset the connection, and the client would lose an answer.
         */
        private void endOutput() {
            if (!outputEnded) {
                checkAnswered();
                traceClose(closing ? "the node ends" : "idle, silent or malformed");
                outputEnded = true;
                discardInput();
                // Once all is flushed: a shutdown drops output that is still queued for a slow client.
                channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(f -> {
                    channel.shutdownOutput();
                    node.schedule(clientMayBeReading() ? EdgeNode.STALL_TIMEOUT_MS : LINGER_MS,
                        channel::close);
                });
                closeWithoutProgress(unwrittenBytes());
            }
        }

        /**
         * Whether the client may still be reading answers. At the node's end its connection stays open for
         * that: closing a socket with unread input resets the connection, and the output in the socket is
         * lost. Before the node's end, descriptors are needed more: idle connections make room for others.
         */
        private boolean clientMayBeReading() {
            return closing && node.nowMs() - lastWriteAtMs < EdgeNode.STALL_TIMEOUT_MS;
        }

        /** Closes the connection if its client has stopped reading answers; waits for a slow one. */
        private void closeWithoutProgress(long previousBytes) {
            node.schedule(EdgeNode.STALL_TIMEOUT_MS, () -> {
                if (channel.isOpen() && unwrittenBytes() == previousBytes) {
                    traceClose("the client reads nothing");
                    channel.close();
                } else if (channel.isOpen()) {
                    closeWithoutProgress(unwrittenBytes());
                }
            });
        }

        /** Output that is still queued in this process. */
        private long unwrittenBytes() {
            return channel.unsafe().outboundBuffer() == null ? 0
                : channel.unsafe().outboundBuffer().totalPendingWriteBytes();
        }

        /** Drops all further input before it is decoded, because there may be much of it. */
        private void discardInput() {
            discardingInput = true;
            frameTracker.discardInput();
            updateAutoRead();
        }

        @Override public void channelReadComplete(ChannelHandlerContext ctx) {
            queuedMs = commandReceived ? 0 : queuedMs;
            node.flushChannels();
        }

        @Override public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            AnswerSlot first = slots.peek();
            if (first != null && first.flowControl != null) {
                first.flowControl.read(channel.isWritable());
            }
            updateAutoRead();
        }

        @Override public void channelInactive(ChannelHandlerContext ctx) {
            connections.remove(this);
            while (!slots.isEmpty()) {
                AnswerSlot slot = slots.poll();
                ReferenceCountUtil.release(slot.answer);
                slot.chunks.forEach(ReferenceCountUtil::release);
                if (slot.request != null) {
                    node.clientDisconnected(slot.request);
                }
            }
            makeRoom();
            node.flushChannels();
        }

        /**
         * Closes a connection that has sent no whole command. It gets no error, which a client that is just
         * writing would take for its answer.
         */
        private void closeIfSilent() {
            if (!commandReceived && channel.isActive()) {
                endOutput();
            }
        }

        /** Ends the connection after malformed input: where the next command begins is unknown. */
        @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (cause instanceof io.netty.handler.codec.CodecException) {
                if (!discardingInput) {
                    discardInput();
                    AnswerSlot last = new AnswerSlot(this);
                    slots.add(last);
                    last.answer(new ErrorRedisMessage("ERR malformed"));
                }
                return;
            }
            if (!(cause instanceof java.io.IOException)) {
                node.logError("client connection", cause);
                checkAnswered();
            }
            traceClose(cause.toString());
            channel.close();
        }
    }
}
