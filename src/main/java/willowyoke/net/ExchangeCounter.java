package willowyoke.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import java.util.function.IntConsumer;

/**
 * Counts, as the first handler of a client's pipeline, the commands whose first byte has been read and the
 * answers that have been written whole. It shares nothing with what reads and answers the commands.
 */
final class ExchangeCounter extends ChannelDuplexHandler {
    private final RespMessageCounter commands = new RespMessageCounter();
    private final RespMessageCounter answers = new RespMessageCounter();
    private boolean inputIgnored;
    /** Is told of the bytes that come behind the end of the output; null before that. */
    private IntConsumer bytesBehindEnd;

    @Override public void channelRead(ChannelHandlerContext ctx, Object msg) {
        if (msg instanceof ByteBuf bytes) {
            if (bytesBehindEnd != null) {
                bytesBehindEnd.accept(bytes.readableBytes());
            } else if (!inputIgnored) {
                commands.count(bytes);
            }
        }
        ctx.fireChannelRead(msg);
    }

    @Override public void write(ChannelHandlerContext ctx, Object msg, ChannelPromise promise) {
        if (msg instanceof ByteBuf bytes) {
            answers.count(bytes);
        }
        ctx.write(msg, promise);
    }

    /** Takes the rest of what is read for what has crossed the end of the output. */
    void outputEnded(IntConsumer bytesBehindEnd) {
        this.bytesBehindEnd = bytesBehindEnd;
    }

    /** Counts no more of what is read, as it is owed no answer. */
    void ignoreFurtherInput() {
        inputIgnored = true;
    }

    /**
     * Commands of which something has been read and that have no whole answer; none counts behind malformed
     * input.
     */
    long unansweredCommands() {
        return commands.isMalformed() ? 0 : commands.begun() - answers.completed();
    }

    /** Whether the client can tell by the last answer that it is not whole. */
    boolean isAnswerIncomplete() {
        return answers.begun() > answers.completed();
    }
}
