package willowyoke.net;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.redis.ArrayHeaderRedisMessage;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.BulkStringHeaderRedisMessage;
import io.netty.handler.codec.redis.BulkStringRedisContent;
import io.netty.handler.codec.redis.FixedRedisMessagePool;
import io.netty.handler.codec.redis.FullBulkStringRedisMessage;
import io.netty.handler.codec.redis.LastBulkStringRedisContent;
import io.netty.handler.codec.redis.RedisDecoder;
import io.netty.handler.codec.redis.RedisEncoder;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import willowyoke.MemoryPolicy.Use;

/** RESP2 on a channel: Netty's Redis codec, limited to the sizes that this protocol allows. */
final class RespCodec {
    /** The largest value that is kept in memory; lists of pairs and inline answers are far shorter. */
    static final int MAX_VALUE_BYTES = 64 * 1024;
    private static final int MAX_LINE_BYTES = 4096;
    private static final int MAX_ARRAY_DEPTH = 4;

    private RespCodec() { }

    /** Adds the codec, with values of up to MAX_VALUE_BYTES and no limit on the memory that they take. */
    static FrameTracker addTo(ChannelPipeline pipeline, int maxElements) {
        return addTo(pipeline, maxElements, MAX_VALUE_BYTES);
    }

    /**
     * Adds the codec, which reads whole messages and writes messages. An array of more elements, or a longer
     * value, is an error. What a message takes before it is whole is not limited otherwise.
     */
    static FrameTracker addTo(ChannelPipeline pipeline, int maxElements, int maxValueBytes) {
        return addTo(pipeline, maxElements, maxValueBytes, MemoryAccount.unlimited(Use.PARTIAL_ANSWER), null);
    }

    /** Adds the codec, with values of up to MAX_VALUE_BYTES. */
    static FrameTracker addTo(ChannelPipeline pipeline, int maxElements, MemoryAccount.Part memory) {
        return addTo(pipeline, maxElements, MAX_VALUE_BYTES, memory, null);
    }

    /** Adds the codec; if the first element of an array is a longer value, it goes to the sink in chunks. */
    static FrameTracker addTo(ChannelPipeline pipeline, int maxElements, int maxValueBytes,
        MemoryAccount.Part memory, LargeValueSink sink) {
        LastByteRecorder lastByteRecorder = new LastByteRecorder();
        RespAggregator aggregator = new RespAggregator(maxElements, MAX_ARRAY_DEPTH, memory);
        FrameTracker frameTracker = new FrameTracker(lastByteRecorder, aggregator, maxValueBytes, sink);
        pipeline.addLast(lastByteRecorder, new RedisDecoder(MAX_LINE_BYTES, FixedRedisMessagePool.INSTANCE),
            frameTracker, aggregator, new RedisEncoder());
        return frameTracker;
    }

    /** Receives a large value in chunks. Its array is read with an empty value in its place. */
    interface LargeValueSink {
        /** Called with the header of a value; returns false to reject it, which fails the connection. */
        boolean beginValue(BulkStringHeaderRedisMessage header);

        /** Called with each chunk, which the sink releases; the last is a LastBulkStringRedisContent. */
        void valueChunk(BulkStringRedisContent chunk);
    }

    /**
     * Records the last byte received. The decoder holds back an incomplete line without a sign of it, and
     * passes on everything else; so a last byte other than a line feed shows that a message is incomplete.
     */
    private static final class LastByteRecorder extends ChannelInboundHandlerAdapter {
        private byte lastByte = '\n';
        private boolean discarding;
        private boolean decoding;

        @Override public void channelRead(ChannelHandlerContext ctx, Object msg) {
            if (discarding) {
                ReferenceCountUtil.release(msg);
                return;
            }
            if (msg instanceof ByteBuf bytes && bytes.isReadable()) {
                lastByte = bytes.getByte(bytes.writerIndex() - 1);
            }
            decoding = true;
            try {
                ctx.fireChannelRead(msg);
            } finally {
                decoding = false;
            }
        }
    }

