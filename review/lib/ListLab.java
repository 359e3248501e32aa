import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Three replicas of the list service as processes of their own, and flag servers that register with them. */
final class ListLab implements AutoCloseable {
    final EdgeLab lab;
    final Path root;
    final Path folder;
    final String[] http = new String[3];
    final Process[] processes = new Process[3];
    private final HttpClient client =
        HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(Duration.ofSeconds(1)).build();

    /** Writes the files of three replicas, with the settings of the page where extraSettings is empty. */
    ListLab(EdgeLab lab, Path root, Path folder, String extraSettings) throws IOException {
        this.lab = lab;
        this.root = root;
        this.folder = folder;
        StringBuilder replicas = new StringBuilder();
        List<ServerSocket> held = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            ServerSocket raft = EdgeLab.listen();
            ServerSocket web = EdgeLab.listen();
            held.add(raft);
            held.add(web);
            http[i] = EdgeLab.address(web);
            replicas.append("[[replica]]\nid = \"r").append(i).append("\"\nraft = \"")
                .append(EdgeLab.address(raft)).append("\"\nhttp = \"").append(http[i]).append("\"\n");
        }
        for (ServerSocket socket : held) {
            socket.close();
        }
        for (int i = 0; i < 3; i++) {
            Files.writeString(folder.resolve("r" + i + ".toml"), "id = \"r" + i + "\"\ndir = \""
                + folder.resolve("data" + i) + "\"\n" + replicas + extraSettings);
        }
    }

    /** Starts a replica by the command of its page. */
    void start(int replica, boolean newList) throws IOException {
        List<String> command = new ArrayList<>(List.of("bin/barleyfall", "catalog", "serve",
            folder.resolve("r" + replica + ".toml").toString()));
        if (newList) {
            command.add("--found");
        }
        Process process = new ProcessBuilder(command).directory(root.toFile()).redirectErrorStream(true).start();
        processes[replica] = process;
        lab.record("replica r" + replica + " is started, process " + process.pid());
        EdgeLab.thread("log", () -> {
            BufferedReader lines = new BufferedReader(new InputStreamReader(process.getInputStream()));
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                lab.record("r" + replica + " log: " + line);
            }
        });
    }

    /** Sends a signal to a replica's process. */
    void signal(int replica, String name) throws IOException, InterruptedException {
        lab.record("SIG" + name + " to r" + replica);
        new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + processes[replica].pid()).start().waitFor();
    }

    /** An answer: its status, text, and the header that tells its age. */
    record Answer(int status, String text, long ageMs) {
        /** The number behind a key, -1 where there is none. */
        long number(String key) {
            Matcher matcher = Pattern.compile("\"" + key + "\":(-?\\d+)").matcher(text);
            return matcher.find() ? Long.parseLong(matcher.group(1)) : -1;
        }
    }

    Answer send(int replica, String path, String body, int timeoutMs) throws IOException, InterruptedException {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + http[replica] + path))
            .timeout(Duration.ofMillis(timeoutMs));
        if (body != null) {
            request.POST(HttpRequest.BodyPublishers.ofString(body));
        }
        HttpResponse<byte[]> response = client.send(request.build(), HttpResponse.BodyHandlers.ofByteArray());
        return new Answer(response.statusCode(), new String(response.body(), StandardCharsets.UTF_8),
            response.headers().firstValueAsLong("X-Catalog-Age").orElse(-1));
    }

    /** Sends to the replicas in turn until one answers with success or a refusal; null where none does. */
    Answer sendToAny(int first, String path, String body, int timeoutMs) throws InterruptedException {
        for (int i = 0; i < 3; i++) {
            try {
                Answer answer = send((first + i) % 3, path, body, timeoutMs);
                if (answer.status < 500) {
                    return answer;
                }
            } catch (IOException next) {
                continue;
            }
        }
        return null;
    }

    /** Waits until all replicas know the list and a leader; returns the leader. */
    int awaitLeader(int withinS) throws IOException, InterruptedException {
        double giveUpAtMs = lab.nowMs() + 1000.0 * withinS;
        while (lab.nowMs() < giveUpAtMs) {
            int known = 0;
            int leader = -1;
            for (int i = 0; i < 3; i++) {
                try {
                    Answer status = send(i, "/catalog/status", null, 1000);
                    Matcher name = Pattern.compile("\"leader\":\"r(\\d)\"").matcher(status.text);
                    if (name.find() && status.number("epoch") > 0 && status.text.contains("\"stale\":false")) {
                        known++;
                        leader = Integer.parseInt(name.group(1));
                    }
                } catch (IOException notYet) {
                    break;
                }
            }
            if (known == 3) {
                return leader;
            }
            Thread.sleep(100);
        }
        throw new IOException("the list service has no leader");
    }

    /** A flag server that registers and renews at a third of its lease. */
    final class FlagServer {
        final String host;
        final int leaseMs;
        private final String instance;
        private final int first;
        volatile boolean running = true;
        /** When the last renewal that succeeded, or the registration, was sent; ms. */
        volatile double renewedAtMs = Double.NEGATIVE_INFINITY;
        volatile long token;

        FlagServer(String host, int leaseMs, int first) {
            this.host = host;
            this.leaseMs = leaseMs;
            this.first = first;
            instance = "life-1";
        }

        void run() throws InterruptedException {
            boolean registered = false;
            while (running) {
                double sentAtMs = lab.nowMs();
                Answer answer = registered
                    ? sendToAny(first, "/catalog/renew", "{\"host\":\"" + host + "\",\"token\":" + token + "}", 1500)
                    : sendToAny(first, "/catalog/register", "{\"host\":\"" + host + "\",\"dial\":\"127.0.0.1:"
                        + (1000 + first) + "\",\"born_ms\":1,\"lease_ms\":" + leaseMs + ",\"instance\":\""
                        + instance + "\"}", 5000);
                if (answer != null && answer.status == 200) {
                    token = registered ? token : answer.number("token");
                    if (!registered) {
                        lab.record(host + " has registered, token " + token);
                    }
                    registered = true;
                    renewedAtMs = sentAtMs;
                } else if (answer != null && answer.status == 409) {
                    lab.record(host + " is answered 409 to its " + (registered ? "renewal" : "registration")
                        + ": " + answer.text);
                    registered = false;
                    continue;
                } else {
                    lab.record(host + " has no answer to its " + (registered ? "renewal" : "registration")
                        + ": " + answer);
                }
                Thread.sleep(Math.max(1, (long) (sentAtMs + leaseMs / 3.0 - lab.nowMs())));
            }
        }
    }

    @Override public void close() throws IOException, InterruptedException {
        for (int i = 0; i < 3; i++) {
            if (processes[i] != null) {
                processes[i].destroyForcibly().waitFor(10, TimeUnit.SECONDS);
            }
        }
    }
}
