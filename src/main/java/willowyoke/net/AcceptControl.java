package willowyoke.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.AttributeKey;

/**
 * Decides when a listening socket accepts connections, as the only owner of that switch. It is the first
 * handler of the listening channel, so failures of accept end here: Netty's own handler would stop accepting
 * for a whole second after each, while requests wait in the connections that are queued. It also notes how
 * long a connection may have waited in the queue.
 */
final class AcceptControl extends ChannelInboundHandlerAdapter {
    /** How long accepting stops after a failure. The cause is mostly over at once. */
    private static final double RETRY_DELAY_MS = 1;
    private static final AttributeKey<Double> QUEUED_MS = AttributeKey.valueOf("queuedMs");

    private final EdgeNode node;
    private Channel listener;
    /** No connection is wanted, as there are as many as there may be. */
    private boolean full;
    /** The last accept failed, and the next one is not due yet. */
    private boolean failed;
    private final BacklogAge queueAge;

    AcceptControl(EdgeNode node) {
        this.node = node;
        queueAge = new BacklogAge(node);
    }

    /** Returns how long a connection may have waited in the queue until it was accepted. */
    static double queuedMs(Channel accepted) {
        Double queuedMs = accepted.attr(QUEUED_MS).get();
        return queuedMs == null ? 0 : queuedMs;
    }

    @Override public void handlerAdded(ChannelHandlerContext ctx) {
        listener = ctx.channel();
    }

    /** Stops accepting connections, or resumes it. */
    void setFull(boolean full) {
        this.full = full;
        update();
    }

    /** Whether connections may wait in the queue, as none was accepted for a while. */
    boolean mayHaveWaiting() {
        return queueAge.mayHaveWaiting();
    }

    /** Closes the listening socket. */
    void close() {
        listener.close();
    }

    @Override public void channelRead(ChannelHandlerContext ctx, Object accepted) {
        queueAge.taken();
        double queuedMs = queueAge.ageMs();
        ((Channel) accepted).attr(QUEUED_MS).set(queuedMs);
        queueAge.begin(queuedMs); // there may be more in the queue
        ctx.fireChannelRead(accepted);
    }

    @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        node.countLocalFailure("accept");
        if (!failed) {
            failed = true;
            update();
            node.schedule(RETRY_DELAY_MS, this::retry);
        }
    }

    private void retry() {
        failed = false;
        update();
    }

    /** Sets the switch. The socket is edge-triggered: only off and on again shows what is queued already. */
    private void update() {
        boolean accept = !full && !failed;
        if (listener.config().isAutoRead() != accept) {
            listener.config().setAutoRead(accept);
        }
        if (accept) {
            queueAge.resume();
        } else {
            queueAge.pause();
        }
    }
}
