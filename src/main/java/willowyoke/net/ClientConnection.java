package willowyoke.net;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.ErrorRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.handler.codec.redis.SimpleStringRedisMessage;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Locale;
import willowyoke.net.Invariants.Invariant;

/**
 * A connection of a client, as the last handler of its pipeline, and the only one that ends it. It knows what
 * the client is still owed: commands that are read in part, commands without an answer, and output that is
 * not flushed. Others ask for an end ({@link #requestEnd}); it comes once nothing is owed.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {
    /** Why this node ends a connection; the metric of each is labelled with its name in lower case. */
    enum EndReason {
        NODE_ENDS, MAKE_ROOM, SILENT, INCOMPLETE_COMMAND, MALFORMED_INPUT, BROKEN_VALUE, FAILURE
    }

    static final RedisMessage BUSY_ANSWER = new ErrorRedisMessage("BUSY");
    /** Unanswered commands on one connection; further commands are refused as busy. */
    private static final int MAX_PIPELINED_COMMANDS = 256;
    /** How long the client has to close a connection after the node has shut down its output. */
    private static final double LINGER_MS = 200;
    /** Reads in a row in search of the client's close, as the event loop has it. */
    private static final int MAX_DIRECT_READS = 16;
    /** A connection that has been silent for this long since its accept may make room for others. */
    static final double SILENT_BEFORE_CLOSE_MS = 100;
    /** A connection on which nothing has come is ended after this; the protocol demands it within 3 s. */
    static final double SILENCE_TIMEOUT_MS = 2300;
    /** A command whose rest does not come is given up after this; the protocol demands it within 3 s. */
    private static final double INCOMPLETE_COMMAND_TIMEOUT_MS = 2700;

    private final EdgeNode node;
    private final ClientListener listener;
    private final SocketChannel channel;
    private final RespCodec.FrameTracker frameTracker;
    private final ExchangeCounter exchangeCounter;
    private final ArrayDeque<AnswerSlot> slots = new ArrayDeque<>();
    private final double acceptedAtMs;
    private int commandCount;
    /** How long what is read may have waited, from the accept queue on. */
    private final BacklogAge unreadAge;
    /** Since when the command that is read in part has been incomplete, and the commands before it. */
    private double incompleteSinceMs;
    private int commandsBeforeIncomplete;
    private boolean incompleteTimerSet;
    /** Why the connection is to be ended as soon as nothing is owed; null while it is to stay open. */
    private EndReason endReason;
    /** What still comes is dropped undecoded, and owed no answer. */
    private boolean inputDiscarded;
    private boolean outputEnded;
    /** The last output is kept back, so that the end goes with it. */
    private boolean outputHeld;
    /** The end waits until all output is in the socket. */
    private boolean awaitingFlush;
    private boolean closed;
    /** Nothing more is read until a long value has been passed on whole. */
    private boolean pausedForLongValue;
    private double lastWriteAtMs = Double.NEGATIVE_INFINITY;

    ClientConnection(EdgeNode node, ClientListener listener, SocketChannel channel,
        ExchangeCounter exchangeCounter, RespCodec.FrameTracker frameTracker) {
        this.node = node;
        this.listener = listener;
        this.channel = channel;
        this.frameTracker = frameTracker;
        this.exchangeCounter = exchangeCounter;
        acceptedAtMs = node.nowMs();
        unreadAge = new BacklogAge(node);
        unreadAge.begin(AcceptControl.queuedMs(channel));
        node.schedule(SILENCE_TIMEOUT_MS, this::endIfSilent);
    }

    // ---- commands ----

    @Override public void channelRead(ChannelHandlerContext ctx, Object msg) {
        node.invariants().checkEventLoop("a client's message");
        frameTracker.messageComplete();
        commandCount++;
        if (slots.isEmpty()) {
            listener.connectionUsed(this);
        }
        try {
            if (slots.size() >= MAX_PIPELINED_COMMANDS || !slots.isEmpty() && node.isMemoryFull()) {
                refuseUnread();
            } else {
                AnswerSlot slot = new AnswerSlot(node, this);
                slots.add(slot);
                handleMessage(slot, msg);
            }
        } finally {
            ReferenceCountUtil.release(msg);
        }
        updateAutoRead();
    }

    /** Refuses a command in its turn. Reading goes on, as only a read shows that the client closes. */
    private void refuseUnread() {
        AnswerSlot last = slots.peekLast();
        if (last.answer() == BUSY_ANSWER) {
            last.repeatAnswer();
        } else {
            addAnswer(BUSY_ANSWER);
        }
    }

    private void addAnswer(RedisMessage answer) {
        AnswerSlot slot = new AnswerSlot(node, this);
        slots.add(slot);
        slot.answer(answer);
    }

    private void handleMessage(AnswerSlot slot, Object message) {
        if (message instanceof ArrayRedisMessage command && command != ArrayRedisMessage.NULL_INSTANCE
            && !command.children().isEmpty()) {
            handleCommand(slot, command);
        } else {
            slot.answer(new ErrorRedisMessage("ERR a command expected"));
        }
    }

    private void handleCommand(AnswerSlot slot, ArrayRedisMessage command) {
        String name = RespCodec.text(command.children().get(0));
        if ("CALL.GET".equals(name) || "CALL.POST".equals(name)) {
            String error = listener.isRefusing() ? node.refuseRequest(slot, command)
                : node.acceptRequest(slot, command, unreadAge.ageMs());
            if (error != null) {
                slot.answer(new ErrorRedisMessage("ERR " + error));
            }
        } else if ("PING".equalsIgnoreCase(name)) {
            slot.answer(new SimpleStringRedisMessage("PONG"));
        } else {
            slot.answer(new ErrorRedisMessage("ERR unknown command"));
        }
    }

    /**
     * Stops reading while the client does not read its answers, while a long value is passed on, and, when
     * the pending requests take too much memory, while none of them is of this connection. Otherwise reading
     * goes on, because a close by the client, which cancels its requests, shows only in a read. While answers
     * are unread, it shows in writing them.
     */
    void updateAutoRead() {
        boolean read = inputDiscarded || !outputEnded && channel.isWritable() && !pausedForLongValue
            && !isPausedForMemory();
        if (channel.config().isAutoRead() == read) {
            return;
        }
        channel.config().setAutoRead(read);
        if (read) {
            unreadAge.resume();
        } else {
            unreadAge.pause();
        }
    }

    /** Whether nothing is read for want of memory; a request that is refused takes none. */
    private boolean isPausedForMemory() {
        return slots.isEmpty() && node.isMemoryFull() && !listener.isRefusing();
    }

    /** Notes how long the rest may have waited when there may be more in the socket than is read at once. */
    private void noteUnreadTime() {
        unreadAge.taken();
        double unreadMs = node.unreadMs();
        if (unreadMs > 0 || frameTracker.hasUnfinishedInput()) {
            unreadAge.begin(unreadMs);
        }
    }

    @Override public void channelReadComplete(ChannelHandlerContext ctx) {
        noteUnreadTime();
        watchIncompleteCommand();
        endSoon();
        node.flushChannels();
    }

    // ---- incomplete commands ----

    /** Notes since when a command is incomplete, and has that checked. */
    private void watchIncompleteCommand() {
        if (inputDiscarded || !frameTracker.hasUnfinishedInput()) {
            incompleteSinceMs = 0;
            return;
        }
        if (incompleteSinceMs == 0 || commandsBeforeIncomplete != commandCount) {
            incompleteSinceMs = commandCount == 0 ? acceptedAtMs : node.nowMs();
            commandsBeforeIncomplete = commandCount;
        }
        if (!incompleteTimerSet) {
            incompleteTimerSet = true;
            node.schedule(incompleteSinceMs + INCOMPLETE_COMMAND_TIMEOUT_MS - node.nowMs(),
                this::checkIncompleteCommand);
        }
    }

    private void checkIncompleteCommand() {
        incompleteTimerSet = false;
        if (closed || outputEnded || incompleteSinceMs == 0) {
            return;
        }
        if (node.nowMs() < incompleteSinceMs + INCOMPLETE_COMMAND_TIMEOUT_MS) {
            watchIncompleteCommand();
        } else if (DirectSocket.read(channel) == DirectSocket.Input.READ) {
            watchIncompleteCommand();
        } else if (channel.config().isAutoRead()) {
            giveUpInput(EndReason.INCOMPLETE_COMMAND, new ErrorRedisMessage("ERR incomplete command"));
        } else { // its rest may be there unread
            incompleteSinceMs = node.nowMs();
            watchIncompleteCommand();
        }
    }

    /** Answers what has been read in part, in its turn, and then ends the connection. */
    private void giveUpInput(EndReason reason, RedisMessage answer) {
        endReason = reason;
        discardInput();
        addAnswer(answer);
    }

    /** Drops all further input before it is decoded, because there may be much of it. */
    private void discardInput() {
        inputDiscarded = true;
        exchangeCounter.ignoreFurtherInput();
        frameTracker.discardInput();
        updateAutoRead();
    }

    // ---- answers ----

    /** Writes all answers whose turn it is. */
    void writeReadyAnswers() {
        while (!slots.isEmpty() && writeAnswer(slots.peek())) {
            slots.poll();
            lastWriteAtMs = node.nowMs();
        }
        if (!frameTracker.isDecoding()) {
            endSoon();
        }
        updateAutoRead();
    }

    /** Writes an answer, or what there is of it; true where that was the last of it. */
    private boolean writeAnswer(AnswerSlot slot) {
        if (slot.longValue() != null) {
            return writeLongValue(slot);
        }
        if (slot.answer() == null) {
            return false;
        }
        for (int i = 0; i < slot.repeatCount(); i++) {
            write(slot.answer());
        }
        return true;
    }

    private void write(RedisMessage message) {
        channel.write(message, channel.voidPromise());
        node.flushLater(channel);
    }

    /**
     * Passes on what has come of a long value, or holds it until its turn. False where no more of it may be
     * held.
     */
    boolean longValueReceived(AnswerSlot slot) {
        LongValue value = slot.longValue();
        if (slot == slots.peek()) {
            boolean held = !value.isStreaming() && !isLastCommand(slot);
            if (held && value.isTooLongToHold()) {
                return false;
            }
            writeReadyAnswers();
        } else if (value.isTooLongToHold()) {
            value.readSource(false);
        }
        return true;
    }

    /** Writes a long value that is whole or is streamed; returns true with its last part. */
    private boolean writeLongValue(AnswerSlot slot) {
        LongValue value = slot.longValue();
        if (!value.isComplete() && !value.isStreaming()) {
            pauseForLongValue(slot);
            return false;
        }
        for (RedisMessage part = value.poll(); part != null; part = value.poll()) {
            write(part);
        }
        boolean whole = value.isComplete();
        pausedForLongValue &= !whole;
        value.readSource(whole || channel.isWritable());
        return whole;
    }

    /**
     * A long value is streamed where no command is behind it: if it breaks, the connection ends. So nothing
     * more is read, and it begins when the sockets have been polled once more without a further command.
     */
    private void pauseForLongValue(AnswerSlot slot) {
        slot.longValue().readSource(true);
        if (!pausedForLongValue && isLastCommand(slot)) {
            pausedForLongValue = true;
            updateAutoRead();
            node.runAfterNextPoll(() -> startStreaming(slot));
        }
    }

    private void startStreaming(AnswerSlot slot) {
        LongValue value = slot.longValue();
        if (closed || slot != slots.peek() || value == null || value.isComplete()) {
            pausedForLongValue = false;
        } else if (isLastCommand(slot)) {
            value.startStreaming();
        } else {
            pausedForLongValue = false;
        }
        writeReadyAnswers();
    }

    /** Whether no other command is open or has been read in part. */
    private boolean isLastCommand(AnswerSlot slot) {
        return slots.peekLast() == slot && (inputDiscarded || !frameTracker.hasUnfinishedInput());
    }

    @Override public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        AnswerSlot first = slots.peek();
        if (first != null && first.isStreaming()) {
            first.longValue().readSource(channel.isWritable());
        }
        updateAutoRead();
    }

    // ---- the end ----

    /** Has the connection ended as soon as the client is owed nothing on it. */
    void requestEnd(EndReason reason) {
        endReason = endReason == null ? reason : endReason;
        endSoon();
    }

    /** Ends the connection now: a command that has been read in part is refused. */
    void endNow() {
        if (closed || outputEnded) {
            return;
        }
        endReason = endReason == null ? EndReason.NODE_ENDS : endReason;
        if (owesIncompleteCommand() && DirectSocket.read(channel) != DirectSocket.Input.ENDED
            && owesIncompleteCommand()) {
            giveUpInput(EndReason.NODE_ENDS, BUSY_ANSWER);
        }
        endSoon();
    }

    /**
     * Ends the connection after the current event if nothing is owed then. A last answer is kept back until
     * the end goes with it: a client that has its answer may send the next command.
     */
    private void endSoon() {
        if (isToBeEnded() && slots.isEmpty()) {
            holdOutput(true);
            node.runLater(this::endIfNothingOwed);
        }
    }

    private void holdOutput(boolean held) {
        if (outputHeld != held) {
            outputHeld = held;
            DirectSocket.holdOutput(channel, held);
        }
    }

    /** A connection that has carried no command stays open at a node's end: its first may be on its way. */
    private boolean isToBeEnded() {
        return !closed && !outputEnded && (endReason != null || listener.isEnding() && commandCount > 0);
    }

    private boolean owesIncompleteCommand() {
        return !inputDiscarded && frameTracker.hasUnfinishedInput();
    }

    private boolean owesAnything() {
        return !slots.isEmpty() || owesIncompleteCommand() || isPausedForMemory();
    }

    private void endIfNothingOwed() {
        if (!isToBeEnded() || awaitingFlush) {
            return;
        }
        if (owesAnything()) {
            holdOutput(false);
        } else if (unwrittenBytes() > 0) { // a shutdown drops output that is still queued for a slow client
            awaitingFlush = true;
            whenFlushed(() -> {
                awaitingFlush = false;
                endSoon();
            });
        } else {
            endUnlessInput();
        }
    }

    /** Ends the connection, unless a command is in the socket by now. */
    private void endUnlessInput() {
        if (inputDiscarded) {
            channel.shutdownOutput();
        } else {
            DirectSocket.Input input = DirectSocket.endOutputUnlessInput(channel);
            if (input != DirectSocket.Input.NONE) {
                node.countClientEndPutOff();
                holdOutput(isToBeEnded() && !owesAnything());
                return;
            }
        }
        outputEnded();
        closeSoon();
    }

    /** Ends the connection behind a value of which the client has a part; no other command is open. */
    void endBehindBrokenValue() {
        slots.forEach(AnswerSlot::release);
        slots.clear();
        endReason = EndReason.BROKEN_VALUE;
        outputEnded();
        whenFlushed(() -> {
            channel.shutdownOutput();
            closeSoon();
        });
    }

    /** Notes that no more is written, nor read: a client sends again what has crossed the end unread. */
    private void outputEnded() {
        EndReason reason = endReason == null ? EndReason.NODE_ENDS : endReason;
        outputEnded = true;
        traceClose(reason.name().toLowerCase(Locale.ROOT));
        checkNothingOwed(reason);
        node.countClientEnd(reason);
        frameTracker.discardInput();
        exchangeCounter.outputEnded(node::countBytesBehindEnd);
        updateAutoRead();
    }

    private void whenFlushed(Runnable task) {
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(f -> task.run());
        closeWithoutProgress(unwrittenBytes());
    }

    /**
     * Closes the connection when its client has had the time to close it: closing at once could reset it, and
     * the client would lose an answer.
     */
    private void closeSoon() {
        if (lastWriteAtMs == Double.NEGATIVE_INFINITY && endReason == EndReason.MAKE_ROOM) {
            channel.close(); // it has carried nothing
        } else {
            node.schedule(clientMayBeReading() ? EdgeNode.STALL_TIMEOUT_MS : LINGER_MS, channel::close);
        }
    }

    /** Checks, by what has gone over the wire, that each command has its answer. */
    private void checkNothingOwed(EndReason reason) {
        if (reason == EndReason.MALFORMED_INPUT) {
            return; // what came behind it in one read is owed none
        }
        long unanswered = exchangeCounter.unansweredCommands();
        boolean broken = reason == EndReason.BROKEN_VALUE && exchangeCounter.isAnswerIncomplete();
        node.invariants().check(Invariant.ANSWERED_BEFORE_CLOSE, unanswered == (broken ? 1 : 0),
            () -> unanswered + " commands without an answer, ended as " + reason);
    }

    /**
     * Whether the client may still be reading answers. At the node's end its connection stays open for that:
     * closing a socket with unread input resets the connection, and the output in the socket is lost. Before
     * the node's end, descriptors are needed more: idle connections make room for others.
     */
    private boolean clientMayBeReading() {
        return listener.isEnding() && node.nowMs() - lastWriteAtMs < EdgeNode.STALL_TIMEOUT_MS;
    }

    /** Closes the connection if its client has stopped reading answers; waits for a slow one. */
    private void closeWithoutProgress(long previousBytes) {
        node.schedule(EdgeNode.STALL_TIMEOUT_MS, () -> {
            long bytes = unwrittenBytes();
            if (bytes > 0 && bytes == previousBytes) {
                traceClose("the client reads nothing");
                channel.close();
            } else if (bytes > 0) {
                closeWithoutProgress(bytes);
            }
        });
    }

    /** Output that is still queued in this process. */
    private long unwrittenBytes() {
        return channel.unsafe().outboundBuffer() == null ? 0
            : channel.unsafe().outboundBuffer().totalPendingWriteBytes();
    }

    /** Writes the reason for a close to the trace, where that is on. */
    private void traceClose(String reason) {
        if (RequestTrace.ENABLED) {
            RequestTrace.log(node.nowMs(), "client " + channel.remoteAddress(), "closed",
                reason + ", " + slots.size() + " open");
        }
    }

    /** Whether no byte has come for a while since the accept, and no end is under way. */
    boolean isSilent() {
        return commandCount == 0 && endReason == null && !frameTracker.hasUnfinishedInput()
            && node.nowMs() - acceptedAtMs >= SILENT_BEFORE_CLOSE_MS;
    }

    /** Whether it has carried commands, and nothing is owed or under way on it. */
    boolean isIdle() {
        return commandCount > 0 && slots.isEmpty() && endReason == null && !owesIncompleteCommand();
    }

    /** Whether it has carried a command. */
    boolean isUsed() {
        return commandCount > 0;
    }

    /**
     * Ends a connection on which nothing has come. It gets no error, which a client that is just writing
     * would take for its answer.
     */
    private void endIfSilent() {
        if (commandCount == 0 && !frameTracker.hasUnfinishedInput()) {
            requestEnd(EndReason.SILENT);
        }
    }

    /**
     * Reads what the client has sent, up to its close: what waits for an attempt on this connection is then
     * cancelled. A client of which nothing is read is left to the event loop.
     */
    void lookForClose() {
        if (closed || outputEnded || !channel.config().isAutoRead()) {
            return;
        }
        DirectSocket.Input input = DirectSocket.Input.READ;
        for (int i = 0; i < MAX_DIRECT_READS && input == DirectSocket.Input.READ; i++) {
            input = DirectSocket.read(channel);
        }
        if (input == DirectSocket.Input.ENDED) {
            clientGone();
            channel.close();
        }
    }

    @Override public void channelInactive(ChannelHandlerContext ctx) {
        clientGone();
        listener.makeRoom();
        node.flushChannels();
    }

    private void clientGone() {
        closed = true;
        listener.connectionClosed(this);
        while (!slots.isEmpty()) {
            AnswerSlot slot = slots.poll();
            slot.release();
            if (slot.request != null) {
                node.clientDisconnected(slot.request);
            }
        }
    }

    /** Ends the connection after malformed input: where the next command begins is unknown. */
    @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (closed) {
            return; // the decoder reports a command that the client has left incomplete
        }
        if (cause instanceof CodecException) {
            if (!inputDiscarded && !outputEnded) {
                giveUpInput(EndReason.MALFORMED_INPUT, new ErrorRedisMessage("ERR malformed"));
            }
            return;
        }
        if (!(cause instanceof IOException)) {
            node.logError("client connection", cause);
            checkNothingOwed(EndReason.FAILURE);
        }
        traceClose(cause.toString());
        channel.close();
    }
}
