package willowyoke.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import java.net.InetSocketAddress;
import java.util.function.Consumer;

/**
 * Opens connections, and reports each outcome on the event loop. Netty itself reports a socket that cannot be
 * made on a thread of its own, as such a channel has no event loop; what a listener changed there was changed
 * beside the event loop.
 */
final class Connector {
    private final EventLoopGroup eventLoopGroup;
    private final Bootstrap bootstrap;

    /** A group of one event loop, and how long a connect may take. */
    Connector(EventLoopGroup eventLoopGroup, int timeoutMs) {
        this.eventLoopGroup = eventLoopGroup;
        bootstrap = new Bootstrap().group(eventLoopGroup).channel(Transport.socketChannelClass())
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMs);
    }

    /** Sets an option of all sockets. */
    <T> Connector option(ChannelOption<T> option, T value) {
        bootstrap.option(option, value);
        return this;
    }

    /** A connect that is under way or over. */
    static final class Connect {
        private final ChannelFuture future;

        private Connect(ChannelFuture future) {
            this.future = future;
        }

        /** Ends a connect under way, which then fails; closes the connection of one that has succeeded. */
        void cancel() {
            if (!future.isDone() || future.isSuccess()) {
                future.channel().close();
            }
        }
    }

    /**
     * Connects. One of the two listeners is called on the event loop, never before this method has returned.
     *
     * @param initializer adds the handlers to the channel
     * @param failed called with the cause
     */
    Connect connect(InetSocketAddress address, Consumer<SocketChannel> initializer, Consumer<Channel> connected,
        Consumer<Throwable> failed) {
        ChannelFuture future = bootstrap.clone().handler(new ChannelInitializer<SocketChannel>() {
            @Override protected void initChannel(SocketChannel channel) {
                initializer.accept(channel);
            }
        }).connect(address);
        future.addListener(f -> {
            if (f.isSuccess()) {
                connected.accept(future.channel());
            } else {
                eventLoopGroup.execute(() -> failed.accept(f.cause()));
            }
        });
        return new Connect(future);
    }
}
