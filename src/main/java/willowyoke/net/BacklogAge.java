package willowyoke.net;

/**
 * How long what is taken from a queue of the kernel may have waited there. While nothing is taken the age
 * grows; once taking has resumed it ends with the first poll after which nothing more was there.
 */
final class BacklogAge {
    private final EdgeNode node;
    /** Since when something may wait; 0 where nothing does. */
    private double sinceMs;
    private boolean paused;
    private boolean checkScheduled;
    private int takenCount;

    BacklogAge(EdgeNode node) {
        this.node = node;
    }

    /** Whether something may wait from before the last poll. */
    boolean mayHaveWaiting() {
        return sinceMs > 0;
    }

    /** How long what is taken now may have waited, in ms. */
    double ageMs() {
        double unreadMs = node.unreadMs();
        return sinceMs > 0 ? Math.max(unreadMs, node.nowMs() - sinceMs) : unreadMs;
    }

    /** Notes that nothing is taken from here on. */
    void pause() {
        paused = true;
        if (sinceMs == 0) {
            sinceMs = node.nowMs();
        }
    }

    /** Notes that taking goes on. */
    void resume() {
        if (paused) {
            paused = false;
            awaitEmpty();
        }
    }

    /** Notes that something may be there which has waited for so long, and that it is being taken. */
    void begin(double waitedMs) {
        if (sinceMs == 0) {
            sinceMs = node.nowMs() - waitedMs;
            awaitEmpty();
        }
    }

    /** Counts what is taken. */
    void taken() {
        takenCount++;
    }

    private void awaitEmpty() {
        if (checkScheduled) {
            return;
        }
        checkScheduled = true;
        int takenBefore = takenCount;
        node.runAfterNextPoll(() -> {
            checkScheduled = false;
            if (paused) {
                return; // the next pause has begun
            }
            if (takenCount == takenBefore) {
                sinceMs = 0;
            } else {
                awaitEmpty();
            }
        });
    }
}
