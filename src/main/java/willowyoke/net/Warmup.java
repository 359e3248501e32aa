package willowyoke.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import willowyoke.Gateway;

/**
 * Runs the code that handles requests before the first request comes, so that the JVM loads and compiles it.
 * On a third of a core that takes seconds, for which the first requests would have to wait. The decision
 * module that the requests are given to is thrown away.
 */
public final class Warmup {
    /** Each round has one request: that many calls make the JVM's first compiler compile a method. */
    private static final int ROUNDS = 3000;
    private static final int SERVER_COUNT = 8;
    private static final int CUSTOMER_COUNT = 16;
    private static final double ROUND_INTERVAL_MS = 5;
    private static final double ATTEMPT_DURATION_MS = 20;

    private final Gateway.Settings settings;
    private final long endNanos;
    private final ArrayDeque<SentAttempt> sentAttempts = new ArrayDeque<>();
    private final ArrayDeque<Long> calledCounters = new ArrayDeque<>();

    /** An attempt that the module has sent and that has not ended. */
    private record SentAttempt(long requestId, int number) { }

    private Warmup(Gateway.Settings settings, long endNanos) {
        this.settings = settings;
        this.endNanos = endNanos;
    }

    /**
     * Sends requests through a decision module with this configuration, then through the codec, for at most
     * the given time. Opens no socket.
     */
    public static void run(Config config, EdgeNode.ModuleFactory moduleFactory, long maxMs) {
        if (!config.settings().classes().isEmpty() && !config.settings().plans().isEmpty()) {
            Warmup warmup = new Warmup(config.settings(), System.nanoTime() + maxMs * 1_000_000);
            warmup.runModule(moduleFactory, config.seed());
            warmup.runCodec();
        }
    }

    private void runModule(EdgeNode.ModuleFactory moduleFactory, long seed) {
        double nowMs = 0;
        Gateway.Events module = moduleFactory.start(settings, seed, nowMs, new RecordingActions());
        List<Gateway.Server> servers = new ArrayList<>();
        for (int i = 0; i < SERVER_COUNT; i++) {
            servers.add(new Gateway.Server("s" + i, i, "", Gateway.ServerState.UP, "", 0, 1));
        }
        module.serverListUpdated(nowMs, servers, true);
        for (int i = 0; i < ROUNDS && System.nanoTime() < endNanos; i++) {
            nowMs += ROUND_INTERVAL_MS;
            Gateway.RequestClass requestClass = settings.classes().get(i % settings.classes().size());
            Gateway.Plan plan = settings.plans().get(i % settings.plans().size());
            module.requestArrived(nowMs, new Gateway.Request(i, requestClass.name(), plan.name(),
                "c" + i % CUSTOMER_COUNT, requestClass.deadlineMs(), 1, settings.gatewayCount(), 0, false));
            while (!calledCounters.isEmpty()) {
                module.counterCallEnded(nowMs, calledCounters.poll(), Gateway.Outcome.OK, 1, 1);
            }
            for (SentAttempt attempt = sentAttempts.poll(); attempt != null; attempt = sentAttempts.poll()) {
                module.attemptEnded(nowMs, attempt.requestId(), attempt.number(), Gateway.Outcome.OK,
                    ATTEMPT_DURATION_MS, true, 0, LoadReport.NONE);
            }
            module.timerFired(nowMs, 0);
        }
    }

    private void runCodec() {
        EmbeddedChannel channel = new EmbeddedChannel();
        RespCodec.FrameTracker frames = RespCodec.addTo(channel.pipeline(), SERVER_COUNT);
        String parameters = "c=" + settings.classes().get(0).name() + ",t=" + settings.plans().get(0).name()
            + ",d=900,units=1,spread=2,first=0";
        byte[] command = ("*4\r\n$8\r\nCALL.GET\r\n$16\r\n0000000000000001\r\n$1\r\n1\r\n$"
            + parameters.length() + "\r\n" + parameters + "\r\n").getBytes(StandardCharsets.US_ASCII);
        for (int i = 0; i < ROUNDS && System.nanoTime() < endNanos; i++) {
            channel.writeInbound(Unpooled.wrappedBuffer(command));
            ArrayRedisMessage read = channel.readInbound();
            frames.messageComplete();
            channel.writeOutbound(CallCommand.parse(read).withRemainingTime(read, ATTEMPT_DURATION_MS,
                channel.alloc()));
            ReferenceCountUtil.release(read);
            for (ByteBuf out = channel.readOutbound(); out != null; out = channel.readOutbound()) {
                out.release();
            }
        }
        channel.finishAndReleaseAll();
    }

    /** Records attempts and counter calls, which {@link #runModule} then ends; ignores all other actions. */
    private final class RecordingActions implements Gateway.Actions {
        private final Map<Long, Integer> attemptCounts = new HashMap<>();

        @Override public void send(long id, String server, double giveUpAtMs, double writeByMs) {
            sentAttempts.add(new SentAttempt(id, attemptCounts.merge(id, 1, Integer::sum) - 1));
        }

        @Override public void addToCounter(long counterId, double amount, double timeToLiveMs) {
            calledCounters.add(counterId);
        }

        @Override public void cancel(long id, int attempt) { }

        @Override public void refuse(long id, double retryAfterMs) { }

        @Override public void fail(long id) { }

        @Override public void setTimer(double delayMs, long token) { }

        @Override public void probe(String server) { }

        @Override public void subscribe() { }
    }
}
