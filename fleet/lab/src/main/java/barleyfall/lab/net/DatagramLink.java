package barleyfall.lab.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.epoll.EpollDatagramChannel;
import io.netty.channel.socket.DatagramPacket;
import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * A UDP proxy between two edge nodes, A and B. Each of them finds the other at an address that only this pair
 * uses, and receives the datagrams of the other from that same address. Datagrams are delayed, throttled and
 * dropped as the link says.
 */
public final class DatagramLink implements AutoCloseable {
    private static final double NANOS_PER_MS = 1e6;

    private final EventLoop loop;
    private final SplittableRandom random;
    private final Channel proxyOfB;
    private final Channel proxyOfA;

    /**
     * Opens both proxy sockets.
     *
     * @param link the link as A sees it: A is its edge node, B its peer
     * @param addressOfA where A listens
     * @param addressOfB where B listens
     * @param proxyAddressOfB where A finds B
     * @param proxyAddressOfA where B finds A
     */
    public DatagramLink(EventLoop loop, Link link, InetSocketAddress addressOfA, InetSocketAddress addressOfB,
        InetSocketAddress proxyAddressOfB, InetSocketAddress proxyAddressOfA, long seed) {
        this.loop = loop;
        random = new SplittableRandom(seed);
        this.proxyOfB = bind(proxyAddressOfB, link.toPeer(), addressOfB, true);
        this.proxyOfA = bind(proxyAddressOfA, link.toEdge(), addressOfA, false);
    }

    /**
     * Binds a proxy socket and forwards what it receives to a destination, from the other proxy's address.
     */
    private Channel bind(InetSocketAddress bindAddress, OneWayLink direction,
        InetSocketAddress destination, boolean fromA) {
        return new Bootstrap().group(loop).channel(EpollDatagramChannel.class)
            .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                @Override protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
                    if (direction.isCut() || random.nextDouble() < direction.lossFraction()) {
                        return;
                    }
                    ByteBuf content = packet.content().retainedDuplicate();
                    double delayMs = direction.delayMs(random.nextDouble())
                        + direction.transmissionMs(content.readableBytes());
                    loop.schedule(() -> (fromA ? proxyOfA : DatagramLink.this.proxyOfB)
                        .writeAndFlush(new DatagramPacket(content, destination)),
                        (long) (delayMs * NANOS_PER_MS), TimeUnit.NANOSECONDS);
                }
            }).bind(bindAddress).syncUninterruptibly().channel();
    }

    @Override public void close() {
        proxyOfB.close().syncUninterruptibly();
        proxyOfA.close().syncUninterruptibly();
    }
}
