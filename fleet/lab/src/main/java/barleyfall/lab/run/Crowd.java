package barleyfall.lab.run;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Clients that connect to an edge node and send nothing. */
final class Crowd implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Crowd.class);
    private static final int CONNECT_TIMEOUT_MS = 500;

    private final List<Socket> sockets = new ArrayList<>();

    /** Opens connections; those that the edge node does not take are left out. */
    synchronized void join(InetSocketAddress address, int count) {
        for (int i = 0; i < count; i++) {
            Socket socket = new Socket();
            try {
                socket.connect(address, CONNECT_TIMEOUT_MS);
                sockets.add(socket);
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
