package barleyfall.lab.catalog;

import barleyfall.catalog.client.CatalogClient;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.epoll.EpollIoHandler;
import io.netty.channel.epoll.EpollSocketChannel;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Opens two thousand watches at one replica at once, each of which has to receive the whole list. */
final class ManyWatchesBenchmark {
    private static final int WATCH_COUNT = 2000;
    private static final int TIMEOUT_SECONDS = 120;
    private static final String FOLLOW_REQUEST =
        "GET /catalog/members?follow=1&since=-1 HTTP/1.1\r\nHost: x\r\n\r\n";

    private final ReplicaCluster cluster;
    private final Consumer<String> output;
    private final CountDownLatch wholeListReceived = new CountDownLatch(WATCH_COUNT);
    private final CountDownLatch changeReceived = new CountDownLatch(WATCH_COUNT);

    ManyWatchesBenchmark(ReplicaCluster cluster, Consumer<String> output) {
        this.cluster = cluster;
        this.output = output;
    }

    /** Reads one watch and counts its JSON lines, which are recognized by a brace before the line end. */
    private final class WatchReader extends SimpleChannelInboundHandler<ByteBuf> {
        private int lineCount;
        private byte lastByte;

        @Override public void channelActive(ChannelHandlerContext ctx) {
            ctx.writeAndFlush(Unpooled.copiedBuffer(FOLLOW_REQUEST, StandardCharsets.US_ASCII));
        }

        @Override protected void channelRead0(ChannelHandlerContext ctx, ByteBuf in) {
            while (in.isReadable()) {
                int end = in.bytesBefore((byte) '\n');
                int length = end < 0 ? in.readableBytes() : end;
                lastByte = length > 0 ? in.getByte(in.readerIndex() + length - 1) : lastByte;
                in.skipBytes(end < 0 ? length : length + 1);
                if (end >= 0 && lastByte == '}') {
                    (++lineCount == 1 ? wholeListReceived : changeReceived).countDown();
                }
                lastByte = end >= 0 ? 0 : lastByte;
            }
        }
    }

    /** Measures with a list of so many members, of which the last one is changed. */
    void run(int memberCount) throws IOException {
        EventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(4, EpollIoHandler.newFactory());
        String[] address = cluster.http(0).split(":");
        long memoryBeforeMb = cluster.memoryMb(0);
        long beganNanos = System.nanoTime();
        List<Channel> channels = new ArrayList<>();
        Bootstrap bootstrap = new Bootstrap().group(eventLoops).channel(EpollSocketChannel.class);
        for (int i = 0; i < WATCH_COUNT; i++) {
            channels.add(bootstrap.clone().handler(new WatchReader())
                .connect(address[0], Integer.parseInt(address[1])).channel());
        }
        double listMs = awaitAll(wholeListReceived, beganNanos);
        long memoryAfterMb = cluster.memoryMb(0);
        long changedNanos = System.nanoTime();
        new CatalogClient(cluster.httpAddressesFrom(1), Duration.ofSeconds(10))
            .post("pin", CatalogClient.newBody().put("host", "m" + (memberCount - 1)));
        double changeMs = awaitAll(changeReceived, changedNanos);
        channels.forEach(Channel::close);
        eventLoops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
        output.accept(String.format("%d watches opened at once at one replica: all have the list after "
            + "%.1f s, memory %d to %d MB; a change reaches all in %.0f ms", WATCH_COUNT, listMs / 1000,
            memoryBeforeMb, memoryAfterMb, changeMs));
    }

    /** Waits for all watches; returns the milliseconds since the given time. */
    private static double awaitAll(CountDownLatch latch, long sinceNanos) throws IOException {
        try {
            if (!latch.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                throw new IOException(latch.getCount() + " of " + WATCH_COUNT
                    + " watches did not receive it");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
        return (System.nanoTime() - sinceNanos) / 1e6;
    }
}