    /**
     * Tracks the parts of messages as they are decoded. It rejects headers of values that are too long, since
     * Netty's own limit is 512 MB a value, and knows whether a part of a further message has been received.
     */
    static final class FrameTracker extends ChannelInboundHandlerAdapter {
        private final LastByteRecorder lastByteRecorder;
        private final RespAggregator aggregator;
        private final int maxValueBytes;
        private final LargeValueSink sink;
        private boolean messageBegun;
        private boolean firstElementNext;
        private boolean streamingValue;

        private FrameTracker(LastByteRecorder lastByteRecorder, RespAggregator aggregator, int maxValueBytes,
            LargeValueSink sink) {
            this.lastByteRecorder = lastByteRecorder;
            this.aggregator = aggregator;
            this.maxValueBytes = maxValueBytes;
            this.sink = sink;
        }

        @Override public void channelRead(ChannelHandlerContext ctx, Object msg) {
            if (lastByteRecorder.discarding) { // decoded from bytes received before
                ReferenceCountUtil.release(msg);
                return;
            }
            boolean firstElement = firstElementNext;
            firstElementNext = !messageBegun && msg instanceof ArrayHeaderRedisMessage;
            messageBegun = true;
            if (streamingValue && msg instanceof BulkStringRedisContent chunk) {
                forwardChunk(ctx, chunk);
            } else if (msg instanceof BulkStringHeaderRedisMessage header
                && header.bulkStringLength() > maxValueBytes) {
                streamingValue = firstElement && sink != null && sink.beginValue(header);
                if (!streamingValue) {
                    throw new CodecException("value exceeds the byte limit of " + maxValueBytes);
                }
            } else {
                ctx.fireChannelRead(msg);
            }
        }

        private void forwardChunk(ChannelHandlerContext ctx, BulkStringRedisContent chunk) {
            boolean last = chunk instanceof LastBulkStringRedisContent;
            sink.valueChunk(chunk);
            if (last) {
                streamingValue = false;
                ctx.fireChannelRead(FullBulkStringRedisMessage.EMPTY_INSTANCE);
            }
        }

        /**
         * Drops all further input before it is decoded. Otherwise each malformed message is an exception:
         * 80 KB of them made 4,000 in one read, which blocked the event loop for 0.3 s.
         */
        void discardInput() {
            lastByteRecorder.discarding = true;
            aggregator.dropMessage();
        }

        /** Releases what is held of the message that is being received; its rest is not held either. */
        void dropMessage() {
            aggregator.dropMessage();
        }

        /** To be called with each whole message that is read. */
        void messageComplete() {
            messageBegun = false;
        }

        /** Whether a part of a further message has been received. */
        boolean hasPartialMessage() {
            return messageBegun || lastByteRecorder.lastByte != '\n';
        }

        /** Whether messages are being decoded, so that further ones may follow from what has been read. */
        boolean isDecoding() {
            return lastByteRecorder.decoding;
        }

        /** Whether anything has been read that is not passed on yet, in part or whole. */
        boolean hasUnfinishedInput() {
            return isDecoding() || hasPartialMessage();
        }
    }

    /** Returns a bulk string. */
    static FullBulkStringRedisMessage bulk(ByteBufAllocator alloc, String text) {
        return new FullBulkStringRedisMessage(ByteBufUtil.writeUtf8(alloc, text));
    }

    /** Returns a command as an array of bulk strings. */
    static ArrayRedisMessage command(ByteBufAllocator alloc, String... words) {
        List<RedisMessage> parts = new ArrayList<>(words.length);
        for (String word : words) {
            parts.add(bulk(alloc, word));
        }
        return new ArrayRedisMessage(parts);
    }

    /** Returns the text of a bulk string, or null for any other message. */
    static String text(RedisMessage message) {
        return message instanceof FullBulkStringRedisMessage bulk && !bulk.isNull()
            ? bulk.content().toString(StandardCharsets.UTF_8) : null;
    }

    /** Whether a message is a bulk string other than null. */
    static boolean isBulkString(RedisMessage message) {
        return message instanceof FullBulkStringRedisMessage bulk && !bulk.isNull();
    }
}
