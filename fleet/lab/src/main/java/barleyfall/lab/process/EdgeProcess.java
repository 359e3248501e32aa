package barleyfall.lab.process;

import barleyfall.lab.net.LabClock;
import barleyfall.lab.seen.Event;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The process of one edge node, started with a command of the shell and with a folder of its own. */
public final class EdgeProcess extends ChildProcess {
    private static final Logger LOG = LoggerFactory.getLogger(EdgeProcess.class);

    private final int number;
    private final Path projectRoot;
    private final String startCommand;
    private final Path folder;
    private final int maxDescriptors;
    private final BiConsumer<String, String> listener;
    private int startCount;
    private volatile String fileLimitCommand = "";

    /**
     * Creates an edge node that is not started yet.
     *
     * @param projectRoot working directory of the process
     * @param startCommand shell command that starts the edge node
     * @param maxDescriptors limit on its open file descriptors
     * @param spawnThread a single thread that lives as long as the run, as processes end with the thread that
     *     started them
     */
    public EdgeProcess(int number, Path projectRoot, String startCommand, Path folder, int maxDescriptors,
        LabClock clock, ExecutorService spawnThread, SignalSender signalSender, Consumer<Event> trace) {
        this(number, projectRoot, startCommand, folder, maxDescriptors, spawnThread, signalSender,
            (change, detail) -> {
                LOG.info("n{} {} {}", number, change, detail);
                trace.accept(new Event.ProcessChange(clock.nowMs(), number, change, detail));
            });
    }

    private EdgeProcess(int number, Path projectRoot, String startCommand, Path folder, int maxDescriptors,
        ExecutorService spawnThread, SignalSender signalSender, BiConsumer<String, String> listener) {
        super("n" + number, spawnThread, signalSender, listener);
        this.number = number;
        this.projectRoot = projectRoot;
        this.startCommand = startCommand;
        this.folder = folder;
        this.maxDescriptors = maxDescriptors;
        this.listener = listener;
    }

    /** Returns the folder with its files: config.json, tmp, and its state. */
    public Path folder() {
        return folder;
    }

    /** Returns the number of the edge node. */
    public int number() {
        return number;
    }

    /** Sets whether its files can no longer grow, as on a full disk; takes effect at the next start. */
    public void setDiskFull(boolean full) {
        fileLimitCommand = full ? "ulimit -f 0; trap '' XFSZ; " : "";
    }

    /** Starts it with a configuration; each start writes a log file of its own in the folder. */
    public void start(String config, Map<String, String> environment) throws IOException {
        deleteTree(temporaryFolder());
        startWithFiles(config, environment);
    }

    /** Returns the folder that the edge node knows as TMPDIR. */
    public Path temporaryFolder() {
        return folder.resolve("tmp");
    }

    /** Starts it like {@link #start}, with the temporary files of the last process left in place. */
    public void startWithFiles(String config, Map<String, String> environment) throws IOException {
        Path tmp = Files.createDirectories(temporaryFolder());
        Files.writeString(folder.resolve("config.json"), config);
        File log = folder.resolve("log-" + ++startCount + ".txt").toFile();
        Map<String, String> processEnvironment = new HashMap<>(environment);
        processEnvironment.put("TMPDIR", tmp.toString());
        processEnvironment.put("EDGE_CONFIG", folder.resolve("config.json").toString());
        start("ulimit -n " + maxDescriptors + "; " + fileLimitCommand + startCommand, projectRoot.toFile(),
            processEnvironment, log);
    }

    private static void deleteTree(Path dir) throws IOException {
        if (!Files.exists(dir)) {
            return;
        }
        try (Stream<Path> all = Files.walk(dir)) {
            for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }

    /** Reports that it exceeded a limit. */
    void reportOverLimit(String detail) {
        listener.accept("over-limit", detail);
    }
}
