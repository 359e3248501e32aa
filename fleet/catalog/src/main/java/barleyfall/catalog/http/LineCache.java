package barleyfall.catalog.http;

import barleyfall.catalog.model.FlagList;
import barleyfall.catalog.model.Page;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Caches the lines that are written to watches. Most watches are at the same version, so each line is
 * serialized once for all of them, outside the heap. Its memory is released when the list has changed, or
 * newer lines have replaced it in the cache, and the last watch has written it. Thread-safe.
 */
final class LineCache {
    /**
     * How many changes a line holds at most, so that a watch far behind is sent portions it can keep up with.
     */
    private static final int MAX_CHANGES_PER_LINE = 500;
    private static final int MAX_LINES = 64;

    /** A line and the version at which a watch is after it; the caller must release the bytes. */
    record Line(long epoch, long seq, ByteBuf bytes) { }

    private record Position(long epoch, long seq) { }

    private final FlagList list;
    /** By the position after which a line continues; oldest first. */
    private final Map<Position, Line> lines = new LinkedHashMap<>();
    /** The position of the list for which the cached lines were made. */
    private Position listPosition = new Position(-1, -1);

    LineCache(FlagList list) {
        this.list = list;
    }

    /** The line that a watch at a version is sent next. */
    synchronized Line after(long epoch, long since) {
        Position current = new Position(list.epoch(), list.seq());
        if (!current.equals(listPosition)) {
            lines.values().forEach(line -> line.bytes().release());
            lines.clear();
            listPosition = current;
        }
        Line line = lines.get(new Position(epoch, since));
        if (line == null) {
            line = serialize(list.page(epoch, since, MAX_CHANGES_PER_LINE));
            if (lines.size() >= MAX_LINES) {
                Iterator<Line> oldest = lines.values().iterator();
                oldest.next().bytes().release();
                oldest.remove();
            }
            lines.put(new Position(epoch, since), line);
        }
        return new Line(line.epoch(), line.seq(), line.bytes().retainedDuplicate());
    }

    private static Line serialize(Page page) {
        byte[] text = Json.bytes(Json.of(page));
        ByteBuf bytes = Unpooled.directBuffer(text.length + 1).writeBytes(text).writeByte('\n');
        return new Line(page.epoch(), page.seq(), bytes);
    }
}
