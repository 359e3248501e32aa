package barleyfall.lab.edge;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** One client connection's own connections to flag servers: so that no two requests share one. */
final class Upstream implements AutoCloseable {
    private static final int CONNECT = 250;

    private record Open(Socket socket, InputStream in) { }

    private final Map<String, Open> open = new HashMap<>();

    /**
     * The answer for the client: a value as the flag server made it, -BUSY where nothing ran, else a
     * failure.
     */
    String call(String server, List<String> words, double within) {
        StringBuilder text = new StringBuilder("*" + words.size() + "\r\n");
        words.forEach(w -> text.append('$').append(w.length()).append("\r\n").append(w).append("\r\n"));
        Open o = null;
        try {
            o = connection(server);
            o.socket().setSoTimeout((int) Math.max(1, within));
            o.socket().getOutputStream().write(text.toString().getBytes(StandardCharsets.ISO_8859_1));
            List<String> answer = Resp.read(o.in());
            String first = answer.get(0);
            return first.startsWith("-") ? first.startsWith("-BUSY") ? "-BUSY\r\n" : "-ERR failed\r\n"
                : "$" + first.length() + "\r\n" + first + "\r\n";
        } catch (IOException broken) {
            open.remove(server);
            closeQuietly(o);
            return o == null ? "-BUSY\r\n" : "-ERR failed\r\n";
        }
    }

    private Open connection(String server) throws IOException {
        Open o = open.get(server);
        if (o == null || o.in().available() == 0 && o.socket().isClosed()) {
            String[] at = server.split(":");
            Socket s = new Socket();
            s.connect(new InetSocketAddress(at[0], Integer.parseInt(at[1])), CONNECT);
            s.setTcpNoDelay(true);
            o = new Open(s, new BufferedInputStream(s.getInputStream()));
            open.put(server, o);
        }
        return o;
    }

    private static void closeQuietly(Open o) {
        if (o != null) {
            try {
                o.socket().close();
            } catch (IOException e) {
                // it is of no use any more either way
            }
        }
    }

    @Override public void close() {
        open.values().forEach(Upstream::closeQuietly);
    }
}
