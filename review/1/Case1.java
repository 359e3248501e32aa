import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** A crowd of peers that stop half way through a request, beside clients with ordinary requests. */
public final class Case1 {
    private static final int PEERS = 400;
    private static final int BODY_BYTES = 64 * 1024;
    private static final int PIECE_BYTES = 1400;

    private Case1() { }

    public static void main(String[] args) throws Exception {
        Verdict.run(args, Case1::isBroken);
    }

    private static boolean isBroken(EdgeLab lab, Path root, Path folder) throws Exception {
        CheckClient.Seen seen = new CheckClient.Seen();
        List<EdgeLab.FlagServer> servers = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            servers.add(lab.add(new EdgeLab.FlagServer("s-" + i, (server, parts) -> {
                String id = new String(parts.get(2));
                seen.begunAtMs.put(Long.parseUnsignedLong(id, 16), lab.nowMs());
                lab.record("request " + id + " runs at " + server.name);
                Thread.sleep(80);
                return EdgeLab.ascii("value of " + id);
            })));
        }
        EdgeLab.Discovery discovery = lab.add(new EdgeLab.Discovery(servers));
        EdgeLab.Counter counter = lab.add(new EdgeLab.Counter());
        int port = EdgeLab.freePort();
        Path tmp = Files.createDirectory(folder.resolve("edge"));
        EdgeLab.Edge edge = new EdgeLab.Edge(lab, root, tmp,
            EdgeLab.config(port, discovery, counter, servers, 1024), port, 25);
        for (int i = 0; i < 20; i++) {
            CheckClient.start(lab, edge, seen, i, 300);
        }
        Thread.sleep(4000);
        lab.record("before: " + seen);
        if (seen.served.get() < 50 || seen.lost.get() > 0) {
            throw new IOException("the edge node does not serve before the disruption: " + seen);
        }
        if (Verdict.TROUBLE) {
            crowd(lab, edge);
        } else {
            Thread.sleep(8000);
        }
        lab.record("after the crowd has gone: " + seen);
        Thread.sleep(10_000);
        lab.record("10 s later: " + seen + "; PING on a new connection: " + ping(edge));
        return seen.lost.get() > 0;
    }

    /** Peers that send a request but for the end of its body, stay for 6 s, and close. */
    private static void crowd(EdgeLab lab, EdgeLab.Edge edge) throws Exception {
        byte[] whole = EdgeLab.call("CALL.POST", 7, CheckClient.nextId(),
            "c=exposure-batch,t=pro,d=6000,k=5c0f6e1a2b3d4c59,units=1,spread=2,first=0", new byte[BODY_BYTES]);
        byte[] part = Arrays.copyOf(whole, whole.length - 500);
        List<Socket> peers = new ArrayList<>();
        for (int i = 0; i < PEERS; i++) {
            Socket peer = new Socket();
            peer.connect(edge.listen, 1000);
            peer.setTcpNoDelay(true);
            peers.add(peer);
        }
        for (int offset = 0; offset < part.length; offset += PIECE_BYTES) {
            for (Socket peer : peers) {
                try {
                    peer.getOutputStream().write(part, offset, Math.min(PIECE_BYTES, part.length - offset));
                } catch (IOException ended) {
                    continue; // it has its close
                }
            }
        }
        lab.record(PEERS + " peers have sent " + part.length + " of " + whole.length + " bytes each and stop");
        Thread.sleep(6000);
        int told = 0;
        for (Socket peer : peers) {
            peer.setSoTimeout(1);
            try {
                peer.getInputStream().read();
                told++;
            } catch (SocketTimeoutException nothing) {
                continue;
            } catch (IOException reset) {
                told++;
            } finally {
                peer.close();
            }
        }
        lab.record(told + " of " + PEERS + " peers have got an error or a close; all have closed now");
    }

    private static String ping(EdgeLab.Edge edge) {
        try (Socket socket = new Socket()) {
            socket.connect(edge.listen, 1000);
            socket.setSoTimeout(5000);
            socket.getOutputStream().write(EdgeLab.command(EdgeLab.ascii("PING")));
            return EdgeLab.readLine(socket.getInputStream());
        } catch (IOException e) {
            return e.toString();
        }
    }
}
