package willowyoke;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import willowyoke.net.Config;
import willowyoke.net.EdgeNode;
import willowyoke.net.Warmup;

/** The command line: {@code drill} runs the simulator's protocol, {@code serve} runs an edge node. */
public final class Main {
    /** Age of the process at which the warm-up ends: an edge node has to take clients within 6 s. */
    private static final long WARMUP_END_MS = 5000;
    /**
     * The size of the largest fleet in which each gateway warms up for the whole time. In a larger fleet each
     * gateway carries a smaller part of the load, and warms up for a time that is shorter in proportion.
     */
    private static final double FULL_WARMUP_MAX_GATEWAYS = 4;
    /** Age of the process until which the start waits for discovery and the counter. */
    private static final long READY_DEADLINE_MS = 5800;
    /** The least time that the start waits for them, however old the process is by then. */
    private static final long MIN_READY_WAIT_MS = 500;

    private Main() { }

    /** Runs a command. Exits with 2 on a wrong command line or configuration, else with 1 on an error. */
    public static void main(String[] args) throws IOException {
        if (args.length == 1 && args[0].equals("serve")) {
            serve();
            return;
        }
        if (args.length != 1 || !args[0].equals("drill")) {
            System.err.println("usage: willowyoke drill | serve");
            System.exit(2);
        }
        BufferedReader in = new BufferedReader(
            new InputStreamReader(System.in, StandardCharsets.UTF_8), 1 << 16);
        PrintStream out = new PrintStream(new java.io.FileOutputStream(java.io.FileDescriptor.out), false);
        try {
            new SimulatorWire().run(in, out);
        } catch (SimulatorWire.WireFormatException e) {
            System.err.println(e.getMessage());
            System.exit(1);
        }
        out.flush();
    }

    private static void serve() throws IOException {
        Config config;
        try {
            config = Config.fromEnvironment(System.getenv());
        } catch (IllegalArgumentException e) {
            System.err.println("configuration: " + e.getMessage());
            System.exit(2);
            return;
        }
        EdgeNode node = new EdgeNode(config, GatewayPolicy::new);
        // installed before the start, as SIGHUP ends a JVM without a handler
        SighupHandler.install(() -> node.reload(() -> Config.readFile(System.getenv())));
        // added before the node listens: without the hook a SIGTERM would lose requests that were accepted
        Runtime.getRuntime().addShutdownHook(new Thread(node::drain, "drain"));
        double warmupFraction = Math.min(1, FULL_WARMUP_MAX_GATEWAYS / config.settings().gatewayCount());
        Warmup.run(config, GatewayPolicy::new, Math.round(warmupFraction * (WARMUP_END_MS - processAgeMs())));
        try {
            if (node.start(Math.max(MIN_READY_WAIT_MS, READY_DEADLINE_MS - processAgeMs()))) {
                System.err.println("takes clients after " + processAgeMs() + " ms");
            }
        } catch (IOException | RuntimeException e) {
            System.err.println("start: " + e);
            System.exit(1); // a process that lives and does not listen would serve nobody
        }
    }

    /**
     * Returns the age of this process, including the start of the JVM. It is measured by the JVM's own clock,
     * as the start time in the system's process table may be on another clock.
     */
    private static long processAgeMs() {
        return Math.max(0, ManagementFactory.getRuntimeMXBean().getUptime());
    }
}
