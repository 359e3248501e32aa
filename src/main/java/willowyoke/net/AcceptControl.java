package willowyoke.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Decides when a listening socket accepts connections, as the only owner of that switch. It is the first
 * handler of the listening channel, so failures of accept end here: Netty's own handler would stop accepting
 * for a whole second after each, while requests wait in the connections that are queued.
 */
final class AcceptControl extends ChannelInboundHandlerAdapter {
    /** How long accepting stops after a failure. The cause is mostly over at once. */
    private static final double RETRY_DELAY_MS = 2;

    private final EdgeNode node;
    private Channel listener;
    /** No connection is wanted, as there are as many as there may be. */
    private boolean full;
    /** The last accept failed, and the next one is not due yet. */
    private boolean failed;
    /** From a failure until the accepts after it have had their time. */
    private boolean retrying;

    AcceptControl(EdgeNode node) {
        this.node = node;
    }

    @Override public void handlerAdded(ChannelHandlerContext ctx) {
        listener = ctx.channel();
    }

    /** Stops accepting connections, or resumes it. */
    void setFull(boolean full) {
        this.full = full;
        update();
    }

    /** Whether accept failed a moment ago, so that connections may wait in the queue. */
    boolean hasFailed() {
        return retrying;
    }

    /** Closes the listening socket. */
    void close() {
        listener.close();
    }

    @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        node.countLocalFailure("accept");
        if (!failed) {
            failed = true;
            retrying = true;
            update();
            // the socket is edge-triggered: only switching off and on again shows what is queued already
            node.schedule(RETRY_DELAY_MS, () -> {
                failed = false;
                update();
                node.schedule(RETRY_DELAY_MS, () -> retrying = failed);
            });
        }
    }

    private void update() {
        boolean accept = !full && !failed;
        if (listener.config().isAutoRead() != accept) {
            listener.config().setAutoRead(accept);
        }
    }
}
