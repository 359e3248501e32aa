package barleyfall.lab.rules;

import barleyfall.lab.seen.Event;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The events of a run grouped by request and by edge node. */
final class TraceIndex {
    /** A request that arrives later than this after a SIGTERM is owed an answer, however the process ends. */
    private static final double ANSWER_OWED_AFTER_TERM_MS = 700;

    /** The events of one try, which has an id of its own. */
    static final class Request {
        final List<Event.RequestSent> sent = new ArrayList<>();
        final List<Event.ResponseReceived> responses = new ArrayList<>();
        final List<Event.ResponseMissing> missing = new ArrayList<>();
        final List<Event.AttemptReceived> attempts = new ArrayList<>();
        final List<Event.AttemptEnded> attemptEnds = new ArrayList<>();
        /** Null where the client has waited for its answer. */
        Event.ClientLeft left;

        /** Returns how an attempt ended at its flag server, or null if it did not end. */
        Event.AttemptEnded endOf(Event.AttemptReceived attempt) {
            return attemptEnds.stream().filter(end -> end.sequenceNumber() == attempt.sequenceNumber()
                && end.server().equals(attempt.server())).findFirst().orElse(null);
        }
    }

    final Map<Long, Request> requests = new LinkedHashMap<>();
    final List<Event.UnexpectedResponse> unexpectedResponses = new ArrayList<>();
    final List<Event.MalformedRequest> malformedRequests = new ArrayList<>();
    private final Map<Integer, List<Event.ProcessChange>> processChanges = new HashMap<>();
    private final List<Event.Fault> clientLinkFaults = new ArrayList<>();

    /** Groups the events of a trace that is in the order of time. */
    TraceIndex(List<Event> trace) {
        for (Event event : trace) {
            if (event instanceof Event.RequestSent sent) {
                request(sent.id()).sent.add(sent);
            } else if (event instanceof Event.ResponseReceived response) {
                request(response.id()).responses.add(response);
            } else if (event instanceof Event.ResponseMissing missing) {
                request(missing.id()).missing.add(missing);
            } else if (event instanceof Event.AttemptReceived attempt) {
                request(attempt.id()).attempts.add(attempt);
            } else if (event instanceof Event.AttemptEnded end) {
                request(end.id()).attemptEnds.add(end);
            } else if (event instanceof Event.ClientLeft left) {
                request(left.id()).left = left;
            } else if (event instanceof Event.UnexpectedResponse response) {
                unexpectedResponses.add(response);
            } else if (event instanceof Event.MalformedRequest request) {
                malformedRequests.add(request);
            } else if (event instanceof Event.ProcessChange change) {
                processChanges.computeIfAbsent(change.edge(), n -> new ArrayList<>()).add(change);
            } else if (event instanceof Event.Fault fault && fault.faultKind().equals("door")) {
                clientLinkFaults.add(fault);
            }
        }
    }

    private Request request(long id) {
        return requests.computeIfAbsent(id, i -> new Request());
    }

    /** Returns what happened to the process of an edge node, in the order of time. */
    List<Event.ProcessChange> processChanges(int edge) {
        return processChanges.getOrDefault(edge, List.of());
    }

    /**
     * Returns whether the lab itself kept an edge node from answering within a span of time: it killed or
     * paused the node, or cut it off from its clients. A kill counts until the process has ended. After a
     * SIGTERM it does not excuse requests that came more than 0.7 s after that signal, and before the kill.
     */
    boolean wasImpeded(int edge, double fromMs, double toMs) {
        double termAtMs = Double.POSITIVE_INFINITY;
        double killedAtMs = Double.NaN;
        boolean paused = false;
        for (Event.ProcessChange change : processChanges(edge)) {
            if (change.change().equals("cont")) {
                if (paused && change.atMs() >= fromMs) {
                    return true;
                }
                paused = false;
            }
            if (change.change().equals("exit")) {
                if (killedAtMs <= toMs && change.atMs() >= fromMs) {
                    return true; // it died in between
                }
                killedAtMs = Double.NaN;
            }
            if (change.atMs() > toMs) {
                break;
            }
            switch (change.change()) {
                case "term" -> termAtMs = change.atMs();
                case "started" -> termAtMs = Double.POSITIVE_INFINITY;
                case "stop" -> paused = true;
                case "kill" -> {
                    boolean owed = fromMs > termAtMs + ANSWER_OWED_AFTER_TERM_MS && fromMs < change.atMs();
                    killedAtMs = owed ? Double.NaN : change.atMs();
                }
                default -> { }
            }
        }
        return paused || killedAtMs >= fromMs || clientLinkWasCut(edge, fromMs, toMs);
    }

    private boolean clientLinkWasCut(int edge, double fromMs, double toMs) {
        double cutSinceMs = Double.NaN;
        for (Event.Fault fault : clientLinkFaults) {
            if (!fault.target().equals("n" + edge)) {
                continue;
            }
            if (fault.begins()) {
                cutSinceMs = fault.atMs();
            } else if (!Double.isNaN(cutSinceMs)) {
                if (cutSinceMs <= toMs && fault.atMs() >= fromMs) {
                    return true;
                }
                cutSinceMs = Double.NaN;
            }
        }
        return cutSinceMs <= toMs;
    }
}
