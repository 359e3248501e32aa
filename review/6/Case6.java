import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Spoilt answers of flag servers that begin like a refusal, to requests that may not be repeated. */
final class Case6 {
    private static final int CLIENTS = 12;
    private static final int SECONDS = 25;
    private static final int DEADLINE_MS = 6000;
    /** One answer in so many is spoilt. */
    private static final int SPOILT_ONE_IN = 20;
    /** When a request has reached a flag server whole, by its id. */
    private static final Map<String, List<Double>> RUNS = new ConcurrentHashMap<>();
    private static final AtomicInteger TWICE = new AtomicInteger();
    private static final AtomicInteger SPOILT = new AtomicInteger();

    private Case6() { }

    public static void main(String[] args) {
        Rig.run("6", Case6::play);
    }

    private static boolean play(Rig rig) throws Exception {
        rig.settings.addClass("ruleset-fetch", "read_like", 2500, DEADLINE_MS, 0);
        rig.settings.addClass("exposure-batch", "non_idempotent", 2000, DEADLINE_MS, 0);
        rig.settings.addPlan("pro", 18, 40, 0, 0, 0);
        for (int i = 0; i < 8; i++) {
            rig.addServer(i % 2 == 0 ? "hall-a" : "hall-b").work = Case6::serve;
        }
        Rig.Edge edge = rig.startEdge(0);
        Rig.Tally tally = new Rig.Tally();
        AtomicInteger ids = new AtomicInteger(0x100000);
        double endMs = rig.ms() + SECONDS * 1000;
        Thread[] clients = new Thread[CLIENTS];
        for (int c = 0; c < CLIENTS; c++) {
            String customer = String.format("%016x", 0xb4d65520L + c);
            clients[c] = Rig.spawn("client " + c, () -> client(rig, edge, tally, ids, customer, endMs));
        }
        for (Thread client : clients) {
            client.join();
        }
        rig.say("requests by their end: " + tally);
        rig.say(SPOILT + " requests were run and had a spoilt answer; " + TWICE
            + " of these were run a second time");
        if (tally.of("served") < 100) {
            throw new IllegalStateException("too few requests were served for a verdict");
        }
        return TWICE.get() > 0;
    }

    private static void client(Rig rig, Rig.Edge edge, Rig.Tally tally, AtomicInteger ids, String customer,
        double endMs) {
        while (rig.ms() < endMs) {
            try (Socket socket = Rig.connect(edge.port, DEADLINE_MS)) {
                Rig.Reader reader = new Rig.Reader(socket);
                for (boolean first = true; rig.ms() < endMs; first = false) {
                    String id = Integer.toHexString(ids.incrementAndGet());
                    String ended = rig.request(socket, reader, Rig.call("CALL.POST", customer, id,
                        "c=exposure-batch,t=pro,d=" + DEADLINE_MS + ",units=1,spread=1,first=0", "{}"), id,
                        DEADLINE_MS, first);
                    tally.add(ended);
                    if (ended.startsWith("closed") || ended.equals("lost")) {
                        break;
                    }
                    Rig.sleep(80);
                }
            } catch (IOException e) {
                tally.add("not connected");
            }
        }
    }

    /** Runs a request; one in twenty has its answer spoilt: the protocol page knows no such line. */
    private static void serve(Rig.FlagServer server, Socket socket, OutputStream out, List<String> words)
        throws IOException {
        String id = words.get(2);
        List<Double> runs = RUNS.computeIfAbsent(id, key -> new java.util.concurrent.CopyOnWriteArrayList<>());
        runs.add(server.rig.ms());
        if (runs.size() > 1) {
            TWICE.addAndGet(runs.size() == 2 ? 1 : 0);
            server.rig.log("RUN AGAIN: " + id + " at " + server.id + ", run before at " + runs);
        }
        if (server.rig.trouble && runs.size() == 1 && Integer.parseInt(id, 16) % SPOILT_ONE_IN == 0) {
            SPOILT.incrementAndGet();
            Rig.sleep(server.workMs);
            server.rig.log(server.id + " has run " + id + " and answers -BUSYKEY");
            out.write("-BUSYKEY the key is known\r\n".getBytes(StandardCharsets.US_ASCII));
            return;
        }
        server.answer(socket, out, words);
    }
}
