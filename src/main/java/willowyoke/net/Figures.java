package willowyoke.net;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import willowyoke.Gateway;

/** What this process has counted since its start, for those who run it. */
final class Figures {
    private static final String PREFIX = "node_";

    private static final class OfClass {
        long served;
        long refused;
        long failed;
    }

    private final Map<String, OfClass> classes = new TreeMap<>();
    private long attempts;
    private long reloadsOk;
    private long reloadsFailed;

    /** Classes come with the settings; those that were dropped keep their counts. */
    void classes(List<Gateway.RequestClass> told) {
        told.forEach(c -> classes.computeIfAbsent(c.name(), name -> new OfClass()));
    }

    /** A class that no settings name counts nowhere: its name is what a peer made up. */
    private OfClass of(String type) {
        return classes.getOrDefault(type, new OfClass());
    }

    void served(String type) {
        of(type).served++;
    }

    void refused(String type) {
        of(type).refused++;
    }

    void failed(String type) {
        of(type).failed++;
    }

    /** An attempt was written whole to a server. */
    void attempt() {
        attempts++;
    }

    void reload(boolean taken) {
        if (taken) {
            reloadsOk++;
        } else {
            reloadsFailed++;
        }
    }

    /** All of them in the text form of Prometheus, a line each. */
    String text(int inFlight, int known, int excluded) {
        StringBuilder text = new StringBuilder();
        classes.forEach((name, c) -> {
            String label = "{class=\"" + name.replace("\\", "\\\\").replace("\"", "\\\"") + "\"}";
            line(text, "served_total" + label, c.served);
            line(text, "refused_total" + label, c.refused);
            line(text, "failed_total" + label, c.failed);
        });
        line(text, "attempts_total", attempts);
        line(text, "in_flight", inFlight);
        line(text, "flag_servers_known", known);
        line(text, "flag_servers_excluded", excluded);
        line(text, "reloads_ok_total", reloadsOk);
        line(text, "reloads_failed_total", reloadsFailed);
        return text.toString();
    }

    private static void line(StringBuilder text, String name, long value) {
        text.append(PREFIX).append(name).append(' ').append(value).append('\n');
    }
}
