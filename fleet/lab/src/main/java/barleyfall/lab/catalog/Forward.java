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

/** Behind a door: passes a connection on to where the party really listens, byte for byte, both ways. */
final class Forward extends ChannelInboundHandlerAdapter {
    private static final int CONNECT = 1000;

    private final InetSocketAddress to;
    private final ArrayDeque<Object> early = new ArrayDeque<>();
    private Channel far;

    Forward(InetSocketAddress to) {
        this.to = to;
    }

    @Override public void channelActive(ChannelHandlerContext near) {
        new Bootstrap().group(near.channel().eventLoop()).channel(EpollSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true).option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT)
            .handler(new ChannelInboundHandlerAdapter() {
                @Override public void channelRead(ChannelHandlerContext ctx, Object message) {
                    near.writeAndFlush(message);
                }

                @Override public void channelInactive(ChannelHandlerContext ctx) {
                    near.close();
                }

                @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                    ctx.close();
                }
            }).connect(to).addListener(f -> {
                if (f.isSuccess() && near.channel().isActive()) {
                    far = ((io.netty.channel.ChannelFuture) f).channel();
                    early.forEach(far::writeAndFlush);
                    early.clear();
                } else if (f.isSuccess()) {
                    ((io.netty.channel.ChannelFuture) f).channel().close();
                } else {
                    // refused there: reset here
                    near.channel().config().setOption(ChannelOption.SO_LINGER, 0);
                    near.close();
                }
            });
    }

    @Override public void channelRead(ChannelHandlerContext near, Object message) {
        if (far == null) {
            early.add(message);
        } else {
            far.writeAndFlush(message);
        }
    }

    @Override public void channelInactive(ChannelHandlerContext near) {
        early.forEach(ReferenceCountUtil::release);
        early.clear();
        if (far != null) {
            far.close();
        }
    }

    @Override public void exceptionCaught(ChannelHandlerContext near, Throwable cause) {
        near.close();
    }
}
