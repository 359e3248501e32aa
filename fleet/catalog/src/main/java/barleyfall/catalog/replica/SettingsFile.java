package barleyfall.catalog.replica;

import barleyfall.common.toml.InvalidFileException;
import barleyfall.common.toml.Table;
import barleyfall.common.toml.Units;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/** Reads a replica's configuration file (TOML); a file with any mistake is rejected as a whole. */
public final class SettingsFile {
    private static final Pattern ADDRESS = Pattern.compile("[A-Za-z0-9.-]+:(\\d{1,5})");
    private static final Set<Integer> REPLICA_COUNTS = Set.of(1, 3, 5);

    private SettingsFile() { }

    /** Reads a file; the exception names each mistake by file, line and key. */
    public static Settings read(Path file) throws IOException, InvalidFileException {
        return parse(file.toString(), Files.readString(file, StandardCharsets.UTF_8));
    }

    /** Reads the text of a file; {@code file} is its name, for messages only. */
    public static Settings parse(String file, String text) throws InvalidFileException {
        return Table.read(file, text, SettingsFile::settings);
    }

    private static Settings settings(Table root) {
        String id = requiredString(root, "id");
        String dir = requiredString(root, "dir");
        List<Settings.Peer> peers = new ArrayList<>();
        Set<String> ids = new HashSet<>();
        for (Table replica : root.tables("replica")) {
            Settings.Peer peer = new Settings.Peer(requiredString(replica, "id"), address(replica, "raft"),
                address(replica, "http"));
            if (!ids.add(peer.id())) {
                replica.addProblem("id", "two replicas are named \"" + peer.id() + "\"");
            }
            peers.add(peer);
        }
        if (!REPLICA_COUNTS.contains(peers.size())) {
            root.addProblem("replica", "1, 3 or 5 [[replica]] tables are needed, found " + peers.size());
        } else if (!ids.contains(id)) {
            root.addProblem("id", "no [[replica]] is named \"" + id + "\"");
        }
        Table timing = root.table("timing");
        Table leases = root.table("leases");
        Table guard = root.table("guard");
        Table list = root.table("list");
        Table watch = root.table("watch");
        return new Settings(id, Path.of(dir), peers,
            new Settings.Timing(timeMs(timing, "election", 300, 50, 60_000),
                timeMs(timing, "write", 5000, 100, 60_000),
                timeMs(timing, "stale_after", 1000, 100, 600_000)),
            new Settings.Leasing(timeMs(leases, "least", 1000, 100, 3_600_000),
                timeMs(leases, "most", 60_000, 100, 3_600_000),
                timeMs(leases, "grace", 2000, 0, 3_600_000)),
            new Settings.Guarding(guard.number("share", Units.Kind.SHARE, 0.3),
                guard.integer("least", 3, 1, 100_000),
                timeMs(guard, "window", 10_000, 100, 3_600_000)),
            listing(list),
            new Settings.Watching((int) (watch.number("buffer", Units.Kind.SIZE, 1) * (1 << 20)),
                timeMs(watch, "slow", 5000, 100, 600_000), watch.integer("most", 4000, 1, 60_000)));
    }

    private static Settings.Listing listing(Table table) {
        List<String> zones = table.strings("zones", List.of());
        Map<String, List<String>> regions = table.stringLists("regions");
        regions.forEach((region, regionZones) -> regionZones.stream()
            .filter(zone -> !zones.isEmpty() && !zones.contains(zone))
            .forEach(zone -> table.addProblem("regions", region + " names the zone " + zone
                + ", which is not in zones")));
        return new Settings.Listing(zones, regions, table.integer("members", 10_000, 1, 1_000_000),
            table.integer("history", 10_000, 1, 1_000_000),
            table.integer("snapshot_every", 50_000, 10, 10_000_000));
    }

    private static String requiredString(Table table, String key) {
        String value = table.string(key, "");
        if (value.isEmpty()) {
            table.addProblem(key, "is missing");
        }
        return value;
    }

    private static String address(Table table, String key) {
        String value = requiredString(table, key);
        var matcher = ADDRESS.matcher(value);
        if (!value.isEmpty() && (!matcher.matches() || Integer.parseInt(matcher.group(1)) > 65_535)) {
            table.addProblem(key, "address:port expected, found \"" + value + "\"");
        }
        return value;
    }

    private static int timeMs(Table table, String key, int defaultMs, int minMs, int maxMs) {
        double valueMs = table.number(key, Units.Kind.TIME, defaultMs);
        if (valueMs < minMs || valueMs > maxMs) {
            table.addProblem(key, "from " + minMs + " ms to " + maxMs + " ms expected, found " + valueMs
                + " ms");
            return defaultMs;
        }
        return (int) valueMs;
    }
}
