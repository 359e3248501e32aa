package willowyoke.net;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.SelectStrategy;
import io.netty.util.IntSupplier;
import java.util.concurrent.TimeUnit;

/**
 * Tells how long the input that is being read may have waited in its socket. Input that one poll of the
 * event loop finds has come after the poll before it; so it has waited for what the loop did between the two,
 * unless the later poll found nothing at first, and for what the loop has done since.
 */
final class PollTimes implements SelectStrategy {
    /** Shorter work between two polls is not worth a further poll, which tells whether input waited. */
    private static final long LONG_WORK_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    /** Notes, as a handler of any channel, that the loop is at work. */
    @ChannelHandler.Sharable
    private final class WorkHandler extends ChannelInboundHandlerAdapter {
        @Override public void channelRead(ChannelHandlerContext ctx, Object msg) {
            noteWork();
            ctx.fireChannelRead(msg);
        }
    }

    private final ChannelHandler handler = new WorkHandler();
    /** When the work behind the last poll began; 0 where there was none yet. */
    private long workSinceNanos;
    /** How long input may have waited when the last poll found it. */
    private long waitedBeforePollNanos;

    /** A handler that belongs in front of all others in each pipeline. */
    ChannelHandler handler() {
        return handler;
    }

    /** Notes that the loop is at work. */
    void noteWork() {
        if (workSinceNanos == 0) {
            workSinceNanos = System.nanoTime();
        }
    }

    /** How long what is being read now may have waited, in ms; 0 where that is too short to matter. */
    double unreadMs() {
        long workNanos = workSinceNanos == 0 ? 0 : System.nanoTime() - workSinceNanos;
        long waitedNanos = waitedBeforePollNanos + workNanos;
        return waitedNanos < LONG_WORK_NANOS ? 0 : waitedNanos / 1e6;
    }

    /** How long the loop has worked since its last poll, in ms. */
    double pollAgeMs() {
        return (workSinceNanos == 0 ? 0 : System.nanoTime() - workSinceNanos) / 1e6;
    }

    /** Whether the loop has worked for so long since its last poll that this may be out of date. */
    boolean isPollOld() {
        return pollAgeMs() * 1e6 >= LONG_WORK_NANOS;
    }

    @Override public int calculateStrategy(IntSupplier selectNow, boolean hasTasks) throws Exception {
        long workNanos = workSinceNanos == 0 ? 0 : System.nanoTime() - workSinceNanos;
        workSinceNanos = 0;
        waitedBeforePollNanos = workNanos >= LONG_WORK_NANOS ? workNanos : 0;
        if (hasTasks) {
            return selectNow.get();
        }
        if (waitedBeforePollNanos == 0) {
            return SelectStrategy.SELECT;
        }
        int ready = selectNow.get();
        if (ready > 0) {
            return ready;
        }
        waitedBeforePollNanos = 0; // nothing waits, so what comes is new
        return SelectStrategy.SELECT;
    }
}
