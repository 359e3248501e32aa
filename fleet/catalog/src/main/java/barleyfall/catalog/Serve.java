package barleyfall.catalog;

import barleyfall.catalog.http.HttpServer;
import barleyfall.catalog.replica.Replica;
import barleyfall.catalog.replica.Settings;
import barleyfall.catalog.replica.SettingsFile;
import barleyfall.common.log.JsonLog;
import barleyfall.common.toml.InvalidFileException;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs one replica as a process until SIGTERM. */
public final class Serve {
    private static final Logger LOG = LoggerFactory.getLogger(Serve.class);
    private static final int EXIT_CODE_USAGE = 2;

    private Serve() { }

    /** Takes the replica's configuration file, and optionally {@code --found} to create a new list. */
    public static void main(String[] args) {
        boolean newList = args.length == 2 && args[1].equals("--found");
        if (args.length != 1 && !newList) {
            System.err.println("usage: FILE.toml [--found]");
            System.exit(EXIT_CODE_USAGE);
        }
        try {
            run(Path.of(args[0]), newList);
        } catch (InvalidFileException invalid) {
            invalid.problems().forEach(System.err::println);
            System.exit(EXIT_CODE_USAGE);
        } catch (IOException e) {
            System.err.println("catalog: " + e.getMessage());
            System.exit(EXIT_CODE_USAGE);
        }
    }

    /**
     * Runs a replica until the process is told to stop. Throws if the replica cannot start.
     *
     * @param file the replica's configuration file
     * @param newList whether a replica without data creates a new list instead of joining the others
     */
    public static void run(Path file, boolean newList) throws IOException, InvalidFileException {
        Settings settings = SettingsFile.read(file);
        JsonLog.toConsole().warningsOnly("org.apache.ratis").warningsOnly("io.netty");
        AtomicReference<HttpServer> http = new AtomicReference<>();
        Replica replica = new Replica(settings, newList, () -> {
            HttpServer server = http.get();
            if (server != null) {
                server.listChanged();
            }
        });
        try {
            http.set(new HttpServer(replica));
        } catch (IOException cannotListen) {
            replica.close();
            throw cannotListen;
        }
        LOG.info("replica {} listens on {}; its data directory is {}", settings.id(),
            settings.self().http(), settings.dir());
        CountDownLatch closed = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            http.get().close();
            try {
                replica.close();
            } catch (IOException e) {
                LOG.warn("error while closing the replica", e);
            }
            closed.countDown();
        }, "end"));
        try {
            closed.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
