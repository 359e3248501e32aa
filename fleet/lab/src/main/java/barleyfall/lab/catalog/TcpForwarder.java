package barleyfall.lab.catalog;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;

/** Forwards an accepted connection to the address on which the party really listens, in both directions. */
final class TcpForwarder extends ChannelInboundHandlerAdapter {
    private static final int CONNECT_TIMEOUT_MS = 1000;

    private final InetSocketAddress target;
    /** What arrived before the connection to the target was up. */
    private final ArrayDeque<Object> pendingWrites = new ArrayDeque<>();
    private Channel targetChannel;

    TcpForwarder(InetSocketAddress target) {
        this.target = target;
    }

    @Override public void channelActive(ChannelHandlerContext client) {
        new Bootstrap().group(client.channel().eventLoop()).channel(EpollSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .handler(new ChannelInboundHandlerAdapter() {
                @Override public void channelRead(ChannelHandlerContext ctx, Object message) {
                    client.writeAndFlush(message);
                }

                @Override public void channelInactive(ChannelHandlerContext ctx) {
                    client.close();
                }

                @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                    ctx.close();
                }
            }).connect(target).addListener(connected -> {
                if (connected.isSuccess() && client.channel().isActive()) {
                    targetChannel = ((io.netty.channel.ChannelFuture) connected).channel();
                    pendingWrites.forEach(targetChannel::writeAndFlush);
                    pendingWrites.clear();
                } else if (connected.isSuccess()) {
                    ((io.netty.channel.ChannelFuture) connected).channel().close();
                } else {
                    // the target refused the connection: reset this one
                    client.channel().config().setOption(ChannelOption.SO_LINGER, 0);
                    client.close();
                }
            });
    }

    @Override public void channelRead(ChannelHandlerContext client, Object message) {
        if (targetChannel == null) {
            pendingWrites.add(message);
        } else {
            targetChannel.writeAndFlush(message);
        }
    }

    @Override public void channelInactive(ChannelHandlerContext client) {
        pendingWrites.forEach(ReferenceCountUtil::release);
        pendingWrites.clear();
        if (targetChannel != null) {
            targetChannel.close();
        }
    }

    @Override public void exceptionCaught(ChannelHandlerContext client, Throwable cause) {
        client.close();
    }
}
