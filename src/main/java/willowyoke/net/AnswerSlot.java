package willowyoke.net;

import io.netty.handler.codec.redis.BulkStringHeaderRedisMessage;
import io.netty.handler.codec.redis.BulkStringRedisContent;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.util.ReferenceCountUtil;
import willowyoke.net.Invariants.Invariant;

/** The place of one command's answer in the order of answers on its connection. */
final class AnswerSlot {
    private final EdgeNode node;
    private final ClientConnection connection;
    private RedisMessage answer;
    /** How many commands in a row get this answer, so that refused commands share one slot. */
    private int repeatCount = 1;
    /** A value that is too long to be read whole before it is passed on; null for all other answers. */
    private LongValue longValue;
    /** The request that will be answered here, or null. */
    EdgeNode.PendingRequest request;

    AnswerSlot(EdgeNode node, ClientConnection connection) {
        this.node = node;
        this.connection = connection;
    }

    /** Sets the answer, which is written after those before it. A long value that is held is dropped. */
    void answer(RedisMessage message) {
        node.invariants().check(Invariant.SINGLE_ANSWER, answer == null && !isStreaming(),
            () -> "a second answer in one place");
        dropLongValue();
        answer = message;
        connection.writeReadyAnswers();
    }

    /** The answer, or null where it is not known yet, or is a long value. */
    RedisMessage answer() {
        return answer;
    }

    /** Sees, past the event loop, whether the client has closed its connection. */
    void lookForClose() {
        connection.lookForClose();
    }

    /** Gives the same answer to one more command. */
    void repeatAnswer() {
        repeatCount++;
    }

    /** How many commands in a row get this answer. */
    int repeatCount() {
        return repeatCount;
    }

    // ---- long values ----

    /**
     * Begins an answer that is received in chunks.
     *
     * @param streamingStarted called when the first part is passed on before the last one is known
     */
    void beginLongValue(BulkStringHeaderRedisMessage header, FlowControl source, Runnable streamingStarted) {
        longValue = new LongValue(node, header, source, streamingStarted);
        connection.longValueReceived(this);
    }

    /** Adds the next chunk; false where the value is longer than may be held until its turn. */
    boolean addChunk(BulkStringRedisContent chunk) {
        longValue.add(chunk);
        return connection.longValueReceived(this);
    }

    /** The long value, or null. */
    LongValue longValue() {
        return longValue;
    }

    /** Whether a part of a long value has been passed on, so that no other answer can take its place. */
    boolean isStreaming() {
        return longValue != null && longValue.isStreaming();
    }

    /** Forgets a long value of which nothing has been passed on. */
    void dropLongValue() {
        if (longValue != null) {
            longValue.drop();
            longValue = null;
        }
    }

    /** Ends the connection, because the rest of a value that the client has in part will not come. */
    void abortStream() {
        connection.endBehindBrokenValue();
    }

    /** Releases what the client will not get any more, as it has gone. */
    void release() {
        ReferenceCountUtil.release(answer);
        dropLongValue();
    }
}
