package willowyoke.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.string.StringDecoder;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;

/**
 * Accepts operators' commands on the control address. Each connection carries one line with a command, and
 * its answer.
 */
final class ControlListener {
    /** Answer to a command that was carried out. */
    static final String YES = "SUCCESS";
    /** First word of the answer to a command that was not carried out; the reason follows. */
    static final String NO = "FAILURE";
    /** Longer than any server id: a longer line is not a command. */
    private static final int MAX_LINE_BYTES = 256;
    /** A connection that has sent no whole line is closed after this time. */
    private static final int LINE_TIMEOUT_MS = 6000;
    /** A connection whose peer does not close it after the answer is closed after this time. */
    private static final int LINGER_MS = 500;

    private final EdgeNode node;
    private final int maxConnections;
    private final UnaryOperator<String> commandHandler;
    private final Set<SocketChannel> connections = new LinkedHashSet<>();

    /** The handler returns the answer to a line; it is called on the event loop. */
    ControlListener(EdgeNode node, int maxConnections, UnaryOperator<String> commandHandler) {
        this.node = node;
        this.maxConnections = maxConnections;
        this.commandHandler = commandHandler;
    }

    /** Listens on an address and returns the one that was bound. */
    SocketAddress bind(EventLoopGroup group, SocketAddress address) throws InterruptedException {
        return new ServerBootstrap().group(group).channel(Transport.serverSocketChannelClass())
            .handler(new AcceptControl(node))
            .childHandler(new ChannelInitializer<SocketChannel>() {
                @Override protected void initChannel(SocketChannel channel) {
                    connectionOpened(channel);
                    channel.pipeline().addLast(new LineBasedFrameDecoder(MAX_LINE_BYTES, true, true),
                        new StringDecoder(StandardCharsets.UTF_8), new LineHandler());
                }
            }).bind(address).sync().channel().localAddress();
    }

    /**
     * Closes the oldest connection when there are too many. It has not sent its whole line, because a whole
     * one is answered at once.
     */
    private void connectionOpened(SocketChannel channel) {
        connections.add(channel);
        channel.closeFuture().addListener(f -> connections.remove(channel));
        closeAfter(channel, LINE_TIMEOUT_MS);
        if (connections.size() > maxConnections) {
            connections.iterator().next().close();
        }
    }

    private static void closeAfter(SocketChannel channel, int delayMs) {
        channel.eventLoop().schedule(() -> channel.close(), delayMs, TimeUnit.MILLISECONDS);
    }

    /** Answers the first line of a connection. */
    private final class LineHandler extends SimpleChannelInboundHandler<String> {
        private boolean answered;

        @Override protected void channelRead0(ChannelHandlerContext ctx, String line) {
            answer(ctx, line);
        }

        private void answer(ChannelHandlerContext ctx, String line) {
            if (answered) {
                return; // only the first line of a connection is answered
            }
            answered = true;
            String reply = commandHandler.apply(line.strip()) + "\n";
            SocketChannel channel = (SocketChannel) ctx.channel();
            ctx.writeAndFlush(ByteBufUtil.writeUtf8(ctx.alloc(), reply)).addListener(f -> {
                channel.shutdownOutput();
                closeAfter(channel, LINGER_MS);
            });
        }

        @Override public void channelReadComplete(ChannelHandlerContext ctx) {
            node.flushChannels();
        }

        @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (cause instanceof TooLongFrameException) {
                answer(ctx, "");
            } else {
                ctx.close();
            }
        }
    }
}
