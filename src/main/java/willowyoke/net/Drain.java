package willowyoke.net;

import java.util.concurrent.CompletableFuture;
import willowyoke.net.Invariants.Invariant;

/**
 * The end of a node, from SIGTERM until no client has a connection any more. What happens when is told by its
 * {@link DrainSchedule}. All but the wait for its end runs on the event loop.
 */
final class Drain {
    private static final double END_CHECK_INTERVAL_MS = 5;

    private final EdgeNode node;
    private final ClientListener clientListener;
    /** Another process shares the listening socket and its backlog, and takes over the clients. */
    private final boolean handsOver;
    private final CompletableFuture<Void> ended = new CompletableFuture<>();
    private DrainSchedule schedule;
    private double toldAtMs;

    Drain(EdgeNode node, ClientListener clientListener, boolean handsOver) {
        this.node = node;
        this.clientListener = clientListener;
        this.handsOver = handsOver;
    }

    /** Waits, on another thread than the event loop, until no client has a connection. */
    void awaitEnd() {
        ended.join();
    }

    /** Begins the drain; its times count from when the signal was handled. */
    void begin(double signalledAtMs, DrainSchedule drainSchedule) {
        toldAtMs = signalledAtMs;
        schedule = drainSchedule;
        log("begins, answers by " + Math.round(schedule.answerMs()) + " ms");
        node.answerAllBy(toldAtMs + schedule.answerMs());
        if (handsOver) {
            node.announceHandover();
            clientListener.unbind();
            clientListener.endAfterNextAnswer();
        }
        scheduleAt(schedule.keepConnectionsMs(), clientListener::endAfterNextAnswer);
        scheduleAt(schedule.refuseMs(), this::refuse);
        scheduleAt(schedule.endMs(), this::endAll);
    }

    private void scheduleAt(double afterSignalMs, Runnable task) {
        node.schedule(toldAtMs + afterSignalMs - node.nowMs(), task);
    }

    private void refuse() {
        log("refuses further requests");
        clientListener.refuseFurtherRequests();
        clientListener.endIdleConnections(schedule.answerMs() - schedule.refuseMs());
        if (handsOver) {
            endWhenIdle();
        } else {
            unbindAndEnd();
        }
    }

    /** Closes the listening socket once its queue is empty, as its close resets what waits there. */
    private void unbindAndEnd() {
        if (clientListener.mayHaveWaiting() && node.nowMs() < toldAtMs + schedule.endMs()) {
            node.schedule(END_CHECK_INTERVAL_MS, this::unbindAndEnd);
        } else {
            clientListener.unbind();
            endWhenIdle();
        }
    }

    private void endAll() {
        log("ends what is left");
        clientListener.endAll();
    }

    private void endWhenIdle() {
        if (!clientListener.isIdle()) {
            node.schedule(END_CHECK_INTERVAL_MS, this::endWhenIdle);
            return;
        }
        int unanswered = node.openRequestCount();
        node.invariants().check(Invariant.NOTHING_OWED, unanswered == 0,
            () -> unanswered + " requests without an answer at the end");
        ended.complete(null);
    }

    /** Logs a step with its time since the signal, by the clock of the log's other times. */
    private void log(String step) {
        System.err.println("drain " + step + ", " + Math.round(node.nowMs() - toldAtMs)
            + " ms after the signal at " + Math.round(toldAtMs) + ": " + clientListener.connectionCount()
            + " connections of clients, " + node.openRequestCount() + " open requests");
    }
}
