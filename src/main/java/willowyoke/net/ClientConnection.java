package willowyoke.net;

import io.netty.buffer.ByteBufAllocator;
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
final class ClientConnection extends ChannelInboundHandlerAdapter
    implements MemoryAccount.Holder {
    /** Why this node ends a connection; the metric of each is labelled with its name in lower case. */
    enum EndReason {
        NODE_ENDS, MAKE_ROOM, SILENT, INCOMPLETE_COMMAND, MALFORMED_INPUT, BROKEN_VALUE, UNREAD_OUTPUT,
        FAILURE
    }

    static final RedisMessage BUSY_ANSWER = new ErrorRedisMessage("BUSY");
    private static final int MAX_COMMAND_PARTS = 16;
    /** Unanswered commands on one connection; further commands are refused as busy. */
    private static final int MAX_PIPELINED_COMMANDS = 256;
    /** How long the client has to close a connection after the node has shut down its output. */
    private static final double LINGER_MS = 200;
    /** Reads in a row in search of the client's close, as the event loop has it. */
    private static final int MAX_DIRECT_READS = 16;
    /** A connection that has been silent for this long since its accept may make room for others. */
    static final double SILENT_BEFORE_CLOSE_MS = 100;
    /** A command of which nothing more has come for this long is refused where others need the room. */
    private static final double STALLED_BEFORE_REFUSAL_MS = 100;
    /** So is a command of which something still comes, when it has been incomplete for this long. */
    private static final double INCOMPLETE_BEFORE_REFUSAL_MS = 250;
    /** How long a client may still send after it was refused to make room for others. */
    private static final double MAKE_ROOM_LINGER_MS = 20;
    /** A connection on which nothing has come is ended after this; the protocol demands it within 3 s. */
    static final double SILENCE_TIMEOUT_MS = 2300;

    private final EdgeNode node;
    private final ClientListener listener;
    private final long id;
    private final SocketChannel channel;
    private final RespCodec.FrameTracker frameTracker;
    private final ExchangeCounter exchangeCounter = new ExchangeCounter();
    private final ClientMemory memory;
    private final ClientOutput output;
    private final ArrayDeque<AnswerSlot> slots = new ArrayDeque<>();
    private final double acceptedAtMs;
    /** When something was last read, or the accept. */
    private double lastReadAtMs;
    private int commandCount;
    /** How long what is read may have waited, from the accept queue on. */
    private final BacklogAge unreadAge;
    private final IncompleteCommandTimer incompleteCommandTimer;
    /** Why the connection is to be ended as soon as nothing is owed; null while it is to stay open. */
    private EndReason endReason;
    /** What still comes is dropped undecoded, and owed no answer. */
    private boolean inputDiscarded;
    private boolean outputEnded;
    /** The end waits until all output is in the socket. */
    private boolean awaitingFlush;
    private boolean closed;
    /** Nothing more is read until a long value has been passed on whole. */
    private boolean pausedForLongValue;
    /** Commands that were lost with a value that broke when the client had a part of it. */
    private int commandsBehindBrokenValue;
    /** Answers are being written; writing one may call back that the output takes more. */
    private boolean writingAnswers;

    /** Adds the handlers of a connection to its channel, itself as the last one. */
    ClientConnection(EdgeNode node, ClientListener listener, SocketChannel channel) {
        this.node = node;
        this.listener = listener;
        this.channel = channel;
        id = listener.nextConnectionId();
        memory = ClientMemory.open(node.memory(), this);
        output = new ClientOutput(node, channel, memory.unsentOutput());
        channel.closeFuture().addListener(closed -> memory.account().close());
        channel.pipeline().addLast(node.workHandler(), output, exchangeCounter);
        frameTracker = RespCodec.addTo(channel.pipeline(), MAX_COMMAND_PARTS, memory.partialCommand());
        channel.pipeline().addLast(this);
        acceptedAtMs = node.nowMs();
        lastReadAtMs = acceptedAtMs;
        incompleteCommandTimer =
            new IncompleteCommandTimer(node, acceptedAtMs, this::incompleteCommandOverdue);
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
            if (slots.size() >= MAX_PIPELINED_COMMANDS) {
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
        } else if (message instanceof RespAggregator.DroppedMessage) {
            slot.answer(BUSY_ANSWER);
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
     * Stops reading while the client does not read its answers, and while a long value is passed on.
     * Otherwise reading goes on, because a close by the client, which cancels its requests, shows only in a
     * read. While answers are unread, it shows in writing them.
     */
    private void updateAutoRead() {
        boolean read = inputDiscarded || !outputEnded && channel.isWritable() && !pausedForLongValue;
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

    /** Notes how long the rest may have waited when there may be more in the socket than is read at once. */
    private void noteUnreadTime() {
        unreadAge.taken();
        double unreadMs = node.unreadMs();
        if (unreadMs > 0 || frameTracker.hasUnfinishedInput()) {
            unreadAge.begin(unreadMs);
        }
    }

    @Override public void channelReadComplete(ChannelHandlerContext ctx) {
        lastReadAtMs = node.nowMs();
        noteUnreadTime();
        watchIncompleteCommand();
        endSoon();
        node.flushChannels();
    }

    // ---- incomplete commands ----

    private void watchIncompleteCommand() {
        incompleteCommandTimer.update(!inputDiscarded && frameTracker.hasUnfinishedInput(), commandCount);
    }

    /** Gives up a command that has been incomplete for too long, unless its rest may be there unread. */
    private void incompleteCommandOverdue() {
        if (closed || outputEnded) {
            return;
        }
        if (DirectSocket.read(channel) == DirectSocket.Input.READ) {
            watchIncompleteCommand();
        } else if (channel.config().isAutoRead()) {
            giveUpInput(EndReason.INCOMPLETE_COMMAND, new ErrorRedisMessage("ERR incomplete command"));
        } else {
            incompleteCommandTimer.restart();
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
        if (writingAnswers) {
            return;
        }
        writingAnswers = true;
        try {
            while (!slots.isEmpty() && writeAnswer(slots.peek())) {
                slots.poll().written();
            }
        } finally {
            writingAnswers = false;
        }
        if (!frameTracker.isDecoding()) {
            endSoon();
        }
        updateAutoRead();
    }

    /** Writes an answer, or as much of it as there is and the output takes; true with the last of it. */
    private boolean writeAnswer(AnswerSlot slot) {
        if (slot.longValue() != null) {
            return writeLongValue(slot);
        }
        if (slot.answer() == null) {
            return false;
        }
        pausedForLongValue = false; // it may have taken the place of a long value
        while (slot.repeatCount() > 0 && output.takesMore()) {
            output.write(slot.takeAnswer(), slot.wantedUntilMs());
        }
        return slot.repeatCount() == 0;
    }

    /** Passes on what has come of a long value, or holds it until its turn, or until it is whole. */
    void longValueReceived(AnswerSlot slot) {
        LongValue value = slot.longValue();
        if (!isTurnOf(slot)) {
            if (value.isTooLongToHold()) {
                value.readSource(false);
            }
            return;
        }
        if (!value.isStreaming() && !isLastCommand(slot) && value.isTooLongToHold()) {
            streamLongValue(slot);
        } else {
            writeReadyAnswers();
        }
    }

    /** Whether all commands before this one have their answers. */
    boolean isTurnOf(AnswerSlot slot) {
        return slot == slots.peek();
    }

    /**
     * Passes a long value on from here on as it is received, also with commands behind it: these are lost if
     * it breaks, but the value would be lost if it were held any longer.
     */
    void streamLongValue(AnswerSlot slot) {
        if (isTurnOf(slot)) {
            pausedForLongValue = true;
            updateAutoRead();
        }
        slot.longValue().startStreaming();
        writeReadyAnswers();
    }

    /** Writes a long value that is whole or is streamed; returns true with its last part. */
    private boolean writeLongValue(AnswerSlot slot) {
        LongValue value = slot.longValue();
        if (!value.isComplete() && !value.isStreaming()) {
            pauseForLongValue(slot);
            return false;
        }
        while (value.hasNext() && output.takesMore()) {
            output.write(value.poll(), slot.wantedUntilMs());
        }
        boolean whole = value.isComplete() && !value.hasNext();
        pausedForLongValue &= !whole;
        value.readSource(whole || channel.isWritable());
        return whole;
    }

    /**
     * A long value is streamed at once where no command is behind it: if it breaks, the connection ends. So
     * nothing more is read, and it begins when the sockets have been polled once more without a further
     * command.
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
        if (channel.isWritable()) {
            node.runLater(this::writeReadyAnswers); // and flushes it
        }
        updateAutoRead();
    }

    /** The number of this connection, which no other one of this process has. */
    long id() {
        return id;
    }

    // ---- memory ----

    /** Allocates buffers for what the connection holds. */
    ByteBufAllocator alloc() {
        return channel.alloc();
    }

    /** What this connection holds in memory. */
    ClientMemory memory() {
        return memory;
    }

    @Override public MemoryAccount.Offer offer(boolean lastResort) {
        if (memory.partialCommand().bytes() > 0) {
            return memory.partialCommand().offer(frameTracker::dropMessage);
        }
        if (output.isAbandoned() && isAllAnswered() || lastResort && memory.unsentOutput().bytes() > 0) {
            return unsentOutputOffer();
        }
        return memory.waitingAnswers().bytes() == 0 ? null
            : memory.waitingAnswers().offer(() -> slots.forEach(AnswerSlot::giveUpAnswer));
    }

    private MemoryAccount.Offer unsentOutputOffer() {
        return memory.unsentOutput().offer(() -> {
            traceClose("unread output");
            node.countClientEnd(EndReason.UNREAD_OUTPUT);
            output.drop();
        });
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
        if (isToBeEnded() && isAllAnswered()) {
            output.keepBack(slots.isEmpty());
            node.runLater(this::endIfNothingOwed);
        }
    }

    /** A connection that has carried no command stays open at a node's end: its first may be on its way. */
    private boolean isToBeEnded() {
        return !closed && !outputEnded && (endReason != null || listener.isEnding() && commandCount > 0);
    }

    /** Whether it holds nothing but a command that has made no progress for a while. */
    boolean isStalled() {
        return holdsOnlyIncompleteCommand() && node.nowMs() - lastReadAtMs >= STALLED_BEFORE_REFUSAL_MS;
    }

    /** Whether it holds nothing but a command that has been incomplete for a while. */
    boolean isSlow() {
        return holdsOnlyIncompleteCommand()
            && incompleteCommandTimer.incompleteMs() >= INCOMPLETE_BEFORE_REFUSAL_MS;
    }

    private boolean holdsOnlyIncompleteCommand() {
        return slots.isEmpty() && endReason == null && !closed && channel.config().isAutoRead()
            && owesIncompleteCommand();
    }

    /** Refuses a command that has been read in part, unless more of it has come, and ends the connection. */
    void refuseIncompleteCommand() {
        if (DirectSocket.read(channel) == DirectSocket.Input.NONE && holdsOnlyIncompleteCommand()) {
            giveUpInput(EndReason.MAKE_ROOM, BUSY_ANSWER);
            endSoon();
        }
    }

    private boolean owesIncompleteCommand() {
        return !inputDiscarded && frameTracker.hasUnfinishedInput();
    }

    private boolean owesAnything() {
        return !isAllAnswered() || owesIncompleteCommand();
    }

    /** Whether each command has its answer, be it that the client has not taken it yet. */
    private boolean isAllAnswered() {
        return slots.stream().allMatch(AnswerSlot::isAnswered);
    }

    private void endIfNothingOwed() {
        if (!isToBeEnded() || awaitingFlush) {
            return;
        }
        if (owesAnything()) {
            output.keepBack(false);
        } else if (!slots.isEmpty() || output.queuedBytes() > 0) { // a shutdown drops what is still queued
            awaitingFlush = true;
            output.whenFlushed(() -> node.runLater(() -> {
                awaitingFlush = false;
                writeReadyAnswers(); // which ends the connection behind the last one
            }));
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
                output.keepBack(isToBeEnded() && !owesAnything());
                return;
            }
        }
        outputEnded();
        closeSoon();
    }

    /** Ends the connection behind a value of which the client has a part; commands behind it are lost. */
    void endBehindBrokenValue() {
        commandsBehindBrokenValue = slots.stream().skip(1).mapToInt(AnswerSlot::repeatCount).sum()
            + (owesIncompleteCommand() ? 1 : 0);
        node.countCommandsBehindBrokenValue(commandsBehindBrokenValue);
        dropSlots();
        endReason = EndReason.BROKEN_VALUE;
        outputEnded();
        output.whenFlushed(() -> {
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

    /**
     * Closes the connection when its client has had the time to close it: closing at once could reset it, and
     * the client would lose an answer.
     */
    private void closeSoon() {
        if (output.lastWriteAtMs() == Double.NEGATIVE_INFINITY && endReason == EndReason.MAKE_ROOM) {
            channel.close(); // it has carried nothing
        } else {
            node.schedule(lingerMs(), channel::close);
        }
    }

    private double lingerMs() {
        if (clientMayBeReading()) {
            return EdgeNode.STALL_TIMEOUT_MS;
        }
        return inputDiscarded && endReason == EndReason.MAKE_ROOM ? MAKE_ROOM_LINGER_MS : LINGER_MS;
    }

    /** Checks, by what has gone over the wire, that each command has its answer. */
    private void checkNothingOwed(EndReason reason) {
        if (reason == EndReason.MALFORMED_INPUT) {
            return; // what came behind it in one read is owed none
        }
        long unanswered = exchangeCounter.unansweredCommands();
        boolean broken = reason == EndReason.BROKEN_VALUE && exchangeCounter.isAnswerIncomplete();
        node.invariants().check(Invariant.ANSWERED_BEFORE_CLOSE,
            unanswered == (broken ? 1 + commandsBehindBrokenValue : 0),
            () -> unanswered + " commands without an answer, ended as " + reason);
    }

    /**
     * Whether the client may still be reading answers. At the node's end its connection stays open for that:
     * closing a socket with unread input resets the connection, and the output in the socket is lost. Before
     * the node's end, descriptors are needed more: idle connections make room for others.
     */
    private boolean clientMayBeReading() {
        return listener.isEnding() && node.nowMs() - output.lastWriteAtMs() < EdgeNode.STALL_TIMEOUT_MS;
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
     * Looks whether the client has closed its connection: what waits for an attempt on it is then cancelled.
     * Reads what the client has sent, up to a bound; where more may be there, or nothing is read, the state
     * of the socket tells of a close behind it.
     */
    void lookForClose() {
        if (closed || outputEnded) {
            return;
        }
        DirectSocket.Input input = DirectSocket.Input.READ;
        for (int i = 0; channel.config().isAutoRead() && i < MAX_DIRECT_READS
            && input == DirectSocket.Input.READ; i++) {
            input = DirectSocket.read(channel);
        }
        if (input == DirectSocket.Input.ENDED
            || input == DirectSocket.Input.READ && DirectSocket.isClosedByPeer(channel)) {
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
        dropSlots();
    }

    /** Gives up all answers, and cancels the requests that are open. */
    private void dropSlots() {
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
