import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;

/** An edge node starts while discovery is slow; later a flag server begins to drain. */
final class Case9 {
    /** How long a call to discovery takes; an open watch is told changes at once. */
    private static final int DISCOVERY_MS = 4000;
    /** A change counts as told at the latest so long after discovery had it and could be reached. */
    private static final int TOLD_MS = 6000;
    private static final int DRAIN_GRACE_MS = 1000;
    private static final int SLACK_MS = 50;
    private static final int DRAIN_AFTER_MS = 10_000;
    private static final int PLAY_MS = 30_000;
    private static final int CLIENTS = 6;
    private static final int DEADLINE_MS = 1500;
    private static final AtomicInteger LATE = new AtomicInteger();
    private static volatile double allowedUntilMs = Double.MAX_VALUE;

    private Case9() { }

    public static void main(String[] args) {
        Rig.run("9", Case9::play);
    }

    private static boolean play(Rig rig) throws Exception {
        rig.settings.addClass("flag-check", "read_like", 600, DEADLINE_MS, 0);
        rig.settings.addPlan("pro", 18, 40, 0, 0, 0);
        for (int i = 0; i < 8; i++) {
            rig.addServer(i % 2 == 0 ? "hall-a" : "hall-b");
        }
        Rig.FlagServer draining = rig.servers.get(0);
        draining.work = (server, socket, out, words) -> {
            if (rig.ms() > allowedUntilMs) {
                LATE.incrementAndGet();
                rig.log("TOO LATE: " + words.get(2) + " to " + server.id);
            }
            server.answer(socket, out, words);
        };
        rig.discovery.answerAfterMs = rig.trouble ? DISCOVERY_MS : 0;
        Rig.Edge edge = rig.startEdge(0);
        Rig.Tally tally = new Rig.Tally();
        AtomicInteger ids = new AtomicInteger(0x100000);
        double startMs = rig.ms();
        Thread[] clients = new Thread[CLIENTS];
        for (int c = 0; c < CLIENTS; c++) {
            String customer = String.format("%016x", 0xb4d65520L + c);
            clients[c] = Rig.spawn("client " + c, () -> {
                while (rig.ms() < startMs + PLAY_MS) {
                    String id = Integer.toHexString(ids.incrementAndGet());
                    try (Socket socket = Rig.connect(edge.port, DEADLINE_MS)) {
                        tally.add(rig.request(socket, new Rig.Reader(socket), Rig.call("CALL.GET", customer, id,
                            "c=flag-check,t=pro,d=" + DEADLINE_MS + ",units=1,spread=1,first=0"), id, DEADLINE_MS,
                            true));
                    } catch (IOException e) {
                        tally.add("not connected");
                    }
                    Rig.sleep(150);
                }
            });
        }
        Rig.sleep(DRAIN_AFTER_MS);
        draining.health = "leaving";
        rig.discovery.tell(draining);
        allowedUntilMs = rig.ms() + TOLD_MS + DRAIN_GRACE_MS + SLACK_MS;
        rig.log("nothing new may reach " + draining.id + " from " + Math.round(allowedUntilMs) + " ms on");
        for (Thread client : clients) {
            client.join();
        }
        rig.say("requests by their end: " + tally);
        rig.say("sent to the draining flag server too late: " + LATE);
        if (tally.of("served") < 100) {
            throw new IllegalStateException("too few requests were served for a verdict");
        }
        return LATE.get() > 0;
    }
}
