package barleyfall.lab.standin;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;

/**
 * The replies that a connection still has to send. They are written in the order of their commands, whatever
 * the order in which they become ready.
 */
final class ReplyQueue {
    /** The place of one reply in that order. */
    static final class PendingReply {
        private String text;
    }

    private final ArrayDeque<PendingReply> pending = new ArrayDeque<>();

    /** Reserves the next place. */
    PendingReply reserve() {
        PendingReply reply = new PendingReply();
        pending.add(reply);
        return reply;
    }

    /** Returns whether no reply is outstanding. */
    boolean isEmpty() {
        return pending.isEmpty();
    }

    /** Sets the text of a reply; it is written as soon as all earlier replies are. */
    void complete(ChannelHandlerContext ctx, PendingReply reply, String text) {
        reply.text = text;
        while (!pending.isEmpty() && pending.peek().text != null) {
            ctx.write(Unpooled.copiedBuffer(pending.poll().text, StandardCharsets.ISO_8859_1));
        }
        ctx.flush();
    }
}
