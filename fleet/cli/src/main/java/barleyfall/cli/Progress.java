package barleyfall.cli;

import java.io.PrintStream;
import java.util.function.Consumer;

/**
 * Shows the progress of a run on standard error: on a terminal as one line that is overwritten, otherwise as
 * a line every few seconds.
 */
final class Progress implements Consumer<String> {
    private static final long INTERVAL_NANOS = 5_000_000_000L;

    private final PrintStream out;
    private final boolean terminal;
    /** When the last line was printed, or 0. */
    private long printedAtNanos;

    Progress() {
        out = System.err;
        terminal = System.console() != null;
    }

    @Override public synchronized void accept(String line) {
        if (terminal) {
            out.print("\r\u001b[K" + line);
            out.flush();
        } else if (System.nanoTime() - printedAtNanos > INTERVAL_NANOS || printedAtNanos == 0) {
            printedAtNanos = System.nanoTime();
            out.println(line);
        }
    }

    /** Clears the line on a terminal. */
    synchronized void done() {
        if (terminal) {
            out.print("\r\u001b[K");
            out.flush();
        }
    }
}
