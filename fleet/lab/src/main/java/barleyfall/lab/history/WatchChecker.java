package barleyfall.lab.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks what watches were sent: each change since the version held, once and in order, and the same content
 * for the same version on all watches.
 */
public final class WatchChecker {
    /** A change, or a member of a whole list; the content is everything that was sent of it. */
    public record WatchEntry(long version, String host, String content) { }

    /** One line of a watch: the whole list or the changes up to a version. */
    public record WatchLine(long epoch, long version, boolean isWholeList, List<WatchEntry> entries) { }

    private final Map<List<Long>, String> contentByVersion = new HashMap<>();
    private final List<String> violations = new ArrayList<>();

    /** Checks all lines that one watcher received over all of its connections, in order. */
    public void add(String watcher, List<WatchLine> lines) {
        long epoch = -1;
        long version = -1;
        for (WatchLine line : lines) {
            if (line.epoch() < epoch || line.epoch() == epoch && line.version() < version) {
                violations.add(watcher + " went back from " + epoch + "/" + version + " to "
                    + line.epoch() + "/" + line.version());
            }
            if (!line.isWholeList() && (version < 0 || line.epoch() != epoch)) {
                violations.add(watcher + " was sent changes of epoch " + line.epoch()
                    + " without holding a list of it");
            }
            for (WatchEntry entry : line.entries()) {
                if (!line.isWholeList() && entry.version() != ++version) {
                    violations.add(watcher + " was sent version " + entry.version()
                        + " where version " + version + " was expected");
                    version = entry.version();
                }
                String otherContent = contentByVersion.putIfAbsent(List.of(line.epoch(), entry.version()),
                    entry.content());
                if (otherContent != null && !otherContent.equals(entry.content())) {
                    violations.add(watcher + " was sent for version " + entry.version() + ": "
                        + entry.content() + ", another watcher: " + otherContent);
                }
            }
            if (!line.isWholeList() && line.version() != version) {
                violations.add(watcher + " was told that it holds " + line.version()
                    + " but was sent changes up to " + version);
            }
            epoch = line.epoch();
            version = line.version();
        }
    }

    /** Returns one line for each violation. */
    public List<String> violations() {
        return List.copyOf(violations);
    }
}
