package willowyoke.net;

/** Notes since when a client's command has been received in part, and tells when that is too long. */
final class IncompleteCommandTimer {
    /** A command whose rest does not come is given up after this; the protocol demands it within 3 s. */
    private static final double TIMEOUT_MS = 2700;

    private final EdgeNode node;
    private final double acceptedAtMs;
    private final Runnable overdue;
    /** Since when the command is incomplete; 0 where none is. */
    private double sinceMs;
    /** How many commands came before it. */
    private int commandsBefore;
    private boolean scheduled;

    /** Creates the timer of a connection; a first command counts from its accept. */
    IncompleteCommandTimer(EdgeNode node, double acceptedAtMs, Runnable overdue) {
        this.node = node;
        this.acceptedAtMs = acceptedAtMs;
        this.overdue = overdue;
    }

    /** Notes whether a command is incomplete now, and how many have come before. */
    void update(boolean incomplete, int commandCount) {
        if (!incomplete) {
            sinceMs = 0;
            return;
        }
        if (sinceMs == 0 || commandsBefore != commandCount) {
            sinceMs = commandCount == 0 ? acceptedAtMs : node.nowMs();
            commandsBefore = commandCount;
        }
        schedule();
    }

    /** How long the command has been incomplete; 0 where none is. */
    double incompleteMs() {
        return sinceMs == 0 ? 0 : node.nowMs() - sinceMs;
    }

    /** Gives the command its whole time again. */
    void restart() {
        sinceMs = node.nowMs();
        schedule();
    }

    private void schedule() {
        if (!scheduled) {
            scheduled = true;
            node.schedule(sinceMs + TIMEOUT_MS - node.nowMs(), this::check);
        }
    }

    private void check() {
        scheduled = false;
        if (sinceMs == 0) {
            return;
        }
        if (node.nowMs() < sinceMs + TIMEOUT_MS) {
            schedule();
        } else {
            overdue.run();
        }
    }
}
