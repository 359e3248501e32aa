package barleyfall.lab.standin;

import barleyfall.lab.seen.Event;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A connection of clients to an edge node. Commands are answered in their order. A command that crosses the
 * edge node's end of the connection is sent once more; one that the edge node must have read by then is lost.
 */
final class RequestConnection extends ChannelInboundHandlerAdapter implements Consumer<String> {
    private static final double NANOS_PER_MS = 1e6;
    /** How long an answer is waited for after the client's deadline; a later one counts as missing. */
    private static final double LATE_ANSWER_WAIT_MS = 500;
    /**
     * What was in the edge node's socket this long before the connection ended counts as taken: every time
     * limit of the protocol is longer by this much.
     */
    private static final double MAX_CROSSING_MS = 50;
    private static final int MAX_OPEN = 6;

    /** A command that has no answer yet; a PING where it belongs to no try. */
    private static final class OpenCommand {
        final ClientTry clientTry;
        final RequestText text;
        double begunAtMs;
        /** When its first bytes went into the socket; infinite before that. */
        double firstByteAtMs = Double.POSITIVE_INFINITY;
        /** Until when an answer is waited for, once it is the next to be answered. */
        double dueMs;
        boolean sent;

        OpenCommand(ClientTry clientTry, RequestText text) {
            this.clientTry = clientTry;
            this.text = text;
        }
    }

    private final EdgeConnectionPool pool;
    private final Front front;
    private final int edge;
    private final RespParser parser = new RespParser();
    /** The try that the connection is opened for, or null where it takes the next that waits. */
    private final ClientTry firstTry;
    private final ArrayDeque<OpenCommand> open = new ArrayDeque<>();
    private ChannelHandlerContext ctx;
    private long lastId;
    /** When the next command to be answered became that. */
    private double headSinceMs;
    /** Since when a part of an answer is there; 0 where none is. */
    private double partialSinceMs;
    /** A command is being written in pieces. */
    private boolean writing;
    /** The pool has it among those without open commands. */
    private boolean free;
    private boolean hasAnswered;
    private boolean wasReset;
    /** This side has closed the connection: what still comes was on its way. */
    private boolean left;

    RequestConnection(EdgeConnectionPool pool, ClientTry firstTry) {
        this.pool = pool;
        this.firstTry = firstTry;
        front = pool.front();
        edge = pool.edge();
    }

    /** Called when the connection could not be opened. */
    @Override public void accept(String reason) {
        pool.connectionFailed(firstTry, reason);
    }

    @Override public void channelActive(ChannelHandlerContext channelContext) {
        ctx = channelContext;
        if (firstTry != null && !firstTry.expired) {
            write(firstTry);
        } else {
            becomeFree();
        }
    }

    private void becomeFree() {
        free = true;
        pool.connectionFree(this);
    }

    /** Whether a further command may be written behind those that are open. */
    boolean mayTakeMore() {
        return !writing && !left && open.size() < MAX_OPEN && ctx.channel().isActive();
    }

    // ---- writing ----

    /** Writes a try, in the way that is drawn for it. */
    void write(ClientTry clientTry) {
        CommandStyle style = front.styleOf(clientTry);
        RequestText text = new RequestText(front, clientTry, pool.requestClass(clientTry),
            style.totalPauseMs());
        clientTry.written = true;
        free = false;
        pool.connectionBusy(this);
        StringBuilder before = new StringBuilder();
        for (int i = 0; i < style.pingsBefore(); i++) {
            before.append(RequestText.PING);
            add(new OpenCommand(null, null));
        }
        OpenCommand command = new OpenCommand(clientTry, text);
        command.dueMs = front.clock().nowMs() + style.totalPauseMs() + text.remainingMs()
            + LATE_ANSWER_WAIT_MS;
        add(command);
        writePieces(command, style, before + text.bytes(), 0);
    }

    private void add(OpenCommand command) {
        command.begunAtMs = front.clock().nowMs();
        if (open.isEmpty()) {
            headSinceMs = command.begunAtMs;
        }
        open.add(command);
    }

