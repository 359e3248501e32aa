package willowyoke.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.ServerSocketChannel;
import io.netty.channel.socket.SocketChannel;
import java.io.IOException;
import java.net.SocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import willowyoke.MemoryPolicy;
import willowyoke.net.ClientConnection.EndReason;

/**
 * Accepts clients' connections, and decides which of them make room for others and when they are ended.
 */
final class ClientListener {
    /** Connections that are accepted after one poll; by default it is one, which is slow in a crowd. */
    private static final int MAX_ACCEPTED_IN_ROW = 16;
    /** Bounds, in bytes, of the output of a slow client that is kept in this process. */
    private static final WriteBufferWaterMark WRITE_BUFFER_LIMITS =
        new WriteBufferWaterMark(16 * 1024, 32 * 1024);
    /** Sizes of the buffers into which a client's input is read, in bytes. */
    private static final AdaptiveRecvByteBufAllocator RECEIVE_BUFFERS =
        new AdaptiveRecvByteBufAllocator(64, 2048, MemoryPolicy.SHARE_BYTES);
    /** Output of a slow client that is kept in the socket. */
    private static final int SEND_BUFFER_BYTES = 128 * 1024;

    private final EdgeNode node;
    private final int maxConnections;
    /** Open connections, the least recently used first. */
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    /** Null until the listening channel is registered. */
    private AcceptControl acceptControl;
    /** The node ends: each connection that has been used is ended as soon as nothing is owed on it. */
    private boolean ending;
    private boolean roomCheckScheduled;
    /** Further requests are refused: the time until the process may be killed is for those that are open. */
    private boolean refusing;
    /** No connection is accepted any more; a bind that is still under way ends. */
    private boolean unbound;
    private long lastConnectionId;

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
            .option(ChannelOption.RECVBUF_ALLOCATOR, new ServerChannelRecvByteBufAllocator()
                .respectMaybeMoreData(false).maxMessagesPerRead(MAX_ACCEPTED_IN_ROW))
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
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, RECEIVE_BUFFERS)
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER_LIMITS)
            .childHandler(new ChannelInitializer<SocketChannel>() {
                @Override protected void initChannel(SocketChannel channel) {
                    connections.add(new ClientConnection(node, ClientListener.this, channel));
                    makeRoom();
                }
            });
        ChannelFuture listening = inherited ? Transport.listenOnInheritedSocket(bootstrap)
            : bootstrap.channel(Transport.serverSocketChannelClass()).bind(address);
        return listening.sync().channel().localAddress();
    }

    /**
     * Ends a connection when there are too many: the oldest on which nothing has come, or else the one that
     * has been idle for longest, which gets the time to read its last answer. When no more can be accepted,
     * commands that have stopped half way are refused, or else those that are slow. When there is none of
     * all these, no connection is accepted until one closes, or has been silent for long enough.
     */
    void makeRoom() {
        if (connections.size() > maxConnections) {
            endLeastUsed();
        }
        boolean full = connections.size() >= maxIncludingClosing(maxConnections);
        acceptControl.setFull(full);
        if (full && !refuseIncomplete(ClientConnection::isStalled)) {
            refuseIncomplete(ClientConnection::isSlow);
        }
        if (full && !roomCheckScheduled) {
            roomCheckScheduled = true;
            node.schedule(ClientConnection.SILENT_BEFORE_CLOSE_MS, () -> {
                roomCheckScheduled = false;
                makeRoom();
            });
        }
    }

    /** Refuses the commands of such connections, which are incomplete; false where there are none. */
    private boolean refuseIncomplete(Predicate<ClientConnection> which) {
        List<ClientConnection> chosen = connections.stream().filter(which).toList();
        chosen.forEach(ClientConnection::refuseIncompleteCommand);
        return !chosen.isEmpty();
    }

    private void endLeastUsed() {
        ClientConnection leastUsed = null;
        for (ClientConnection connection : connections) {
            if (connection.isSilent()) {
                connection.requestEnd(EndReason.MAKE_ROOM);
                return;
            }
            if (leastUsed == null && connection.isIdle()) {
                leastUsed = connection;
            }
        }
        if (leastUsed != null) {
            leastUsed.requestEnd(EndReason.MAKE_ROOM);
        }
    }

    /** Returns the number of a new connection, from 1. */
    long nextConnectionId() {
        return ++lastConnectionId;
    }

    /** Moves a connection to the end, as the most recently used. */
    void connectionUsed(ClientConnection connection) {
        connections.remove(connection);
        connections.add(connection);
    }

    /** Forgets a connection that is closed. */
    void connectionClosed(ClientConnection connection) {
        connections.remove(connection);
    }

    /** The limit on open connections, with those that are being closed to make room: a close takes time. */
    static int maxIncludingClosing(int maxConnections) {
        return maxConnections + Math.max(1, maxConnections / 16);
    }

    /** Ends each connection that has been used with its next answer, when its client can't be writing. */
    void endAfterNextAnswer() {
        ending = true;
    }

    /** Whether each connection that has been used is ended as soon as nothing is owed on it. */
    boolean isEnding() {
        return ending;
    }

    /**
     * Ends the connections on which nothing is owed, one after the other, over a time: the least recently
     * used first, as its client is the least likely to be writing, while those in use end with their next
     * answers. One that has carried no command yet stays open, as its first one may be on its way and no
     * client sends that again; it ends after its answer, or when it stays silent.
     */
    void endIdleConnections(double withinMs) {
        ending = true;
        long idleCount = connections.stream().filter(ClientConnection::isIdle).count();
        endNextIdle(withinMs / Math.max(1, idleCount));
    }

    private void endNextIdle(double intervalMs) {
        for (ClientConnection connection : connections) {
            if (connection.isIdle()) {
                connection.requestEnd(EndReason.NODE_ENDS);
                node.schedule(intervalMs, () -> endNextIdle(intervalMs));
                return;
            }
        }
    }

    /**
     * Refuses all requests from here on. A client may send on an open connection until the process is killed.
     */
    void refuseFurtherRequests() {
        refusing = true;
    }

    /** Ends all connections now; a command that has been read in part is refused. */
    void endAll() {
        for (ClientConnection connection : connections.toArray(new ClientConnection[0])) {
            connection.endNow();
        }
    }

    /** Whether all requests that come are refused. */
    boolean isRefusing() {
        return refusing;
    }

    /** Whether connections may wait in the accept queue. */
    boolean mayHaveWaiting() {
        return acceptControl != null && acceptControl.mayHaveWaiting();
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

    /** How many connections are open. */
    int connectionCount() {
        return connections.size();
    }
}
