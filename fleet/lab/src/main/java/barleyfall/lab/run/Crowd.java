package barleyfall.lab.run;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Clients that connect to an edge node and send nothing, or stop inside their first command. */
final class Crowd implements AutoCloseable {
    /** What the clients of a crowd send. */
    enum Habit {
        /** Nothing, or, one in eight, the head of a command. */
        SILENT,
        /** A command but for the end of its long body. */
        HALF_SENT
    }

    private static final Logger LOG = LoggerFactory.getLogger(Crowd.class);
    private static final int CONNECT_TIMEOUT_MS = 500;
    private static final int INCOMPLETE_EVERY = 8;
    private static final byte[] INCOMPLETE_COMMAND =
        "*4\r\n$8\r\nCALL.GET\r\n$16\r\n0000".getBytes(StandardCharsets.US_ASCII);

    /** So short that it fits into the sockets, also while the edge node does not read. */
    private static final int SENT_BODY_BYTES = 60_000;
    private static final byte[] HALF_SENT_COMMAND = ("*5\r\n$9\r\nCALL.POST\r\n$16\r\n0000000000000001\r\n"
        + "$1\r\n1\r\n$3\r\nc=x\r\n$65536\r\n" + "b".repeat(SENT_BODY_BYTES))
        .getBytes(StandardCharsets.US_ASCII);

    private final Habit habit;
    private final List<Socket> sockets = new ArrayList<>();

    Crowd(Habit habit) {
        this.habit = habit;
    }

    /** Opens connections; those that the edge node does not take are left out. */
    synchronized void join(InetSocketAddress address, int count) {
        for (int i = 0; i < count; i++) {
            Socket socket = new Socket();
            try {
                socket.connect(address, CONNECT_TIMEOUT_MS);
                sockets.add(socket);
                if (habit == Habit.HALF_SENT) {
                    socket.getOutputStream().write(HALF_SENT_COMMAND);
                } else if (i % INCOMPLETE_EVERY == 0) {
                    socket.getOutputStream().write(INCOMPLETE_COMMAND);
                }
            } catch (IOException notTaken) {
                LOG.debug("not taken: {}", notTaken.getMessage());
                return;
            }
        }
    }

    @Override public synchronized void close() {
        for (Socket socket : sockets) {
            try {
                socket.close();
            } catch (IOException e) {
                LOG.debug("closed already: {}", e.getMessage());
            }
        }
        sockets.clear();
    }
}
