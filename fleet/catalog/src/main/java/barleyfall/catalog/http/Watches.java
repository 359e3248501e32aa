package barleyfall.catalog.http;

import barleyfall.catalog.model.FlagList;
import barleyfall.catalog.replica.Replica;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.util.concurrent.EventExecutor;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;

/**
 * The open watches. A watch holds only the version up to which it was sent the list, and is written the
 * following changes as long as its connection accepts them. So a slow watch delays no other one and buffers
 * nothing beyond the connection's own buffer. A watch that reads nothing for too long is closed; its client
 * can resume.
 */
final class Watches {
    /** The discovery protocol requires a line at least this often; an empty one is the heartbeat. */
    private static final int HEARTBEAT_INTERVAL_MS = 2000;
    private static final int CHECK_INTERVAL_MS = 200;
    private static final ByteBuf EMPTY_LINE = Unpooled.unreleasableBuffer(
        Unpooled.directBuffer(1).writeByte('\n').asReadOnly());

    /** One watch; used on the event loop of its connection only. */
    final class Watch {
        private final ChannelHandlerContext context;
        private long epoch;
        private long seq;
        /** Since when the connection has accepted nothing, or 0. */
        private long blockedSinceNanos;

        Watch(ChannelHandlerContext context, long epoch, long seq) {
            this.context = context;
            this.epoch = epoch;
            this.seq = seq;
        }

        /** Writes the changes that the watch has not been sent, as far as the connection accepts them. */
        void write() {
            boolean wrote = false;
            while ((seq < list.seq() || epoch != list.epoch()) && context.channel().isActive()) {
                if (!context.channel().isWritable()) {
                    blockedSinceNanos = blockedSinceNanos == 0 ? System.nanoTime() : blockedSinceNanos;
                    break;
                }
                writeNextLine();
                wrote = true;
            }
            if (context.channel().isWritable()) {
                blockedSinceNanos = 0;
            }
            if (wrote) {
                context.flush();
            }
        }

        private void writeNextLine() {
            LineCache.Line line = lines.after(epoch, seq);
            epoch = line.epoch();
            seq = line.seq();
            context.write(new DefaultHttpContent(line.bytes()));
        }

        /** Writes a line that holds no changes; drops it if the connection accepts nothing. */
        private void writeNotice(ByteBuf bytes) {
            if (context.channel().isWritable()) {
                context.writeAndFlush(new DefaultHttpContent(bytes));
            } else {
                bytes.release();
            }
        }

        private void closeIfStalled() {
            if (blockedSinceNanos != 0 && System.nanoTime() - blockedSinceNanos > stallTimeoutNanos) {
                stalled.increment();
                context.close();
            }
        }
    }

    /** The watches whose connections belong to one event loop. */
    private final class LoopWatches {
        final Set<Watch> watches = new LinkedHashSet<>();
        /** Whether a round of writes is scheduled. */
        final AtomicBoolean writeScheduled = new AtomicBoolean();

        void write() {
            writeScheduled.set(false); // later changes schedule another round
            watches.forEach(Watch::write);
        }
    }

    private final Replica replica;
    private final FlagList list;
    private final LineCache lines;
    private final long stallTimeoutNanos;
    private final Map<EventExecutor, LoopWatches> watchesByLoop = new HashMap<>();
    private final AtomicInteger openCount = new AtomicInteger();
    private final LongAdder stalled = new LongAdder();
    private final AtomicLong staleSinceNanos = new AtomicLong();

    Watches(Replica replica, EventLoopGroup eventLoops) {
        this.replica = replica;
        list = replica.list();
        lines = new LineCache(list);
        stallTimeoutNanos = TimeUnit.MILLISECONDS.toNanos(replica.settings().watching().stallTimeoutMs());
        for (EventExecutor loop : eventLoops) {
            LoopWatches loopWatches = new LoopWatches();
            watchesByLoop.put(loop, loopWatches);
            loop.scheduleAtFixedRate(() -> List.copyOf(loopWatches.watches)
                    .forEach(watch -> watch.writeNotice(EMPTY_LINE.duplicate())),
                HEARTBEAT_INTERVAL_MS, HEARTBEAT_INTERVAL_MS, TimeUnit.MILLISECONDS);
            loop.scheduleAtFixedRate(
                () -> new ArrayList<>(loopWatches.watches).forEach(Watch::closeIfStalled),
                CHECK_INTERVAL_MS, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
        eventLoops.next().scheduleAtFixedRate(this::reportStaleness, CHECK_INTERVAL_MS, CHECK_INTERVAL_MS,
            TimeUnit.MILLISECONDS);
    }

    /** Schedules writes to all watches, because the list has changed. May be called on any thread. */
    void listChanged() {
        watchesByLoop.forEach((loop, loopWatches) -> {
            if (loopWatches.writeScheduled.compareAndSet(false, true)) {
                loop.execute(loopWatches::write);
            }
        });
    }

    /**
     * Opens a watch after version {@code since} and writes its first line at once, even if that has no
     * changes. To be called on the event loop of the connection.
     */
    Watch open(ChannelHandlerContext context, long epoch, long since) {
        Watch watch = new Watch(context, epoch, since);
        openCount.incrementAndGet();
        watchesByLoop.get(context.executor()).watches.add(watch);
        watch.writeNextLine();
        watch.write();
        context.flush();
        return watch;
    }

    /** Forgets a watch whose connection has ended. To be called on the event loop of the connection. */
    void close(Watch watch) {
        if (watchesByLoop.get(watch.context.executor()).watches.remove(watch)) {
            openCount.decrementAndGet();
        }
    }

    /** How many watches are open. */
    int openCount() {
        return openCount.get();
    }

    /** How many watches were closed because they read nothing for too long. */
    long stalledCount() {
        return stalled.sum();
    }

    /**
     * Writes a line to every watch when the list becomes stale, or is no longer stale. To a client that
     * doesn't know the key {@code stale}, it is a line without changes.
     */
    private void reportStaleness() {
        boolean stale = replica.stale();
        if (stale == (staleSinceNanos.get() != 0)) {
            return;
        }
        staleSinceNanos.set(stale ? System.nanoTime() : 0);
        long ageMs = replica.ageMs();
        watchesByLoop.forEach((loop, loopWatches) -> loop.execute(() -> loopWatches.watches.forEach(watch ->
            watch.writeNotice(Unpooled.copiedBuffer("{\"seq\":" + watch.seq + ",\"whole\":false,\"epoch\":"
                + watch.epoch + ",\"hosts\":[],\"stale\":" + stale + ",\"age_ms\":" + ageMs + "}\n",
                StandardCharsets.US_ASCII)))));
    }
}