    /** Writes the next piece of a command; with the last one it counts as sent. */
    private void writePieces(OpenCommand command, CommandStyle style, String rest, int piece) {
        if (!ctx.channel().isActive() || !open.contains(command)) {
            writing = false; // it has ended, or has its answer already
            return;
        }
        writing = piece < style.pausesMs().length;
        if (writing) {
            int length = Math.max(1, Math.min(rest.length() - 1, (int) (rest.length() * style.cut())));
            flush(command, rest.substring(0, length));
            pool.loop().schedule(() -> writePieces(command, style, rest.substring(length), piece + 1),
                (long) (style.pausesMs()[piece] * NANOS_PER_MS), TimeUnit.NANOSECONDS);
            return;
        }
        StringBuilder last = new StringBuilder(rest);
        recordSent(command);
        for (int i = 0; i < style.pingsBehind(); i++) {
            last.append(RequestText.PING);
            add(new OpenCommand(null, null));
        }
        flush(command, last.toString());
        scheduleEnds(command);
    }

    /** Writes bytes of a command; they go into the socket once the link has passed them on. */
    private void flush(OpenCommand command, String text) {
        ctx.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII)).addListener(written -> {
            if (written.isSuccess()) {
                command.firstByteAtMs = Math.min(command.firstByteAtMs, front.clock().nowMs());
            }
        });
    }

    private void recordSent(OpenCommand command) {
        command.sent = true;
        front.trace().accept(command.text.sentEvent(front.clock().nowMs(), edge));
    }

    private void scheduleEnds(OpenCommand command) {
        double remainingMs = command.text.remainingMs();
        double leaveAfterMs = front.leaveAfterMs(command.clientTry, remainingMs);
        if (leaveAfterMs >= 0) {
            pool.loop().schedule(() -> leave(command), (long) (leaveAfterMs * NANOS_PER_MS),
                TimeUnit.NANOSECONDS);
        }
        checkLate(command);
    }

    // ---- ends by the client ----

    /** Closes the connection where the command is still open: its client has left, and tries no more. */
    private void leave(OpenCommand command) {
        if (open.contains(command)) {
            leaveAll();
        }
    }

    /** Closes the connection; the clients of all commands that are open have gone. */
    private void leaveAll() {
        left = true;
        for (OpenCommand command : open) {
            if (command.clientTry != null && !command.clientTry.finished) {
                command.clientTry.finished = true;
                if (command.sent) {
                    front.trace().accept(
                        new Event.ClientLeft(front.clock().nowMs(), command.clientTry.id(), edge));
                }
            }
        }
        open.clear();
        ctx.close();
    }

    /** Waits for an answer until it is due: the time behind the commands before it does not count. */
    private void checkLate(OpenCommand command) {
        double nowMs = front.clock().nowMs();
        double dueMs = open.peek() == command ? Math.max(command.dueMs, headSinceMs + LATE_ANSWER_WAIT_MS)
            : Math.max(command.dueMs, nowMs + LATE_ANSWER_WAIT_MS);
        if (nowMs < dueMs) {
            pool.loop().schedule(() -> {
                if (open.contains(command)) {
                    checkLate(command);
                }
            }, (long) ((dueMs - nowMs) * NANOS_PER_MS) + 1, TimeUnit.NANOSECONDS);
            return;
        }
        open.poll();
        command.clientTry.finished = true;
        front.trace().accept(new Event.ResponseMissing(nowMs, command.clientTry.id(), edge,
            "no answer half a second after its time"));
        leaveAll();
    }

    // ---- answers ----

    @Override public void channelRead(ChannelHandlerContext channelContext, Object message) {
        ByteBuf in = (ByteBuf) message;
        try {
            parser.add(in);
            for (List<String> answer = parser.next(); answer != null; answer = parser.next()) {
                handleAnswer(answer);
                partialSinceMs = 0;
            }
            if (parser.isEmpty()) {
                partialSinceMs = 0;
            } else if (partialSinceMs == 0) {
                partialSinceMs = front.clock().nowMs();
            }
        } catch (RespParser.MalformedRespException malformed) {
            recordUnexpected(malformed.getMessage());
            channelContext.close();
        } finally {
            in.release();
        }
    }

    private void recordUnexpected(String text) {
        front.trace().accept(new Event.UnexpectedResponse(front.clock().nowMs(), edge, lastId, text));
    }

    /** Handles an answer; without an open command it is recorded as unasked for. */
    private void handleAnswer(List<String> answer) {
        String firstWord = answer.get(0);
        OpenCommand command = open.poll();
        headSinceMs = front.clock().nowMs();
        if (command == null) {
            if (!left) {
                recordUnexpected(String.valueOf(firstWord));
            }
            return;
        }
        hasAnswered = true;
        if (command.clientTry != null) {
            answerTry(command, firstWord);
        } else if (!"+PONG".equals(firstWord)) {
            recordUnexpected("to PING: " + ValueDigest.of(firstWord));
        }
        // further answers in the same read belong to no request: handle them before the next is sent
        pool.loop().execute(() -> {
            if (ctx.channel().isActive() && open.isEmpty() && !writing && !left && !free) {
                becomeFree();
            }
        });
    }

    private void answerTry(OpenCommand command, String firstWord) {
        ClientTry clientTry = command.clientTry;
        if (!command.sent) {
            recordSent(command);
        }
        lastId = clientTry.id();
        clientTry.finished = true;
        boolean refused = RefusalLine.isRefusal(firstWord);
        boolean served = firstWord != null && !firstWord.startsWith("-") && !firstWord.startsWith("+")
            && !firstWord.startsWith(":");
        double retryAfterMs = refused ? RefusalLine.retryAfterMs(firstWord) : 0;
        front.trace().accept(new Event.ResponseReceived(front.clock().nowMs(), clientTry.id(), edge,
            served ? "served" : refused ? "refused" : "failed", served ? ValueDigest.of(firstWord) : null,
            retryAfterMs));
        if (!clientTry.expired) {
            front.tryFinished(clientTry, served, refused, retryAfterMs);
        }
    }

    // ---- the end by the edge node ----

    @Override public void channelInactive(ChannelHandlerContext channelContext) {
        double endedAtMs = partialSinceMs > 0 ? partialSinceMs : front.clock().nowMs();
        if (partialSinceMs > 0 && !open.isEmpty() && open.peek().clientTry != null) {
            valueBroken(open.poll().clientTry);
        }
        for (OpenCommand command = open.poll(); command != null; command = open.poll()) {
            if (command.clientTry != null && !command.clientTry.finished) {
                commandUnanswered(command, endedAtMs);
            }
        }
        pool.connectionEnded(this);
    }

    private void valueBroken(ClientTry clientTry) {
        clientTry.finished = true;
        front.trace().accept(new Event.ResponseReceived(front.clock().nowMs(), clientTry.id(), edge, "broken",
            null, 0));
        if (!clientTry.expired) {
            front.tryFinished(clientTry, false, false, 0);
        }
    }

    /** Sends a command once more that has crossed the end of the connection; any other one is lost. */
    private void commandUnanswered(OpenCommand command, double endedAtMs) {
        ClientTry clientTry = command.clientTry;
        double unreadMs = Math.max(0, endedAtMs - command.firstByteAtMs);
        boolean crossed = hasAnswered && !wasReset && unreadMs < MAX_CROSSING_MS;
        if (crossed && !clientTry.resent && !clientTry.expired) {
            front.trace().accept(
                new Event.RequestCrossedEnd(front.clock().nowMs(), clientTry.id(), edge, unreadMs));
            clientTry.resent = true;
            clientTry.written = false;
            pool.sendOnNewConnection(clientTry);
            return;
        }
        if (!command.sent) {
            recordSent(command);
        }
        clientTry.finished = true;
        if (crossed && clientTry.expired) {
            return; // nobody waits for it any more, and nobody sends it again
        }
        double nowMs = front.clock().nowMs();
        front.trace().accept(new Event.ResponseMissing(nowMs, clientTry.id(), edge,
            wasReset ? "the connection was reset" : String.format("the connection ended %.0f ms after its"
                + " first byte, behind %s answer", unreadMs, hasAnswered ? "an" : "no")));
        if (!clientTry.expired) {
            front.tryFinished(clientTry, false, false, 0);
        }
    }

    @Override public void exceptionCaught(ChannelHandlerContext channelContext, Throwable cause) {
        wasReset = true;
        channelContext.close();
    }
}
