package barleyfall.lab.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * The first handler of each connection: it delays what is read and what is written by the delays of the link
 * and keeps the order. A cut direction silently holds everything back.
 */
public final class LinkHandler extends ChannelDuplexHandler {
    private static final double CUT_CHECK_INTERVAL_MS = 5;
    private static final double NANOS_PER_MS = 1e6;
    /** Stands for a close of the channel in the queue of outgoing messages. */
    private static final Object CLOSE_MARKER = new Object();

    /**
     * A message in transit; {@code dueMs} is by the system's monotonic clock, {@code sentAtMs} by the lab's
     * clock.
     */
    private record DelayedMessage(double dueMs, double sentAtMs, Object message, ChannelPromise promise) { }

    /** The messages in transit in one direction of this connection. */
    private final class DelayQueue {
        private final OneWayLink direction;
        private final boolean isInbound;
        private final ArrayDeque<DelayedMessage> messages = new ArrayDeque<>();
        private double lastDueMs;
        private boolean timerArmed;

        DelayQueue(OneWayLink direction, boolean isInbound) {
            this.direction = direction;
            this.isInbound = isInbound;
        }

        /** Puts a message in transit. */
        void add(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
            double nowMs = System.nanoTime() / NANOS_PER_MS;
            int sizeBytes = message instanceof ByteBuf b ? b.readableBytes() : 0;
            lastDueMs = Math.max(lastDueMs, nowMs + direction.delayMs(random.nextDouble()))
                + direction.transmissionMs(sizeBytes);
            double sentMs = clock.nowMs() - (isInbound ? EventLoopLag.possibleDelayMs() : 0);
            messages.add(new DelayedMessage(lastDueMs, sentMs, message, promise));
            scheduleDelivery(ctx);
        }

        /** Arms the timer for the next message. While the direction is cut, it is checked every few ms. */
        void scheduleDelivery(ChannelHandlerContext ctx) {
            if (timerArmed || messages.isEmpty()) {
                return;
            }
            timerArmed = true;
            double waitMs = Math.max(messages.peek().dueMs() - System.nanoTime() / NANOS_PER_MS,
                direction.isCut() ? CUT_CHECK_INTERVAL_MS : 0);
            ctx.executor().schedule(() -> {
                timerArmed = false;
                deliver(ctx, false);
                scheduleDelivery(ctx);
            }, (long) (waitMs * NANOS_PER_MS), TimeUnit.NANOSECONDS);
        }

        /** Delivers what is due, or everything if the delay is to be ignored, unless the direction is cut. */
        void deliver(ChannelHandlerContext ctx, boolean ignoreDelay) {
            boolean delivered = false;
            while (!messages.isEmpty() && !direction.isCut()
                && (ignoreDelay || messages.peek().dueMs() <= System.nanoTime() / NANOS_PER_MS)) {
                DelayedMessage next = messages.poll();
                delivered = true;
                if (isInbound) {
                    sentAtMs = next.sentAtMs();
                    ctx.fireChannelRead(next.message());
                } else if (next.message() == CLOSE_MARKER) {
                    ctx.close(next.promise());
                } else {
                    ctx.write(next.message(), next.promise());
                }
            }
            if (delivered && isInbound) {
                ctx.fireChannelReadComplete();
            } else if (delivered) {
                ctx.flush();
            }
        }

        /** Releases all messages in transit and fails their promises. */
        void releaseAll() {
            messages.forEach(next -> {
                ReferenceCountUtil.release(next.message());
                if (next.promise() != null) {
                    next.promise().tryFailure(new java.nio.channels.ClosedChannelException());
                }
            });
            messages.clear();
        }
    }

    private final LabClock clock;
    private final Link link;
    private final SplittableRandom random;
    private final DelayQueue inbound;
    private final DelayQueue outbound;
    private double sentAtMs;

    /**
     * Creates the handler of one connection.
     *
     * @param atPeer whether this end of the connection is the peer's, so that what it reads comes from the
     * edge node
     */
    public LinkHandler(LabClock clock, Link link, boolean atPeer, long seed) {
        this.clock = clock;
        this.link = link;
        random = new SplittableRandom(seed);
        inbound = new DelayQueue(atPeer ? link.toPeer() : link.toEdge(), true);
        outbound = new DelayQueue(atPeer ? link.toEdge() : link.toPeer(), false);
    }

    /**
     * Returns when the bytes that are being delivered were written by the other side, on the lab's clock:
     * when they were read, less the time for which this loop may have left them unread.
     */
    public double sentAtMs() {
        return sentAtMs;
    }

    /** Closes a connection with a reset, past what is in transit. */
    static void reset(Channel channel) {
        channel.eventLoop().execute(() -> {
            if (channel.isActive()) {
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
                channel.unsafe().close(channel.unsafe().voidPromise()); // bypasses the delay queues
            }
        });
    }

    @Override public void channelActive(ChannelHandlerContext ctx) {
        link.track(ctx.channel());
        ctx.fireChannelActive();
    }

    @Override public void channelRead(ChannelHandlerContext ctx, Object message) {
        inbound.add(ctx, message, null);
    }

    @Override public void channelReadComplete(ChannelHandlerContext ctx) {
        // fired when messages are delivered
    }

    @Override public void channelInactive(ChannelHandlerContext ctx) {
        inbound.deliver(ctx, true);
        inbound.releaseAll();
        outbound.releaseAll();
        ctx.fireChannelInactive();
    }

    @Override public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
        if (!ctx.channel().isActive()) { // its queues were emptied, so nothing would release the message
            ReferenceCountUtil.release(message);
            promise.tryFailure(new java.nio.channels.ClosedChannelException());
            return;
        }
        outbound.add(ctx, message, promise);
    }

    @Override public void flush(ChannelHandlerContext ctx) {
        // messages are flushed when they are delivered
    }

    @Override public void close(ChannelHandlerContext ctx, ChannelPromise promise) {
        if (outbound.messages.isEmpty()) {
            ctx.close(promise);
        } else {
            outbound.add(ctx, CLOSE_MARKER, promise);
        }
    }
}
