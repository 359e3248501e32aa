package barleyfall.lab.result;

import barleyfall.lab.run.LabRun;
import barleyfall.lab.seen.Event;
import barleyfall.lab.seen.Trace;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** Lists the events that concern one request, for {@code lab follow}. */
public final class RequestTimeline {
    private RequestTimeline() { }

    /**
     * Returns one line for each event of the try with this id and of the other tries of the same request.
     * Events of the edge nodes and flag servers involved, and faults, are added as far as they happened
     * meanwhile; their lines are marked with a bar. Empty if no event has this id.
     */
    public static List<String> lines(Path result, String id) throws IOException {
        long tryId;
        try {
            tryId = Long.parseUnsignedLong(id, 16);
        } catch (NumberFormatException bad) {
            throw new IOException("'" + id + "' is not an id: 16 hex digits expected");
        }
        Path file = Files.isDirectory(result) ? result.resolve(LabRun.EVENTS_FILE_NAME)
            : result.resolveSibling(LabRun.EVENTS_FILE_NAME);
        return lines(Trace.read(file), tryId);
    }

    static List<String> lines(List<Event> trace, long tryId) {
        long firstTryId = tryId;
        for (Event event : trace) {
            if (event instanceof Event.RequestSent sent && sent.id() == tryId) {
                firstTryId = sent.firstTryId();
            } else if (event instanceof Event.RequestNotSent notSent && notSent.id() == tryId) {
                firstTryId = notSent.firstTryId();
            }
        }
        Set<Long> tryIds = new HashSet<>();
        Set<Integer> edges = new HashSet<>();
        Set<String> servers = new HashSet<>();
        double fromMs = Double.POSITIVE_INFINITY;
        double toMs = Double.NEGATIVE_INFINITY;
        for (Event event : trace) {
            if (event instanceof Event.RequestSent sent && sent.firstTryId() == firstTryId) {
                tryIds.add(sent.id());
                edges.add(sent.edge());
            } else if (event instanceof Event.RequestNotSent notSent && notSent.firstTryId() == firstTryId) {
                tryIds.add(notSent.id());
            }
            if (tryIds.contains(tryId(event))) {
                fromMs = Math.min(fromMs, event.atMs());
                toMs = Math.max(toMs, event.atMs());
                if (event instanceof Event.AttemptReceived attempt) {
                    servers.add(attempt.server());
                }
            }
        }
        List<String> lines = new ArrayList<>();
        for (Event event : trace) {
            boolean ofRequest = tryIds.contains(tryId(event));
            boolean meanwhile = event.atMs() >= fromMs && event.atMs() <= toMs
                && (event instanceof Event.ProcessChange change && edges.contains(change.edge())
                || event instanceof Event.ServerStarted started && servers.contains(started.server())
                || event instanceof Event.ServerStopped stopped && servers.contains(stopped.server())
                || event instanceof Event.DiscoveryUpdate update && edges.contains(update.edge())
                && servers.contains(update.server())
                || event instanceof Event.Fault);
            if (ofRequest || meanwhile) {
                lines.add(String.format(Locale.ROOT, "%10.3f s  %s %s", event.atMs() / 1000,
                    ofRequest ? " " : "|", event));
            }
        }
        return lines;
    }

    /** Returns the id of the try that an event concerns, or 0. */
    private static long tryId(Event event) {
        return event instanceof Event.RequestSent sent ? sent.id()
            : event instanceof Event.ResponseReceived response ? response.id()
            : event instanceof Event.ResponseMissing missing ? missing.id()
            : event instanceof Event.RequestNotSent notSent ? notSent.id()
            : event instanceof Event.AttemptReceived attempt ? attempt.id()
            : event instanceof Event.AttemptEnded end ? end.id()
            : event instanceof Event.MalformedRequest malformed ? malformed.id()
            : event instanceof Event.UnexpectedResponse unexpected ? unexpected.id() : 0;
    }
}
