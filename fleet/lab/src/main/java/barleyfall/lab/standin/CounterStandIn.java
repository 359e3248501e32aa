package barleyfall.lab.standin;

import barleyfall.lab.experiment.Experiment;
import barleyfall.lab.net.LabClock;
import barleyfall.lab.net.LinkHandler;
import barleyfall.lab.seen.Event;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The stand-in for the shared counter: named counters with a lifetime, calls served one after another at a
 * limited rate. Everything runs on one event loop.
 */
public final class CounterStandIn {
    private static final int MAX_CONNECTIONS_PER_EDGE = 32;
    private static final int IDLE_TIMEOUT_MS = 9500;
    private static final double MAX_LIFETIME_MS = 60_000;
    private static final double MAX_AMOUNT = 1e9;
    private static final double NANOS_PER_MS = 1e6;
    private static final double PURGE_INTERVAL_MS = 5000;

    /** One counter; it starts again from zero when its lifetime is over. */
    private static final class Count {
        double total;
        double expiresAtMs;
    }

    private final Experiment.Counter settings;
    private final LabClock clock;
    private final EventLoop loop;
    private final Consumer<Event> trace;
    private final Map<String, Count> counts = new HashMap<>();
    private final Map<Integer, Integer> connectionsByEdge = new HashMap<>();
    private double busyUntilMs;
    private boolean away;

    /** Creates a counter service on an event loop. */
    public CounterStandIn(Experiment.Counter settings, LabClock clock, EventLoop loop,
        Consumer<Event> trace) {
        this.settings = settings;
        this.clock = clock;
        this.loop = loop;
        this.trace = trace;
        loop.scheduleAtFixedRate(this::removeExpired, (long) PURGE_INTERVAL_MS, (long) PURGE_INTERVAL_MS,
            TimeUnit.MILLISECONDS);
    }

    /** While away, calls are neither answered nor counted. */
    public void setAway(boolean isAway) {
        loop.execute(() -> away = isAway);
    }

    /** Loses all counters, as a failover to an empty instance does. */
    public void clearCounts() {
        loop.execute(counts::clear);
    }

    /** Adds the handlers of a new connection of an edge node. */
    public void addHandlers(int edge, SocketChannel channel, LinkHandler handler) {
        channel.pipeline().addLast(new Connection(edge));
    }

    private void removeExpired() {
        double nowMs = clock.nowMs();
        counts.values().removeIf(count -> count.expiresAtMs < nowMs);
    }

    /** One connection of an edge node. Connections above the limit are reset, idle ones are closed. */
    private final class Connection extends ChannelInboundHandlerAdapter {
        private final int edge;
        private final RespParser parser = new RespParser();
        private final ReplyQueue replies = new ReplyQueue();
        private boolean accepted;
        private long lastUsedNanos = System.nanoTime();

        Connection(int edge) {
            this.edge = edge;
        }

        @Override public void channelActive(ChannelHandlerContext ctx) {
            accepted = connectionsByEdge.getOrDefault(edge, 0) < MAX_CONNECTIONS_PER_EDGE;
            if (!accepted) {
                ctx.channel().config().setOption(ChannelOption.SO_LINGER, 0);
                ctx.close();
                return;
            }
            connectionsByEdge.merge(edge, 1, Integer::sum);
            closeWhenIdle(ctx);
        }

        private void closeWhenIdle(ChannelHandlerContext ctx) {
            long idleMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lastUsedNanos);
            if (idleMs >= IDLE_TIMEOUT_MS) {
                ctx.close();
            } else if (ctx.channel().isActive()) {
                ctx.executor().schedule(() -> closeWhenIdle(ctx), IDLE_TIMEOUT_MS - idleMs,
                    TimeUnit.MILLISECONDS);
            }
        }

        @Override public void channelRead(ChannelHandlerContext ctx, Object message) {
            ByteBuf in = (ByteBuf) message;
            try {
                parser.add(in);
                for (List<String> arguments = parser.next(); arguments != null; arguments = parser.next()) {
                    lastUsedNanos = System.nanoTime();
                    handleCommand(ctx, arguments);
                }
            } catch (RespParser.MalformedRespException malformed) {
                ctx.close();
            } finally {
                in.release();
            }
        }

        private void handleCommand(ChannelHandlerContext ctx, List<String> arguments) {
            ReplyQueue.PendingReply reply = replies.reserve();
            switch (arguments.get(0)) {
                case "CNT.ADD" -> add(ctx, reply, arguments);
                case "PING" -> replies.complete(ctx, reply, "+PONG\r\n");
                case "CLIENT", "SELECT" -> replies.complete(ctx, reply, "+OK\r\n");
                default -> replies.complete(ctx, reply, "-ERR no such call\r\n");
            }
        }

        /** Handles CNT.ADD NAME AMOUNT LIFETIME. */
        private void add(ChannelHandlerContext ctx, ReplyQueue.PendingReply reply, List<String> arguments) {
            double nowMs = clock.nowMs();
            String name = arguments.size() == 4 ? arguments.get(1) : "";
            double amount = arguments.size() == 4 ? parseNumber(arguments.get(2)) : Double.NaN;
            double lifetimeMs = arguments.size() == 4 ? parseNumber(arguments.get(3)) : Double.NaN;
            if (name.isEmpty() || name.length() > 64 || !(Math.abs(amount) <= MAX_AMOUNT)
                || !(lifetimeMs >= 1)) {
                replies.complete(ctx, reply, "-ERR no such call\r\n");
                return;
            }
            if (away) {
                trace.accept(new Event.CounterCall(nowMs, edge, name, amount, "away"));
                return; // neither answered nor counted
            }
            double startMs = Math.max(nowMs, busyUntilMs) + 1000 / settings.callsPerSecond();
            if (nowMs < 0
                || (startMs - nowMs) * settings.callsPerSecond() / 1000 > settings.maxQueuedCalls()) {
                trace.accept(new Event.CounterCall(nowMs, edge, name, amount, "busy"));
                replies.complete(ctx, reply, "-BUSY\r\n");
                return;
            }
            busyUntilMs = startMs;
            trace.accept(new Event.CounterCall(nowMs, edge, name, amount, "added"));
            loop.schedule(() -> {
                Count count = counts.computeIfAbsent(name, n -> {
                    Count created = new Count();
                    created.expiresAtMs = clock.nowMs() + Math.min(lifetimeMs, MAX_LIFETIME_MS);
                    return created;
                });
                if (count.expiresAtMs < clock.nowMs()) {
                    count.total = 0;
                    count.expiresAtMs = clock.nowMs() + Math.min(lifetimeMs, MAX_LIFETIME_MS);
                }
                count.total += amount;
                String total = String.format(Locale.ROOT, "%.7g", count.total);
                loop.schedule(() -> {
                    if (ctx.channel().isActive()) {
                        replies.complete(ctx, reply, "$" + total.length() + "\r\n" + total + "\r\n");
                    }
                }, (long) (settings.callMs() * NANOS_PER_MS), TimeUnit.NANOSECONDS);
            }, (long) ((startMs - nowMs) * NANOS_PER_MS), TimeUnit.NANOSECONDS);
        }

        @Override public void channelInactive(ChannelHandlerContext ctx) {
            if (accepted) {
                connectionsByEdge.merge(edge, -1, Integer::sum);
            }
        }

        @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close(); // reset by the edge node or by a fault
        }
    }

    /** Returns the number, NaN if the text is none. */
    private static double parseNumber(String word) {
        try {
            return Double.parseDouble(word);
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }
}
