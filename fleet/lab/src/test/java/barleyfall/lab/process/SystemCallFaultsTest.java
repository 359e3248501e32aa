package barleyfall.lab.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import barleyfall.lab.process.SystemCallFaults.Call;
import barleyfall.lab.process.SystemCallFaults.Effect;
import barleyfall.lab.process.SystemCallFaults.Rule;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The faults take effect in another process, only while they last, and are counted. */
@Timeout(60)
class SystemCallFaultsTest {
    @TempDir Path folder;

    /** Prints whether a connect, a read of a file and the year of the wall clock are as they should be. */
    static final class Program {
        public static void main(String[] args) throws Exception {
            System.out.println(connects(Integer.parseInt(args[0])) + " " + reads(Path.of(args[1])) + " "
                + System.currentTimeMillis());
        }

        private static String connects(int port) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                return socket.isConnected() ? "connected" : "not-connected";
            } catch (IOException e) {
                return "no-connection";
            }
        }

        private static String reads(Path file) {
            try {
                return Files.readString(file);
            } catch (IOException e) {
                return "no-file";
            }
        }
    }

    private List<String> run(SystemCallFaults faults, int port, Path file) throws Exception {
        ProcessBuilder builder = new ProcessBuilder("java", "-XX:TieredStopAtLevel=1", "-cp",
            System.getProperty("java.class.path"), Program.class.getName(), Integer.toString(port),
            file.toString());
        builder.environment().putAll(faults.environment());
        Process process = builder.start();
        String output = new String(process.getInputStream().readAllBytes());
        assertEquals(0, process.waitFor());
        return List.of(output.strip().split(" "));
    }

    @Test void faultsOfAnotherProcessBeginAndEndAndAreCounted() throws Exception {
        assumeTrue(SystemCallFaults.isAvailable(), "NOT RUN: there is no C compiler");
        Path file = Files.writeString(folder.resolve("affected.txt"), "content");
        SystemCallFaults faults = new SystemCallFaults(folder.resolve("faults"), 7, "affected.txt");
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            assertEquals(List.of("connected", "content"),
                run(faults, server.getLocalPort(), file).subList(0, 2));
            Rule connect = Rule.parse("connect ENETUNREACH 100%");
            faults.begin(connect);
            faults.begin(Rule.parse("open EIO 100%"));
            faults.setWallClockOffsetMs(3_600_000);
            long nowMs = System.currentTimeMillis();
            List<String> output = run(faults, server.getLocalPort(), file);
            assertEquals(List.of("no-connection", "no-file"), output.subList(0, 2));
            assertTrue(Long.parseLong(output.get(2)) - nowMs >= 3_600_000, output.toString());
            assertEquals(1, faults.injectedCount(Call.CONNECT, Effect.ENETUNREACH));
            assertEquals(1, faults.injectedCount(Call.OPEN, Effect.EIO));
            faults.end(connect);
            assertEquals("connected", run(faults, server.getLocalPort(), file).get(0));
        }
    }

    @Test void rulesAreParsedAndWrongOnesNamed() {
        assertEquals(new Rule(Call.ACCEPT, Effect.ENFILE, 0.205), Rule.parse(" accept  enfile 20.5%"));
        for (String wrong : List.of("accept ENFILE", "accept ENFILE 120%", "dial ENFILE 1%",
            "accept ENOENT 1%")) {
            String message =
                assertThrows(IllegalArgumentException.class, () -> Rule.parse(wrong)).getMessage();
            assertTrue(message.contains(wrong), message);
        }
    }
}
