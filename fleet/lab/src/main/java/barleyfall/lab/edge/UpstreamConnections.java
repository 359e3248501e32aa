package barleyfall.lab.edge;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The connections of one client connection to flag servers. They are not shared, so no two requests use the
 * same one at a time.
 */
final class UpstreamConnections implements AutoCloseable {
    /** Place of the name=value pairs in a request; pair d is the time that the flag server is told. */
    private static final int TERMS_INDEX = 3;
    private static final int CONNECT_TIMEOUT_MS = 250;

    /** An open connection. */
    private record Connection(Socket socket, InputStream in) { }

    private final Map<String, Connection> connections = new HashMap<>();

    /**
     * Sends a request and returns the reply for the client: the value as the flag server sent it, {@code
     * -BUSY} if the request was certainly not executed, otherwise an error.
     */
    String call(String server, List<String> arguments, double timeoutMs) {
        StringBuilder command = new StringBuilder("*" + arguments.size() + "\r\n");
        List<String> words = new ArrayList<>(arguments);
        words.set(TERMS_INDEX, ("," + arguments.get(TERMS_INDEX))
            .replaceFirst(",d=[0-9.]+", ",d=" + (long) Math.max(1, timeoutMs)).substring(1));
        words.forEach(word -> command.append('$').append(word.length()).append("\r\n").append(word)
            .append("\r\n"));
        Connection connection = null;
        try {
            connection = connectionTo(server);
            connection.socket().setSoTimeout((int) Math.max(1, timeoutMs));
            connection.socket().getOutputStream()
                .write(command.toString().getBytes(StandardCharsets.ISO_8859_1));
            List<String> answer = BlockingRespReader.read(connection.in());
            String first = answer.get(0);
            return first.startsWith("-") ? isRefusal(first) ? "-BUSY\r\n" : "-ERR failed\r\n"
                : "$" + first.length() + "\r\n" + first + "\r\n";
        } catch (IOException broken) {
            connections.remove(server);
            closeQuietly(connection);
            return connection == null ? "-BUSY\r\n" : "-ERR failed\r\n";
        }
    }

    /** Whether a line is the refusal of a flag server, alone or with a load report. */
    private static boolean isRefusal(String line) {
        return line.equals("-BUSY") || line.startsWith("-BUSY ");
    }

    /** Returns the open connection to a server or opens one. */
    private Connection connectionTo(String server) throws IOException {
        Connection connection = connections.get(server);
        if (connection == null || connection.in().available() == 0 && connection.socket().isClosed()) {
            String[] hostAndPort = server.split(":");
            Socket socket = new Socket();
            socket.connect(new InetSocketAddress(hostAndPort[0], Integer.parseInt(hostAndPort[1])),
                CONNECT_TIMEOUT_MS);
            socket.setTcpNoDelay(true);
            connection = new Connection(socket, new BufferedInputStream(socket.getInputStream()));
            connections.put(server, connection);
        }
        return connection;
    }

    private static void closeQuietly(Connection connection) {
        if (connection != null) {
            try {
                connection.socket().close();
            } catch (IOException e) {
                // the connection is given up in any case
            }
        }
    }

    @Override public void close() {
        connections.values().forEach(UpstreamConnections::closeQuietly);
    }
}
