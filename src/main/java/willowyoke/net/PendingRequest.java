package willowyoke.net;

import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import willowyoke.Gateway;

/** A client's request, from the time that it has been read whole to the end of its last attempt. */
final class PendingRequest {
    final long id;
    final AnswerSlot slot;
    final ArrayRedisMessage command;
    final CallCommand call;
    /** The class as the settings had it when the request came; null for one that they don't name. */
    final Gateway.RequestClass requestClass;
    /** Until when it has to be answered; a drain may bring it forward. */
    double deadlineMs;
    final int maxAttempts;
    final List<ServerPool.Attempt> attempts = new ArrayList<>(1);
    /** It has its answer, or its client has gone: nothing is written for it any more. */
    boolean finished;
    int attemptsInFlight;
    Future<?> timeoutTimer;
    /** The attempt whose long value is received, or null. */
    ServerPool.Attempt longValueAttempt;
    /** The same attempt once a part of its value has been passed on to the client, or null. */
    ServerPool.Attempt streamingAttempt;
    /** When a part of the long value was last received. */
    double lastProgressAtMs;
    /** What it takes of its client's account. */
    private final int heldBytes;

    /** Creates a request that has reserved its memory, and retains its command. */
    PendingRequest(long id, AnswerSlot slot, ArrayRedisMessage command, CallCommand call,
        Gateway.RequestClass requestClass, double deadlineMs, int maxAttempts, int heldBytes) {
        this.id = id;
        this.requestClass = requestClass;
        this.maxAttempts = maxAttempts;
        this.slot = slot;
        this.command = command;
        this.call = call;
        this.deadlineMs = deadlineMs;
        this.heldBytes = heldBytes;
        command.retain();
    }

    /** Whether no part of an answer has been written. */
    boolean isUnanswered() {
        return !finished && streamingAttempt == null;
    }

    /** Releases the command and its memory. */
    void release() {
        ReferenceCountUtil.release(command);
        slot.memory().requests().release(heldBytes);
    }
}
