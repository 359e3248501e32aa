package willowyoke.net;

import io.netty.buffer.ByteBufHolder;
import io.netty.handler.codec.redis.BulkStringHeaderRedisMessage;
import io.netty.handler.codec.redis.BulkStringRedisContent;
import io.netty.handler.codec.redis.ErrorRedisMessage;
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
    /** What the answer takes of the connection's account while it waits. */
    private int heldBytes;
    /** Until when the client may want the answer. */
    private double wantedUntilMs = Double.NEGATIVE_INFINITY;
    /** A value that is too long to be read whole before it is passed on; null for all other answers. */
    private LongValue longValue;
    /** The request that will be answered here, or null. */
    PendingRequest request;

    AnswerSlot(EdgeNode node, ClientConnection connection) {
        this.node = node;
        this.connection = connection;
    }

    /** The number of the connection, which no other one of this process has. */
    long connectionId() {
        return connection.id();
    }

    /** What the connection holds in memory. */
    ClientMemory memory() {
        return connection.memory();
    }

    /** Notes until when the client may want the answer. */
    void setWantedUntil(double wantedUntilMs) {
        this.wantedUntilMs = wantedUntilMs;
    }

    /** Until when the client may want the answer. */
    double wantedUntilMs() {
        return wantedUntilMs;
    }

    /**
     * Sets the answer, which is written after those before it. A long value that is held is dropped. Returns
     * false where there is no memory for the answer until its turn: an error takes its place.
     */
    boolean answer(RedisMessage message) {
        node.invariants().check(Invariant.SINGLE_ANSWER, answer == null && !isStreaming(),
            () -> "a second answer in one place");
        dropLongValue();
        answer = message;
        connection.writeReadyAnswers();
        return repeatCount == 0 || holdAnswer();
    }

    private boolean holdAnswer() {
        int bytes = answer instanceof ByteBufHolder value ? value.content().capacity() : 0;
        if (bytes > 0 && !memory().waitingAnswers().reserve(bytes)) {
            replaceByError();
            return false;
        }
        heldBytes = bytes;
        return true;
    }

    private void replaceByError() {
        ReferenceCountUtil.release(answer);
        answer = new ErrorRedisMessage("ERR failed");
    }

    /** Puts an error in the place of a value that waits, as there is no memory for it any more. */
    void giveUpAnswer() {
        if (heldBytes > 0) {
            replaceByError();
            written();
        }
    }

    /** Whether the answer is known as a whole. */
    boolean isAnswered() {
        return answer != null || longValue != null && longValue.isComplete();
    }

    /** Takes the answer, to be written for one command. */
    RedisMessage takeAnswer() {
        repeatCount--;
        return answer;
    }

    /** Notes that the answer is held no longer. */
    void written() {
        memory().waitingAnswers().release(heldBytes);
        heldBytes = 0;
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

    /** How many commands in a row still get this answer. */
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
        longValue = new LongValue(memory().longValues(), connection.alloc(), header, source,
            streamingStarted);
        connection.longValueReceived(this);
    }

    /** Adds the next chunk. */
    void addChunk(BulkStringRedisContent chunk) {
        longValue.add(chunk);
        connection.longValueReceived(this);
    }

    /** Passes the long value on from here on as it is received, once it is its turn. */
    void streamLongValue() {
        connection.streamLongValue(this);
    }

    /** Whether all commands before this one have their answers. */
    boolean isItsTurn() {
        return connection.isTurnOf(this);
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

    /**
     * Handles that the rest of a streamed value will not come: an error takes its place, or, where the client
     * has a part of it, the connection ends.
     */
    void abortStream() {
        if (longValue.isPassedOn()) {
            connection.endBehindBrokenValue();
        } else {
            dropLongValue();
            answer(new ErrorRedisMessage("ERR failed"));
        }
    }

    /** Releases what the client will not get any more, as it has gone. */
    void release() {
        ReferenceCountUtil.release(answer);
        written();
        dropLongValue();
    }
}
