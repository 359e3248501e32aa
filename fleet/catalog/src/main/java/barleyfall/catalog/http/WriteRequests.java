package barleyfall.catalog.http;

import barleyfall.catalog.model.Command;
import barleyfall.catalog.model.Spec;
import barleyfall.catalog.replica.Settings;
import java.util.List;
import java.util.Set;

/** Parses the write requests of flag servers and operators into commands. */
final class WriteRequests {
    private static final int BAD_REQUEST = 400;
    private static final double MAX_SHARE = 1000;

    private final Settings settings;

    WriteRequests(Settings settings) {
        this.settings = settings;
    }

    /** The names of the requests that change the list. */
    static final Set<String> NAMES =
        Set.of("register", "leave", "drain", "undrain", "pin", "unpin", "remove");

    /** The command of a request with one of {@link #NAMES}. */
    Command parse(String name, RequestBody body) throws RequestException {
        return switch (name) {
            case "register" -> register(body);
            case "leave" -> new Command.Leave(body.requiredName("host"), token(body));
            case "drain" -> mark(body, Command.Marker.DRAINED, true);
            case "undrain" -> mark(body, Command.Marker.DRAINED, false);
            case "pin" -> mark(body, Command.Marker.PINNED, true);
            case "unpin" -> mark(body, Command.Marker.PINNED, false);
            default -> new Command.Remove(body.requiredName("host"), body.expectedSeq());
        };
    }

    /** The token of a registration. */
    static long token(RequestBody body) throws RequestException {
        return body.integer("token", null, 0, Long.MAX_VALUE);
    }

    private static Command mark(RequestBody body, Command.Marker marker, boolean on) throws RequestException {
        return new Command.Mark(body.requiredName("host"), marker, on, body.expectedSeq());
    }

    private Command register(RequestBody body) throws RequestException {
        Settings.Listing listing = settings.listing();
        String zone = body.optionalName("site");
        List<String> zones = listing.zones();
        if (!zones.isEmpty() && !zones.contains(zone)) {
            throw new RequestException(BAD_REQUEST, "site", "site: one of the zones " + zones
                + " expected, found \"" + zone + "\"");
        }
        String region = body.optionalName("region");
        String regionOfZone = listing.region(zone);
        if (!region.isEmpty() && !regionOfZone.isEmpty() && !region.equals(regionOfZone)) {
            throw new RequestException(BAD_REQUEST, "region", "region: the zone " + zone + " is in "
                + regionOfZone + ", not in " + region);
        }
        Settings.Leasing leasing = settings.leasing();
        Spec spec = new Spec(body.requiredName("host"), body.address("dial"), zone,
            region.isEmpty() ? regionOfZone : region, body.optionalName("class"),
            (int) body.integer("block", 0L, 0, Integer.MAX_VALUE), body.number("share", 1, 0, MAX_SHARE),
            body.integer("born_ms", 0L, 0, Long.MAX_VALUE),
            (int) body.integer("lease_ms", null, leasing.minMs(), leasing.maxMs()),
            body.oneOf("health", "active", Set.of("active", "leaving")).equals("leaving"),
            body.requiredName("instance"));
        return new Command.Register(spec, body.expectedSeq());
    }
}
