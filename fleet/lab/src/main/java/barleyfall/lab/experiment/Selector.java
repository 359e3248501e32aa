package barleyfall.lab.experiment;

import barleyfall.common.toml.Units;
import java.util.Locale;
import java.util.Set;

/**
 * Selects the components that a fault applies to: {@code all}, {@code edges}, {@code servers}, {@code
 * counter}, {@code discovery}, {@code front}, {@code 40%} (of the edge nodes or of the servers, whichever the
 * kind of fault is about, drawn from the seed), {@code edge:3}, {@code server:7}, {@code zone:NAME} or {@code
 * region:NAME}. The far end of a link can also be {@code others}: everything that the near end does not
 * select.
 * {@code all}, {@code others}, zones and regions cover edge nodes, flag servers and the counter. Discovery
 * agents run on the machines of their edge nodes and clients come from outside, so {@code discovery} and
 * {@code front} must be named.
 *
 * @param kind the word before the colon, {@code share} for a percentage, or the whole word
 * @param name what follows the colon, the fraction of a percentage, or empty
 */
public record Selector(String kind, String name) {
    private static final Set<String> KEYWORDS = Set.of("all", "edges", "servers", "counter", "discovery",
        "front", "others");

    /**
     * Parses a selector.
     *
     * @throws IllegalArgumentException if the text is wrong or names a component that the topology does not
     * have
     */
    public static Selector of(String text, Experiment.Topology topology) {
        if (KEYWORDS.contains(text)) {
            return new Selector(text, "");
        }
        if (text.endsWith("%")) {
            return new Selector("share", Double.toString(Units.read(text, Units.Kind.SHARE)));
        }
        int colon = text.indexOf(':');
        String kind = colon < 0 ? "" : text.substring(0, colon).toLowerCase(Locale.ROOT);
        String name = text.substring(colon + 1);
        boolean exists = switch (kind) {
            case "edge" -> parseIndex(name) < topology.edges();
            case "server" -> parseIndex(name) < topology.servers();
            case "zone" -> topology.zones().contains(name);
            case "region" -> topology.regions().containsKey(name) || topology.zones().stream()
                .anyMatch(z -> topology.region(z).equals(name));
            default -> throw new IllegalArgumentException(
                "all, edges, servers, counter, discovery, front, others, \"40%\", edge:N, server:N, zone:NAME"
                    + " or region:NAME expected, found \"" + text + "\"");
        };
        if (!exists) {
            throw new IllegalArgumentException("the topology has no " + text);
        }
        return new Selector(kind, name);
    }

    /**
     * Returns whether a component is selected.
     *
     * @param componentKind {@code edge}, {@code server}, {@code counter}, {@code discovery} or {@code front}
     * @param zone its zone, or null if it has none
     */
    public boolean matches(String componentKind, int number, String zone, Experiment.Topology topology) {
        boolean hasZone = zone != null;
        return switch (kind) {
            case "all" -> hasZone;
            case "edges" -> componentKind.equals("edge");
            case "servers" -> componentKind.equals("server");
            case "counter", "discovery", "front" -> componentKind.equals(kind);
            case "edge", "server" -> componentKind.equals(kind) && number == Integer.parseInt(name);
            case "zone" -> hasZone && zone.equals(name);
            case "region" -> hasZone && topology.region(zone).equals(name);
            default -> false;
        };
    }

    private static int parseIndex(String name) {
        try {
            int index = Integer.parseInt(name);
            return index < 0 ? Integer.MAX_VALUE : index;
        } catch (NumberFormatException bad) {
            return Integer.MAX_VALUE;
        }
    }
}
