package barleyfall.cli;

import java.io.PrintStream;
import java.util.function.Consumer;

/** Where a run stands: one line that is written over on a terminal, elsewhere a plain line now and then. */
final class Progress implements Consumer<String> {
    private static final long EVERY = 5_000_000_000L;

    private final PrintStream to;
    private final boolean terminal;
    private long said;

    Progress() {
        to = System.err;
        terminal = System.console() != null;
    }

    @Override public synchronized void accept(String line) {
        if (terminal) {
            to.print("\r\u001b[K" + line);
            to.flush();
        } else if (System.nanoTime() - said > EVERY || said == 0) {
            said = System.nanoTime();
            to.println(line);
        }
    }

    synchronized void done() {
        if (terminal) {
            to.print("\r\u001b[K");
            to.flush();
        }
    }
}
