package barleyfall.lab.seen;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * One thing that a stand-in saw, or that the lab did to a process. Times are ms from the start of the load,
 * on the lab's one clock; ids are those on the wire.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes({
    @JsonSubTypes.Type(value = Seen.Asked.class, name = "asked"),
    @JsonSubTypes.Type(value = Seen.Answered.class, name = "answered"),
    @JsonSubTypes.Type(value = Seen.Unanswered.class, name = "unanswered"),
    @JsonSubTypes.Type(value = Seen.NotTaken.class, name = "not-taken"),
    @JsonSubTypes.Type(value = Seen.Unasked.class, name = "unasked"),
    @JsonSubTypes.Type(value = Seen.Attempt.class, name = "attempt"),
    @JsonSubTypes.Type(value = Seen.AttemptOver.class, name = "attempt-over"),
    @JsonSubTypes.Type(value = Seen.Handshake.class, name = "handshake"),
    @JsonSubTypes.Type(value = Seen.Probe.class, name = "probe"),
    @JsonSubTypes.Type(value = Seen.Malformed.class, name = "malformed"),
    @JsonSubTypes.Type(value = Seen.ServerUp.class, name = "server-up"),
    @JsonSubTypes.Type(value = Seen.ServerDown.class, name = "server-down"),
    @JsonSubTypes.Type(value = Seen.Fell.class, name = "fell"),
    @JsonSubTypes.Type(value = Seen.Told.class, name = "told"),
    @JsonSubTypes.Type(value = Seen.Counted.class, name = "counted"),
    @JsonSubTypes.Type(value = Seen.Edge.class, name = "edge"),
    @JsonSubTypes.Type(value = Seen.Meter.class, name = "meter"),
    @JsonSubTypes.Type(value = Seen.Fault.class, name = "fault")})
public sealed interface Seen {
    /** When, in ms. */
    double at();

    /** A client's try, written whole to an edge node; first is the id of the client's first try. */
    record Asked(double at, double meant, long id, long first, int number, int edge, long customer, int plan,
        int type, int units, double patience, String key) implements Seen { }

    /** Its answer, as the client read it: {@code served}, {@code refused} or {@code failed}. */
    record Answered(double at, long id, int edge, String outcome, String value, double comeBack)
        implements Seen { }

    /** No answer came: the connection {@code ended}, was {@code reset}, or half a second {@code passed}. */
    record Unanswered(double at, long id, int edge, String why) implements Seen { }

    /** A try that no edge node took: no connection came up, or none was free. */
    record NotTaken(double at, double meant, long id, long first, int number, int edge, long customer,
        int plan,
        int type, int units, String why) implements Seen { }

    /** An edge node wrote what no one had asked for; id is the last one answered on that connection. */
    record Unasked(double at, int edge, long id, String text) implements Seen { }

    /**
     * The last byte of an attempt came; first byte is when the first did; order is its number at the server.
     */
    record Attempt(double at, double firstByte, long id, int edge, String server, String zone, long order,
        double work, String key) implements Seen { }

    /**
     * How it ended at the flag server: {@code served}, {@code error}, {@code busy}, {@code left}, {@code
     * died}.
     */
    record AttemptOver(double at, long id, int edge, String server, long order, String outcome, String value)
        implements Seen { }

    /** A new connection at a flag server. */
    record Handshake(double at, int edge, String server) implements Seen { }

    /** A probe: work that serves no one. */
    record Probe(double at, int edge, String server) implements Seen { }

    /** A flag server was sent what no client sent; id is 0 where there was none to read. */
    record Malformed(double at, int edge, String server, long id, String text) implements Seen { }

    /** A flag server runs; capacity is what it does warm, in ms of work a ms. */
    record ServerUp(double at, String server, String zone, boolean cold, double capacity, double coldFrom,
        double coldFor) implements Seen { }

    /** It runs no more: {@code crash}, {@code silent}, {@code replaced}, {@code fell}. */
    record ServerDown(double at, String server, String why) implements Seen { }

    /** A cold flag server was sent more than it bears, and stays down. */
    record Fell(double at, String server, double sent, double borne, double within) implements Seen { }

    /**
     * Discovery has written this of a flag server to an edge node; born is ms on the same clock, or -1e12.
     */
    record Told(double at, int edge, String server, String health, double born, long seq) implements Seen { }

    /** A call to the counter. */
    record Counted(double at, int edge, String name, double amount, String outcome) implements Seen { }

    /** Of an edge node's process: started, ready, term, kill, stop, cont, exit; text says more. */
    record Edge(double at, int edge, String what, String text) implements Seen { }

    /** CPU used so far (ms), resident memory (MB) and descriptors of an edge node's process. */
    record Meter(double at, int edge, long pid, double cpuMs, double memoryMb, int descriptors)
        implements Seen { }

    /** A fault of the timeline began or ended. */
    record Fault(double at, String name, String what, boolean begins, String on) implements Seen { }
}
