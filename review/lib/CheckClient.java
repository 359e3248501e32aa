import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A sound client: sends flag-check requests one after the other on a connection that it keeps, and reads each
 * answer. A request is counted as lost only where its connection has carried an answer before, and then
 * <ul>
 * <li>it gets no final answer until half a second (and the 50 ms of the page on sockets) after its time, or
 * <li>it was begun by a flag server, and the edge node ends the connection without an answer.
 * </ul>
 */
final class CheckClient {
    static final int TIME_MS = 1500;
    /** Half a second, and the 50 ms by which each limit is longer on sockets. */
    static final int GRACE_MS = 550;

    private static final AtomicLong IDS = new AtomicLong(0x1000);

    /** What all clients together have seen. */
    static final class Seen {
        final AtomicInteger served = new AtomicInteger();
        final AtomicInteger refused = new AtomicInteger();
        final AtomicInteger failed = new AtomicInteger();
        final AtomicInteger lost = new AtomicInteger();
        final AtomicInteger notCounted = new AtomicInteger();
        /** The requests that a flag server has got whole, by id. */
        final Map<Long, Double> begunAtMs = new ConcurrentHashMap<>();

        @Override public String toString() {
            return "flag-check: " + served + " served, " + refused + " refused, " + failed + " failed, " + lost
                + " lost; ended on a new connection: " + notCounted;
        }
    }

    private CheckClient() { }

    static long nextId() {
        return IDS.incrementAndGet();
    }

    /** Runs a client until the process ends. */
    static void start(EdgeLab lab, EdgeLab.Edge edge, Seen seen, int number, int pauseMs) {
        EdgeLab.thread("client " + number, () -> {
            Random random = new Random(number);
            Socket socket = null;
            boolean used = false;
            while (true) {
                Thread.sleep(pauseMs / 2 + random.nextInt(pauseMs));
                long id = nextId();
                double sentAtMs = lab.nowMs();
                try {
                    if (socket == null) {
                        used = false;
                        socket = new Socket();
                        socket.connect(edge.listen, TIME_MS);
                        socket.setTcpNoDelay(true);
                    }
                    socket.setSoTimeout(TIME_MS + GRACE_MS);
                    socket.getOutputStream().write(EdgeLab.call("CALL.GET", 100 + number, id,
                        "c=flag-check,t=pro,d=" + TIME_MS + ",units=1,spread=2,first=0", null));
                    String answer = EdgeLab.readAnswer(socket.getInputStream());
                    used = true;
                    AtomicInteger count = answer.startsWith("$") ? seen.served
                        : answer.startsWith("-BUSY") ? seen.refused : seen.failed;
                    count.incrementAndGet();
                    double tookMs = lab.nowMs() - sentAtMs;
                    lab.record(String.format("request %x on client %d: %s after %.0f ms", id, number, answer, tookMs));
                } catch (IOException e) {
                    double tookMs = lab.nowMs() - sentAtMs;
                    boolean silent = e instanceof SocketTimeoutException;
                    boolean lost = used && (silent || seen.begunAtMs.containsKey(id));
                    (lost ? seen.lost : seen.notCounted).incrementAndGet();
                    lab.record(String.format("request %x on client %d: %s, %s after %.0f ms, %s", id, number,
                        lost ? "LOST" : "not counted", e, tookMs,
                        seen.begunAtMs.containsKey(id) ? "a flag server has begun it" : "no flag server has it"));
                    if (socket != null) {
                        socket.close();
                    }
                    socket = null;
                }
            }
        });
    }
}
