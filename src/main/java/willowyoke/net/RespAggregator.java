package willowyoke.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.redis.ArrayHeaderRedisMessage;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.BulkStringHeaderRedisMessage;
import io.netty.handler.codec.redis.BulkStringRedisContent;
import io.netty.handler.codec.redis.ErrorRedisMessage;
import io.netty.handler.codec.redis.FullBulkStringRedisMessage;
import io.netty.handler.codec.redis.LastBulkStringRedisContent;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.handler.codec.redis.SimpleStringRedisMessage;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Joins the parts of a message as the decoder passes them on, and is the only place that holds a message
 * which has been received in part. Values are copied out of the receive buffers, which would otherwise stay
 * in memory whole for a few bytes each, so what is counted is what is held. A message for which there is no
 * memory is read to its end without being held; a {@link DroppedMessage} takes its place.
 */
final class RespAggregator extends ChannelInboundHandlerAdapter {
    /** Stands for a message that was received whole, but not held. */
    static final class DroppedMessage implements RedisMessage {
        private static final DroppedMessage INSTANCE = new DroppedMessage();

        private DroppedMessage() { }
    }

    /** What an element takes beside its text, in bytes. */
    private static final int ELEMENT_BYTES = 128;
    /** The first capacity of a value of which a part has come. */
    private static final int MIN_VALUE_CAPACITY = 64;

    /** An array of which elements are missing. */
    private static final class OpenArray {
        private final List<RedisMessage> elements = new ArrayList<>();
        private long missing;

        private OpenArray(long length) {
            missing = length;
        }
    }

    private final int maxElements;
    private final int maxDepth;
    private final MemoryAccount.Part memory;
    /** The arrays around the next part, the innermost first. */
    private final ArrayDeque<OpenArray> arrays = new ArrayDeque<>();
    /** The bulk string that is being received, or null. */
    private ByteBuf value;
    private int valueLength;
    /** The message that is being received is not held. */
    private boolean dropping;

    RespAggregator(int maxElements, int maxDepth, MemoryAccount.Part memory) {
        this.maxElements = maxElements;
        this.maxDepth = maxDepth;
        this.memory = memory;
    }

    @Override public void channelRead(ChannelHandlerContext ctx, Object part) {
        if (part instanceof ArrayHeaderRedisMessage header) {
            beginArray(ctx, header);
        } else if (part instanceof BulkStringHeaderRedisMessage header) {
            valueLength = header.bulkStringLength();
        } else if (part instanceof FullBulkStringRedisMessage whole) {
            addElement(ctx, whole, 0);
        } else if (part instanceof BulkStringRedisContent chunk) {
            addChunk(ctx, chunk);
        } else {
            addElement(ctx, (RedisMessage) part, textBytes((RedisMessage) part));
        }
    }

    private static int textBytes(RedisMessage message) {
        return message instanceof SimpleStringRedisMessage text ? text.content().length()
            : message instanceof ErrorRedisMessage error ? error.content().length() : 0;
    }

    private void beginArray(ChannelHandlerContext ctx, ArrayHeaderRedisMessage header) {
        if (header.isNull()) {
            addElement(ctx, ArrayRedisMessage.NULL_INSTANCE, 0);
        } else if (header.length() == 0) {
            addElement(ctx, ArrayRedisMessage.EMPTY_INSTANCE, 0);
        } else if (header.length() > maxElements || arrays.size() >= maxDepth) {
            throw new CodecException(
                "an array of " + header.length() + " elements, " + arrays.size() + " deep");
        } else {
            hold(ELEMENT_BYTES);
            arrays.push(new OpenArray(header.length()));
        }
    }

    private void addChunk(ChannelHandlerContext ctx, BulkStringRedisContent chunk) {
        try {
            ByteBuf bytes = chunk.content();
            if (!dropping && makeRoom(ctx, bytes.readableBytes())) {
                value.writeBytes(bytes);
            }
        } finally {
            chunk.release();
        }
        if (chunk instanceof LastBulkStringRedisContent) {
            ByteBuf whole = value;
            value = null;
            addHeld(ctx, whole == null ? FullBulkStringRedisMessage.EMPTY_INSTANCE
                : new FullBulkStringRedisMessage(whole));
        }
    }

    /** Makes room for more of the value; false where there is no memory. */
    private boolean makeRoom(ChannelHandlerContext ctx, int bytes) {
        int capacity = value == null ? 0 : value.capacity();
        int needed = (value == null ? 0 : value.writerIndex()) + bytes;
        if (needed <= capacity) {
            return true;
        }
        int doubled = Integer.highestOneBit(needed - 1) << 1;
        int next = Math.min(valueLength, Math.max(MIN_VALUE_CAPACITY, doubled));
        if (!hold(next - capacity + (value == null ? ELEMENT_BYTES : 0))) {
            return false;
        }
        if (value == null) {
            value = ctx.alloc().directBuffer(next, valueLength);
        } else {
            value.capacity(next);
        }
        return true;
    }

    /** Takes memory for a part of the message; where there is none, the message is dropped. */
    private boolean hold(int bytes) {
        if (dropping) {
            return false;
        }
        if (!memory.reserve(bytes)) {
            dropMessage();
            return false;
        }
        return true;
    }

    /** Takes memory for an element that has come at once, and adds it. */
    private void addElement(ChannelHandlerContext ctx, RedisMessage element, int textBytes) {
        if (!arrays.isEmpty()) {
            hold(ELEMENT_BYTES + textBytes);
        }
        addHeld(ctx, element);
    }

    /** Adds an element, which may be the last one of the arrays around it. */
    private void addHeld(ChannelHandlerContext ctx, RedisMessage element) {
        if (arrays.isEmpty()) {
            passOn(ctx, element);
            return;
        }
        if (dropping) {
            ReferenceCountUtil.release(element);
        } else {
            arrays.peek().elements.add(element);
        }
        RedisMessage last = null;
        while (!arrays.isEmpty() && --arrays.peek().missing == 0) {
            last = new ArrayRedisMessage(arrays.pop().elements);
            if (!arrays.isEmpty()) {
                arrays.peek().elements.add(last);
            }
        }
        if (arrays.isEmpty()) {
            passOn(ctx, last);
        }
    }

    private void passOn(ChannelHandlerContext ctx, RedisMessage message) {
        boolean dropped = dropping;
        dropping = false;
        memory.release(memory.bytes());
        if (dropped) {
            ReferenceCountUtil.release(message);
        }
        ctx.fireChannelRead(dropped ? DroppedMessage.INSTANCE : message);
    }

    /** Releases what is held of the message that is being received; its rest is not held either. */
    void dropMessage() {
        dropping = true;
        if (value != null) {
            value.release();
            value = null;
        }
        for (OpenArray array : arrays) {
            array.elements.forEach(ReferenceCountUtil::release);
            array.elements.clear();
        }
        memory.release(memory.bytes());
    }

    @Override public void channelInactive(ChannelHandlerContext ctx) {
        ctx.fireChannelInactive();
        dropMessage();
    }

    @Override public void handlerRemoved(ChannelHandlerContext ctx) {
        dropMessage();
    }
}
