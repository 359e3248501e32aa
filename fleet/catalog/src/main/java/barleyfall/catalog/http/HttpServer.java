package barleyfall.catalog.http;

import barleyfall.catalog.replica.Replica;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.epoll.EpollIoHandler;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/** The HTTP/1.1 server of a replica. */
public final class HttpServer implements AutoCloseable {
    private static final int EVENT_LOOP_COUNT = 2;
    private static final int ACCEPT_BACKLOG = 4096;
    /**
     * The kernel's send buffer of a connection. By default it grows to megabytes for a client that reads
     * nothing.
     */
    private static final int SEND_BUFFER_BYTES = 256 << 10;
    /** The longest body is a snapshot to restore. */
    private static final int MAX_BODY_BYTES = 64 << 20;

    private final EventLoopGroup eventLoops =
        new MultiThreadIoEventLoopGroup(EVENT_LOOP_COUNT, EpollIoHandler.newFactory());
    private final Watches watches;
    private final Channel channel;

    /** Starts to listen at the replica's HTTP address; throws if that is not possible. */
    public HttpServer(Replica replica) throws IOException {
        watches = new Watches(replica, eventLoops);
        Metrics metrics = new Metrics(replica, watches);
        String address = replica.settings().self().http();
        int colon = address.lastIndexOf(':');
        int bufferBytes = replica.settings().watching().bufferBytes();
        try {
            channel = new ServerBootstrap().group(eventLoops).channel(EpollServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK,
                    new WriteBufferWaterMark(bufferBytes / 2, bufferBytes))
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override protected void initChannel(SocketChannel connection) {
                        connection.pipeline().addLast(new HttpServerCodec(),
                            new HttpObjectAggregator(MAX_BODY_BYTES),
                            new RequestHandler(replica, watches, metrics));
                    }
                }).bind(new InetSocketAddress(address.substring(0, colon),
                    Integer.parseInt(address.substring(colon + 1))))
                .syncUninterruptibly().channel();
        } catch (RuntimeException | Error e) {
            eventLoops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
            throw e;
        } catch (Exception e) { // Netty throws checked exceptions that it doesn't declare
            eventLoops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
            throw new IOException("cannot listen on " + address + ": " + e.getMessage(), e);
        }
    }

    /** Notifies the watches that the list has changed. May be called on any thread. */
    public void listChanged() {
        watches.listChanged();
    }

    @Override public void close() {
        channel.close().syncUninterruptibly();
        eventLoops.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }
}
