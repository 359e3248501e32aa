package willowyoke.net;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.redis.RedisMessage;

/**
 * The output of a client's connection, and what of it is still queued in this process because the client
 * does not read. It is a handler in front of the codec, so that it sees each flush.
 */
final class ClientOutput extends ChannelOutboundHandlerAdapter {
    private final EdgeNode node;
    private final SocketChannel channel;
    private final MemoryAccount.Part unsent;
    private double lastWriteAtMs = Double.NEGATIVE_INFINITY;
    /** Until when the client may still want what is queued. */
    private double wantedUntilMs = Double.NEGATIVE_INFINITY;
    /** The last output is kept back, so that the end goes with it. */
    private boolean keptBack;
    /** What is queued is measured again when it has been sent. */
    private boolean measurePending;

    ClientOutput(EdgeNode node, SocketChannel channel, MemoryAccount.Part unsent) {
        this.node = node;
        this.channel = channel;
        this.unsent = unsent;
    }

    /** Whether more may be written; what is queued is flushed first. */
    boolean takesMore() {
        if (!channel.isWritable()) {
            channel.flush();
        }
        return channel.isWritable();
    }

    /** Writes a message, to be flushed at the end of the event, which the client wants until a time. */
    void write(RedisMessage message, double wantedUntilMs) {
        this.wantedUntilMs = Math.max(this.wantedUntilMs, wantedUntilMs);
        lastWriteAtMs = node.nowMs();
        channel.write(message, channel.voidPromise());
        node.flushLater(channel);
    }

    /** When something was last written; negative infinity before that. */
    double lastWriteAtMs() {
        return lastWriteAtMs;
    }

    /** Output that is still queued in this process. */
    long queuedBytes() {
        return channel.unsafe().outboundBuffer() == null ? 0
            : channel.unsafe().outboundBuffer().totalPendingWriteBytes();
    }

    /** Whether the client has not taken what it no longer waits for. */
    boolean isAbandoned() {
        return unsent.bytes() > 0 && node.nowMs() > wantedUntilMs;
    }

    /** Keeps the last output back until it is released or the output is shut down. */
    void keepBack(boolean kept) {
        if (keptBack != kept) {
            keptBack = kept;
            DirectSocket.holdOutput(channel, kept);
        }
    }

    @Override public void flush(ChannelHandlerContext ctx) {
        ctx.flush();
        measure(ctx);
    }

    /** Counts what the socket has not taken; a last empty write tells when it has taken all. */
    private void measure(ChannelHandlerContext ctx) {
        long bytes = queuedBytes();
        if (bytes == 0 && unsent.bytes() == 0) {
            return;
        }
        unsent.set(bytes);
        if (bytes > 0 && !measurePending && channel.isActive()) {
            measurePending = true;
            ctx.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(sent -> node.runLater(() -> {
                measurePending = false;
                measure(ctx);
            }));
        }
    }

    /** Runs a task when all output is in the socket; closes a connection whose client has stopped reading. */
    void whenFlushed(Runnable task) {
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(f -> task.run());
        closeWithoutProgress(queuedBytes());
    }

    private void closeWithoutProgress(long previousBytes) {
        node.schedule(EdgeNode.STALL_TIMEOUT_MS, () -> {
            long bytes = queuedBytes();
            if (bytes > 0 && bytes == previousBytes) {
                if (RequestTrace.ENABLED) {
                    RequestTrace.log(node.nowMs(), "client " + channel.remoteAddress(), "closed",
                        "the client reads nothing");
                }
                channel.close();
            } else if (bytes > 0) {
                closeWithoutProgress(bytes);
            }
        });
    }

    /** Closes the connection, and with it drops what is queued. */
    void drop() {
        channel.close();
        unsent.set(0);
    }
}
