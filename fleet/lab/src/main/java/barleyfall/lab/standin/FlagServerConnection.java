package barleyfall.lab.standin;

import barleyfall.lab.net.LinkHandler;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * One connection of an edge node at a flag server. Commands may be pipelined; replies are sent in their
 * order.
 */
final class FlagServerConnection extends ChannelInboundHandlerAdapter {
    private static final long SECOND_ANSWER_DELAY_MS = 8;
    private static final long MAX_SECOND_ANSWER_DELAY_MS = 15;

    private final FlagServer server;
    private final int edge;
    private final LinkHandler linkHandler;
    private final double idleTimeoutMs;
    private final RespParser parser = new RespParser();
    private final ReplyQueue replies = new ReplyQueue();
    private final Map<FlagServer.Attempt, ReplyQueue.PendingReply> pendingReplies = new LinkedHashMap<>();
    private ChannelHandlerContext ctx;
    /** When the first byte of the current command was sent, on the lab's clock. */
    private double firstByteMs;
    private boolean accepted;
    private long lastUsedNanos = System.nanoTime();

    /** Creates the handler of a new connection from an edge node. */
    FlagServerConnection(FlagServer server, int edge, LinkHandler handler, double idleTimeoutMs) {
        this.server = server;
        this.edge = edge;
        this.linkHandler = handler;
        this.idleTimeoutMs = idleTimeoutMs;
    }

    /** Returns the number of the edge node. */
    int edge() {
        return edge;
    }

    @Override public void channelActive(ChannelHandlerContext channelContext) {
        ctx = channelContext;
        accepted = server.connectionOpened(edge);
        if (!accepted) {
            channelContext.channel().config().setOption(ChannelOption.SO_LINGER, 0);
            channelContext.close();
            return;
        }
        closeWhenIdle();
    }

