package willowyoke.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufHolder;
import io.netty.handler.codec.redis.BulkStringHeaderRedisMessage;
import io.netty.handler.codec.redis.BulkStringRedisContent;
import io.netty.handler.codec.redis.LastBulkStringRedisContent;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;

/**
 * A value that is received in chunks. It is held until it is whole, or until it is passed on while it
 * arrives: once a part of it has been passed on, a break ends the client's connection.
 */
final class LongValue {
    /** The longest value that is held, in bytes. */
    private static final int MAX_HELD_BYTES = 1 << 20;
    /** What a part takes at least, in bytes, as its objects take memory as well. */
    private static final int MIN_PART_BYTES = 256;

    private final MemoryAccount.Part memory;
    private final ByteBufAllocator alloc;
    private final FlowControl source;
    private final Runnable streamingStarted;
    /** Parts that are not passed on yet. */
    private final ArrayDeque<RedisMessage> chunks = new ArrayDeque<>();
    private int heldBytes;
    private boolean complete;
    private boolean streaming;
    private boolean passedOn;

    LongValue(MemoryAccount.Part memory, ByteBufAllocator alloc, BulkStringHeaderRedisMessage header,
        FlowControl source, Runnable streamingStarted) {
        this.memory = memory;
        this.alloc = alloc;
        this.source = source;
        this.streamingStarted = streamingStarted;
        chunks.add(header);
    }

    /** Adds the next part. */
    void add(BulkStringRedisContent chunk) {
        BulkStringRedisContent compact = compact(chunk);
        chunks.add(compact);
        hold(partBytes(compact));
        if (chunk instanceof LastBulkStringRedisContent) {
            source.read(true);
            complete = true;
        }
    }

    /** Copies a part that is small for the receive buffer that it keeps in memory. */
    private BulkStringRedisContent compact(BulkStringRedisContent chunk) {
        ByteBuf content = chunk.content();
        ByteBuf receiveBuffer = content.unwrap();
        if (receiveBuffer == null || 2 * content.readableBytes() >= receiveBuffer.capacity()) {
            return chunk;
        }
        ByteBuf copy = alloc.directBuffer(content.readableBytes()).writeBytes(content);
        chunk.release();
        return chunk.replace(copy);
    }

    private static int partBytes(ByteBufHolder part) {
        return Math.max(MIN_PART_BYTES, part.content().capacity());
    }

    private void hold(int bytes) {
        heldBytes += bytes;
        memory.add(bytes);
    }

    /** Whether there is a part to be passed on. */
    boolean hasNext() {
        return !chunks.isEmpty();
    }

    /** Takes the next part to be passed on. */
    RedisMessage poll() {
        RedisMessage next = chunks.poll();
        passedOn = true;
        if (next instanceof ByteBufHolder holder) {
            hold(-partBytes(holder));
        }
        return next;
    }

    /** Whether the last part has been received. */
    boolean isComplete() {
        return complete;
    }

    /** Whether parts are passed on as they are received. */
    boolean isStreaming() {
        return streaming;
    }

    /** Whether a part of it has been passed on. */
    boolean isPassedOn() {
        return passedOn;
    }

    /** Passes parts on from here on as they are received. */
    void startStreaming() {
        streaming = true;
        streamingStarted.run();
    }

    /** Whether no more of it may be held. */
    boolean isTooLongToHold() {
        return !complete && (heldBytes > MAX_HELD_BYTES || memory.isFull());
    }

    /** Reads on from the source, or stops it for a while. Behind the last part it carries something else. */
    void readSource(boolean on) {
        if (!complete) {
            source.read(on);
        }
    }

    /** Releases all parts, and lets the source go on with what follows the value. */
    void drop() {
        hold(-heldBytes);
        chunks.forEach(ReferenceCountUtil::release);
        chunks.clear();
        readSource(true);
    }
}
