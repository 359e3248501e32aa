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

    /** Whether the last accept failed, so that connections may wait in the queue. */
    boolean hasFailed() {
        return failed;
    }

    /** Closes the listening socket. */
    void close() {
        listener.close();
    }

    @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        node.countLocalFailure("accept");
        if (!failed) {
            failed = true;
            update();
            // the socket is edge-triggered: only switching off and on again shows what is queued already
            node.schedule(RETRY_DELAY_MS, () -> {
                failed = false;
                update();
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
