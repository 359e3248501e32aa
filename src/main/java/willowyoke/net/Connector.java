package willowyoke.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Opens connections, and reports each outcome on the event loop. Netty itself reports a socket that cannot be
 * made on a thread of its own, as such a channel has no event loop; what a listener changed there was changed
 * beside the event loop.
 */
final class Connector {
    /** How Netty's epoll transport tells the error number of a failed connect. */
    private static final Pattern ERROR_NUMBER = Pattern.compile("error\\(-(\\d+)\\)");
    /** ECONNRESET, ETIMEDOUT and ECONNREFUSED on Linux. */
    private static final Set<Integer> REMOTE_ERRORS = Set.of(104, 110, 111);
    /** The texts of these, in lower case, for the other transport, which tells no numbers. */
    private static final List<String> REMOTE_REASONS = List.of("refused", "reset", "timed out");

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

    /**
     * Whether a connect failed for a reason of this machine (no descriptor, buffer, port or route), which
     * tells nothing of the other side. A refusal, a reset and a timeout come from there.
     */
    static boolean isLocalFailure(Throwable cause) {
        if (cause instanceof ConnectTimeoutException) {
            return false;
        }
        if (cause instanceof ChannelException || cause instanceof NoRouteToHostException) {
            return true;
        }
        String message = String.valueOf(cause.getMessage()).toLowerCase(Locale.ROOT);
        Matcher number = ERROR_NUMBER.matcher(message);
        if (number.find()) {
            return !REMOTE_ERRORS.contains(Integer.parseInt(number.group(1)));
        }
        return REMOTE_REASONS.stream().noneMatch(message::contains);
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
    Connect connect(InetSocketAddress address, Consumer<SocketChannel> initializer,
        Consumer<Channel> connected, Consumer<Throwable> failed) {
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
