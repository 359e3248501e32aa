package barleyfall.lab.seen;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * One event of a run: something that a stand-in observed, or something that the lab did to a process. Times
 * are milliseconds since the start of the load on the lab's single clock; ids are the ones sent on the wire.
 *
 * <p>Events are stored in {@code events.jsonl}. The names in the annotations are the names in that file,
 * which have to stay so that older runs can be read.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes({
    @JsonSubTypes.Type(value = Event.RequestSent.class, name = "asked"),
    @JsonSubTypes.Type(value = Event.ResponseReceived.class, name = "answered"),
    @JsonSubTypes.Type(value = Event.ResponseMissing.class, name = "unanswered"),
    @JsonSubTypes.Type(value = Event.RequestNotSent.class, name = "not-taken"),
    @JsonSubTypes.Type(value = Event.ClientLeft.class, name = "left"),
    @JsonSubTypes.Type(value = Event.RequestCrossedEnd.class, name = "crossed-end"),
    @JsonSubTypes.Type(value = Event.InvariantViolated.class, name = "invariant"),
    @JsonSubTypes.Type(value = Event.UnexpectedResponse.class, name = "unasked"),
    @JsonSubTypes.Type(value = Event.AttemptReceived.class, name = "attempt"),
    @JsonSubTypes.Type(value = Event.AttemptEnded.class, name = "attempt-over"),
    @JsonSubTypes.Type(value = Event.Handshake.class, name = "handshake"),
    @JsonSubTypes.Type(value = Event.ProbeReceived.class, name = "probe"),
    @JsonSubTypes.Type(value = Event.MalformedRequest.class, name = "malformed"),
    @JsonSubTypes.Type(value = Event.ServerStarted.class, name = "server-up"),
    @JsonSubTypes.Type(value = Event.ServerStopped.class, name = "server-down"),
    @JsonSubTypes.Type(value = Event.ServerOverloaded.class, name = "fell"),
    @JsonSubTypes.Type(value = Event.DiscoveryUpdate.class, name = "told"),
    @JsonSubTypes.Type(value = Event.CounterCall.class, name = "counted"),
    @JsonSubTypes.Type(value = Event.ProcessChange.class, name = "edge"),
    @JsonSubTypes.Type(value = Event.ResourceUsage.class, name = "meter"),
    @JsonSubTypes.Type(value = Event.Fault.class, name = "fault")})
public sealed interface Event {
    /** When the event happened. */
    double atMs();

    /**
     * A client wrote one try of a request completely to an edge node.
     *
     * @param intendedAtMs when the try was scheduled to be sent
     * @param id id of this try
     * @param firstTryId id of the first try of the same request
     * @param tryNumber number of this try within its request, from 0
     * @param edge number of the edge node
     * @param planIndex index of the customer's plan in the experiment
     * @param classIndex index of the request class in the experiment
     * @param timeLeftMs time until the client's deadline, as stated in the request
     * @param idempotencyKey key under which flag servers drop repeats, or null
     */
    record RequestSent(@JsonProperty("at") double atMs, @JsonProperty("meant") double intendedAtMs, long id,
        @JsonProperty("first") long firstTryId, @JsonProperty("number") int tryNumber, int edge,
        long customer, @JsonProperty("plan") int planIndex, @JsonProperty("type") int classIndex, int units,
        @JsonProperty("patience") double timeLeftMs, @JsonProperty("key") String idempotencyKey)
        implements Event { }

    /**
     * The response to a try, as the client read it.
     *
     * @param outcome {@code served}, {@code refused}, {@code failed}, or {@code broken} where the connection
     *     ended inside a value
     * @param value the value that was served, or null
     * @param retryAfterMs the retry-after of a refusal; 0 for other outcomes
     */
    record ResponseReceived(@JsonProperty("at") double atMs, long id, int edge, String outcome, String value,
        @JsonProperty("comeBack") double retryAfterMs) implements Event { }

    /**
     * A try got no response: the connection ended or was reset, or none came until half a second after the
     * deadline.
     */
    record ResponseMissing(@JsonProperty("at") double atMs, long id, int edge,
        @JsonProperty("why") String reason) implements Event { }

    /** A client closed its connection before its try was answered. */
    record ClientLeft(@JsonProperty("at") double atMs, long id, int edge) implements Event { }

    /**
     * A try crossed the edge node's end of its connection, and is sent once more on a new one.
     *
     * @param unreadMs how long before the end its first bytes were in the socket
     */
    record RequestCrossedEnd(@JsonProperty("at") double atMs, long id, int edge,
        @JsonProperty("unread") double unreadMs) implements Event { }

    /** An edge node's own run-time check failed; its log has the text. */
    record InvariantViolated(@JsonProperty("at") double atMs, int edge, String text) implements Event { }

