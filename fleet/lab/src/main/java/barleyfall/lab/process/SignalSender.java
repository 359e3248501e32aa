package barleyfall.lab.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/**
 * Sends signals to processes through a shell that reads commands from a pipe. The JDK itself can send only
 * SIGTERM and SIGKILL. A line to the shell takes microseconds; starting a process for each signal would take
 * a millisecond.
 */
public final class SignalSender implements AutoCloseable {
    private final Process shell;
    private final Writer shellInput;

    /** Starts the shell; it ends when its input ends, so at the latest with this process. */
    public SignalSender() throws IOException {
        shell = new ProcessBuilder("/bin/sh").redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
        shellInput = shell.outputWriter(StandardCharsets.US_ASCII);
    }

    /** Sends a signal, for instance "STOP"; does nothing if the process has ended. */
    public synchronized void send(String signal, Process process) {
        if (!process.isAlive()) {
            return;
        }
        try {
            shellInput.write("kill -" + signal + " " + process.pid() + "\n");
            shellInput.flush();
        } catch (IOException e) {
            throw new UncheckedIOException("the shell that sends signals has ended", e);
        }
    }

    @Override public void close() throws IOException {
        shellInput.close();
        try {
            shell.waitFor(2, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        shell.destroy();
    }
}
