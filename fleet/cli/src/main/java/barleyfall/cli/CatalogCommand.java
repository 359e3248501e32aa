package barleyfall.cli;

import barleyfall.catalog.Serve;
import barleyfall.catalog.client.CatalogClient;
import barleyfall.common.toml.InvalidFileException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code barleyfall catalog}: runs a replica of the list service, and sends operators' requests to it. */
@Command(name = "catalog", mixinStandardHelpOptions = true,
    description = "The list of flag servers: runs a replica of it, shows it and changes it.",
    subcommands = {MemberCommand.Drain.class, MemberCommand.Undrain.class, MemberCommand.Pin.class,
        MemberCommand.Unpin.class, MemberCommand.Remove.class})
final class CatalogCommand implements Runnable {
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Option(names = "--at", split = ",", paramLabel = "ADDRESS", scope = CommandLine.ScopeType.INHERIT,
        defaultValue = "${env:BARLEYFALL_CATALOG:-127.0.0.1:8500}",
        description = "addresses of the replicas, tried in this order (default: $BARLEYFALL_CATALOG)")
    private List<String> addresses;

    @Option(names = "--json", scope = CommandLine.ScopeType.INHERIT,
        description = "prints the service's JSON")
    private boolean json;

    @Override public void run() {
        spec.commandLine().usage(System.out);
    }

    private CatalogClient client() {
        return new CatalogClient(addresses, REQUEST_TIMEOUT);
    }

    @Command(name = "serve", mixinStandardHelpOptions = true, description = "Runs one replica until SIGTERM.")
    int serve(@Parameters(paramLabel = "FILE",
            description = "the replica's configuration file (TOML)") Path file,
        @Option(names = "--found", description = "creates a new list if the directory is empty; without it "
            + "the replica copies the list from the others") boolean newList) throws IOException {
        try {
            Serve.run(file, newList);
            return Main.EXIT_OK;
        } catch (InvalidFileException invalid) {
            invalid.problems().forEach(System.err::println);
            return Main.EXIT_USAGE;
        }
    }

    @Command(name = "members", mixinStandardHelpOptions = true, description = "Shows the list.")
    int members(@Option(names = "--fresh", description = "reads the list from the leader") boolean fresh)
        throws IOException {
        return show(client().get(fresh ? "members?fresh=1" : "members"), list -> {
            System.out.printf("version %d, epoch %d%n", list.path("seq").asLong(),
                list.path("epoch").asLong());
            System.out.printf("%-20s %-22s %-10s %-10s %-8s %6s %9s%n", "host", "dial", "zone", "region",
                "health", "share", "version");
            list.path("hosts").forEach(CatalogCommand::printMember);
        });
    }

    private static void printMember(JsonNode member) {
        System.out.printf("%-20s %-22s %-10s %-10s %-8s %6.2f %9d%n", member.path("host").asText(),
            member.path("dial").asText(), member.path("site").asText(), member.path("region").asText(),
            member.path("health").asText(), member.path("share").asDouble(), member.path("seq").asLong());
    }

    @Command(name = "status", mixinStandardHelpOptions = true,
        description = "Shows the state of each replica, and whether the guard against mass loss holds "
            + "leases.")
    int status() throws IOException {
        int code = Main.EXIT_OK;
        for (String address : addresses) {
            try {
                JsonNode status = new CatalogClient(List.of(address), REQUEST_TIMEOUT).get("status").body();
                if (json) {
                    System.out.println(status);
                    continue;
                }
                System.out.printf("%-8s %-9s %s: version %d (oldest held %d), epoch %d, age %d ms%s, %d "
                    + "active, %d leaving, %d watches%n", status.path("id").asText(),
                    status.path("role").asText().toLowerCase(), address,
                    status.path("seq").asLong(), status.path("oldest").asLong(),
                    status.path("epoch").asLong(),
                    status.path("age_ms").asLong(), status.path("stale").asBoolean() ? " (OLD)" : "",
                    status.path("members").path("active").asLong(),
                    status.path("members").path("leaving").asLong(),
                    status.path("watches").asLong());
                JsonNode guard = status.path("guard");
                if (guard.isObject()) {
                    System.out.printf("         GUARD HOLDS since %s: %d of %d members are missing; 'catalog "
                        + "let-go' says that they are gone%n",
                        Instant.ofEpochMilli(guard.path("since_ms").asLong()),
                        guard.path("missing").asInt(), guard.path("of").asInt());
                }
            } catch (IOException unreachable) {
                System.out.println(address + ": " + unreachable.getMessage());
                code = Main.EXIT_FAILED;
            }
        }
        return code;
    }

    /** Sends a request that changes a member; {@code expect} is the expected version or null. */
    int change(String request, String host, Long expect) throws IOException {
        ObjectNode body = CatalogClient.newBody().put("host", host);
        if (expect != null) {
            body.put("expect", expect);
        }
        return show(client().post(request, body), result ->
            System.out.printf("done at version %d%n", result.path("seq").asLong()));
    }

    @Command(name = "let-go", mixinStandardHelpOptions = true,
        description = "Declares that the members whose leases the guard holds are gone.")
    int letGo() throws IOException {
        return show(client().post("let-go", CatalogClient.newBody()), result ->
            System.out.println("the guard holds no leases any more; leases that have run out expire now"));
    }

    @Command(name = "watch", mixinStandardHelpOptions = true, description = "Shows changes as they happen.")
    int watch(@Option(names = "--since", defaultValue = "-1",
        description = "the version after which changes are shown (default: the whole list first)") long since)
        throws IOException {
        client().watch(since, line -> {
            if (json) {
                System.out.println(line);
            } else if (line.has("stale")) {
                System.out.println(line.path("stale").asBoolean() ? "the list is OLD from here on"
                    : "the list is as it should be again");
            } else {
                System.out.printf("version %d%s%n", line.path("seq").asLong(),
                    line.path("whole").asBoolean() ? ", the whole list" : "");
                line.path("hosts").forEach(CatalogCommand::printMember);
            }
        });
        return Main.EXIT_FAILED; // a watch ends only if its connection does
    }

    @Command(name = "snapshot", mixinStandardHelpOptions = true, description = "Writes the list to a file.")
    int snapshot(@Parameters(paramLabel = "FILE") Path file) throws IOException {
        byte[] image = client().getBytes("snapshot");
        Files.write(file, image);
        System.out.println(image.length + " bytes in " + file);
        return Main.EXIT_OK;
    }

    @Command(name = "restore", mixinStandardHelpOptions = true,
        description = "Restores the list from a snapshot, in a new epoch; every watch is sent the whole "
            + "list.")
    int restore(@Parameters(paramLabel = "FILE") Path file) throws IOException {
        return show(client().post("restore", Files.readAllBytes(file)), result ->
            System.out.printf("restored at version %d%n", result.path("seq").asLong()));
    }

    /** Prints a response in a form for people. */
    private interface Printer {
        void print(JsonNode body);
    }

    /** Prints a response, or its error, and returns the exit code. */
    private int show(CatalogClient.Response response, Printer printer) {
        if (!response.isOk()) {
            System.err.println("barleyfall: " + response.error());
            return Main.EXIT_FAILED;
        }
        if (json) {
            System.out.println(response.body());
        } else {
            printer.print(response.body());
        }
        return Main.EXIT_OK;
    }
}