    /** A try that reached no edge node: no connection could be opened, or no connection was free. */
    record RequestNotSent(@JsonProperty("at") double atMs, @JsonProperty("meant") double intendedAtMs,
        long id, @JsonProperty("first") long firstTryId, @JsonProperty("number") int tryNumber, int edge,
        long customer, @JsonProperty("plan") int planIndex, @JsonProperty("type") int classIndex, int units,
        @JsonProperty("why") String reason) implements Event { }

    /**
     * An edge node wrote something to a client that had no open request on that connection.
     *
     * @param id id of the last try that was answered on the connection
     */
    record UnexpectedResponse(@JsonProperty("at") double atMs, int edge, long id, String text)
        implements Event { }

    /**
     * A flag server received an attempt; the event time is that of the last byte.
     *
     * @param firstByteMs when the first byte arrived
     * @param sequenceNumber number of the attempt among those of this flag server
     * @param workMs CPU time that the attempt costs the flag server
     * @param timeLeftMs how long the edge node will wait, as it tells the flag server
     */
    record AttemptReceived(@JsonProperty("at") double atMs, @JsonProperty("firstByte") double firstByteMs,
        long id, int edge, String server, String zone, @JsonProperty("order") long sequenceNumber,
        @JsonProperty("work") double workMs, @JsonProperty("key") String idempotencyKey,
        @JsonProperty("patience") double timeLeftMs) implements Event { }

    /**
     * An attempt ended at its flag server.
     *
     * @param outcome {@code served}, {@code error}, {@code busy} (turned away), {@code left} (the edge node
     *     gave it up) or {@code died} (the flag server stopped)
     */
    record AttemptEnded(@JsonProperty("at") double atMs, long id, int edge, String server,
        @JsonProperty("order") long sequenceNumber, String outcome, String value) implements Event { }

    /** An edge node opened a connection to a flag server. */
    record Handshake(@JsonProperty("at") double atMs, int edge, String server) implements Event { }

    /** A flag server received a probe, which costs work and serves no client. */
    record ProbeReceived(@JsonProperty("at") double atMs, int edge, String server) implements Event { }

    /** A flag server received a request that no client sent; the id is 0 if none could be read. */
    record MalformedRequest(@JsonProperty("at") double atMs, int edge, String server, long id, String text)
        implements Event { }

    /**
     * A flag server started.
     *
     * @param capacityCores work it does per unit of time when it is warm
     * @param coldSpeedFraction part of its speed that it has right after a cold start
     * @param warmUpMs time until it reaches its full speed
     */
    record ServerStarted(@JsonProperty("at") double atMs, String server, String zone, boolean cold,
        @JsonProperty("capacity") double capacityCores, @JsonProperty("coldFrom") double coldSpeedFraction,
        @JsonProperty("coldFor") double warmUpMs) implements Event { }

    /**
     * A flag server stopped; the reason is {@code crash}, {@code silent}, {@code replaced} or {@code fell}.
     */
    record ServerStopped(@JsonProperty("at") double atMs, String server, @JsonProperty("why") String reason)
        implements Event { }

    /**
     * A cold flag server got more work than it can bear and stays down.
     *
     * @param sentWorkMs work that it was sent within the window
     * @param capacityWorkMs work that it can bear within the window
     */
    record ServerOverloaded(@JsonProperty("at") double atMs, String server,
        @JsonProperty("sent") double sentWorkMs, @JsonProperty("borne") double capacityWorkMs,
        @JsonProperty("within") double windowMs) implements Event { }

    /**
     * An edge node was sent the state of a flag server, by discovery or by an operator's command.
     *
     * @param bornAtMs when the flag server's process started, or -1e12 for one that is older than the run
     * @param seq version of the list
     */
    record DiscoveryUpdate(@JsonProperty("at") double atMs, int edge, String server, String health,
        @JsonProperty("born") double bornAtMs, long seq) implements Event { }

    /** An edge node called the shared counter. */
    record CounterCall(@JsonProperty("at") double atMs, int edge, String name, double amount, String outcome)
        implements Event { }

    /**
     * The process of an edge node changed state, or the lab sent it a signal.
     *
     * @param change {@code started}, {@code ready}, {@code term}, {@code kill}, {@code stop}, {@code cont},
     *     {@code over-limit} or {@code exit}
     */
    record ProcessChange(@JsonProperty("at") double atMs, int edge, @JsonProperty("what") String change,
        @JsonProperty("text") String detail) implements Event { }

    /** CPU time used so far, resident memory and open file descriptors of an edge node's process. */
    record ResourceUsage(@JsonProperty("at") double atMs, int edge, long pid, double cpuMs, double memoryMb,
        int descriptors) implements Event { }

    /**
     * A fault of the experiment began or ended.
     *
     * @param faultKind kind of the fault as in the experiment's file, or {@code door} while an edge node is
     *     cut off from its clients
     * @param target the parties that the fault applies to
     */
    record Fault(@JsonProperty("at") double atMs, String name, @JsonProperty("what") String faultKind,
        boolean begins, @JsonProperty("on") String target) implements Event { }
}