    /** Closes the connection when it has been idle for too long. */
    private void closeWhenIdle() {
        if (!ctx.channel().isActive()) {
            return;
        }
        long idleMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lastUsedNanos);
        if (replies.isEmpty() && idleMs >= idleTimeoutMs) {
            ctx.close();
            return;
        }
        ctx.executor().schedule(this::closeWhenIdle, Math.max(50, (long) idleTimeoutMs - idleMs),
            TimeUnit.MILLISECONDS);
    }

    @Override public void channelRead(ChannelHandlerContext channelContext, Object message) {
        ByteBuf in = (ByteBuf) message;
        try {
            if (parser.isEmpty()) {
                firstByteMs = linkHandler.sentAtMs();
            }
            parser.add(in);
            for (List<String> arguments = parser.next(); arguments != null; arguments = parser.next()) {
                lastUsedNanos = System.nanoTime();
                handleCommand(arguments);
                firstByteMs = linkHandler.sentAtMs();
            }
        } catch (RespParser.MalformedRespException malformed) {
            rejectMalformed(0, malformed.getMessage());
            channelContext.close();
        } finally {
            in.release();
        }
    }

    private void handleCommand(List<String> arguments) {
        switch (arguments.get(0)) {
            case "CALL.GET", "CALL.POST" -> handleCall(arguments);
            case "PING" -> server.receiveProbe(this, false);
            case "INFO" -> server.receiveProbe(this, true);
            case "CLIENT", "SELECT" -> reply("+OK\r\n");
            default -> reply("-ERR unknown command\r\n");
        }
    }

    /** Checks a request against what the client sent and passes it to the server. */
    private void handleCall(List<String> arguments) {
        long id = 0;
        try {
            id = Long.parseUnsignedLong(arguments.get(2), 16);
        } catch (NumberFormatException | IndexOutOfBoundsException e) {
            rejectMalformed(0, String.valueOf(arguments));
            return;
        }
        RequestLog.SentTry sentTry = server.requests().byId(id);
        String problem = sentTry == null ? "an id that no client used" : findDifference(sentTry, arguments);
        if (problem != null) {
            rejectMalformed(id, problem);
            return;
        }
        server.receiveAttempt(this, id, sentTry, firstByteMs, timeLeftMs(arguments.get(3)));
    }

    /** Returns the time in the pairs of a request, or NaN where there is none. */
    private static double timeLeftMs(String pairs) {
        for (String pair : pairs.split(",")) {
            if (pair.startsWith("d=")) {
                return Double.parseDouble(pair.substring(2));
            }
        }
        return Double.NaN;
    }

    /**
     * Returns how a request differs from what the client sent, or null. The deadline may differ, as the edge
     * node sets it.
     */
    private static String findDifference(RequestLog.SentTry sentTry, List<String> arguments) {
        if (!arguments.get(0).equals(sentTry.verb()) || !arguments.get(1).equals(sentTry.customer())) {
            return "verb or customer differ: " + arguments.get(0) + " " + arguments.get(1);
        }
        boolean isKeyed = sentTry.key() != null;
        if (arguments.size() < 4 || isKeyed != (",".concat(arguments.get(3))).contains(",k=")
            || isKeyed && !("," + arguments.get(3) + ",").contains(",k=" + sentTry.key() + ",")) {
            return "the key differs: " + arguments.subList(3, arguments.size());
        }
        String body = arguments.size() > 4 ? arguments.get(4) : null;
        return java.util.Objects.equals(body, sentTry.body()) ? null : "the body differs";
    }

    /** Records a malformed request and answers it with an error. */
    private void rejectMalformed(long id, String text) {
        server.recordMalformed(edge, id, text);
        reply("-SYNTAX\r\n");
    }

    /** Reserves the place of the reply to an attempt. */
    void track(FlagServer.Attempt attempt) {
        pendingReplies.put(attempt, replies.reserve());
    }

    /** Sends the reply to an attempt, with the load report if there is one. */
    void finish(FlagServer.Attempt attempt, String outcome, String value, String report,
        AnswerSpoiler.Fate fate) {
        String reportReply = report.isEmpty() ? "$-1\r\n" : "$" + report.length() + "\r\n" + report + "\r\n";
        String text = switch (outcome) {
            case "served" -> "*3\r\n$" + value.length() + "\r\n" + value + "\r\n$-1\r\n" + reportReply;
            case "error" -> "-ERR failed" + (report.isEmpty() ? "" : " " + report) + "\r\n";
            default -> "-BUSY" + (report.isEmpty() ? "" : " " + report) + "\r\n";
        };
        ReplyQueue.PendingReply reply = pendingReplies.remove(attempt);
        if (reply == null || !ctx.channel().isActive()) {
            return;
        }
        if (fate == AnswerSpoiler.Fate.BREAKS_OFF) {
            replies.complete(ctx, reply, text.substring(0, text.length() / 2));
            ctx.close();
            return;
        }
        replies.complete(ctx, reply, text);
        if (fate == AnswerSpoiler.Fate.COMES_TWICE) {
            sendAgainLater(text);
        }
    }

    /** Sends an answer a second time, some milliseconds later; not if this machine is too late for that. */
    private void sendAgainLater(String text) {
        long sentNanos = System.nanoTime();
        ctx.executor().schedule(() -> {
            long lateMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
            if (ctx.channel().isActive() && lateMs <= MAX_SECOND_ANSWER_DELAY_MS) {
                reply(text);
            }
        }, SECOND_ANSWER_DELAY_MS, TimeUnit.MILLISECONDS);
    }

    /** Answers a probe with the load report, or with PONG if it is null. */
    void answerProbe(String report) {
        reply(report == null ? "+PONG\r\n" : "$" + report.length() + "\r\n" + report + "\r\n");
    }

    private void reply(String text) {
        replies.complete(ctx, replies.reserve(), text);
    }

    @Override public void channelInactive(ChannelHandlerContext channelContext) {
        if (accepted) {
            server.connectionClosed();
        }
        List.copyOf(pendingReplies.keySet()).forEach(server::connectionLost);
    }

    @Override public void exceptionCaught(ChannelHandlerContext channelContext, Throwable cause) {
        channelContext.close(); // reset by the edge node or by a fault
    }
}
