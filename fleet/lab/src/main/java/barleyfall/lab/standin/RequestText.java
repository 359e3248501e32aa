package barleyfall.lab.standin;

import barleyfall.lab.experiment.Experiment;
import barleyfall.lab.plan.Arrival;
import barleyfall.lab.plan.Customer;
import barleyfall.lab.seen.Event;

/** The command of a try, as it goes over the wire, with the time that the client has left. */
final class RequestText {
    static final String PING = "*1\r\n$4\r\nPING\r\n";

    private final Front front;
    private final ClientTry clientTry;
    private final Customer customer;
    private final String key;
    private final double remainingMs;
    private final String bytes;

    /**
     * Writes a command, and notes it as what a client has sent.
     *
     * @param totalPauseMs how long it takes until its last byte is written
     */
    RequestText(Front front, ClientTry clientTry, Experiment.RequestClass requestClass, double totalPauseMs) {
        this.front = front;
        this.clientTry = clientTry;
        Arrival arrival = clientTry.arrival;
        customer = front.plan().customers().get(arrival.customerIndex());
        boolean isKeyed = requestClass.effect().equals("keyed");
        boolean isGet = requestClass.effect().equals("safe");
        key = isKeyed ? String.format("%016x", arrival.idempotencyKey()) : null;
        remainingMs = Math.max(1, clientTry.deadlineMs(requestClass) - front.clock().nowMs() - totalPauseMs);
        String id = String.format("%016x", clientTry.id());
        String terms = "c=" + requestClass.name()
            + ",t=" + front.experiment().plans().get(customer.plan()).name()
            + ",d=" + Math.round(remainingMs) + (isKeyed ? ",k=" + key : "")
            + (clientTry.tryNumber > 0 ? ",r=1" : "") + ",units=" + arrival.units()
            + ",spread=" + customer.spread() + ",first=" + customer.first();
        String body = isGet ? null : "body of " + id;
        String verb = isGet ? "CALL.GET" : "CALL.POST";
        front.requests().record(clientTry.id(),
            new RequestLog.SentTry(arrival, clientTry.tryNumber, verb, customer.wireId(), key, body));
        StringBuilder text = new StringBuilder(160).append(isGet ? "*4\r\n" : "*5\r\n");
        appendBulkString(text, verb);
        appendBulkString(text, customer.wireId());
        appendBulkString(text, id);
        appendBulkString(text, terms);
        if (body != null) {
            appendBulkString(text, body);
        }
        bytes = text.toString();
    }

    private static void appendBulkString(StringBuilder text, String value) {
        text.append('$').append(value.length()).append("\r\n").append(value).append("\r\n");
    }

    /** The command as it is written. */
    String bytes() {
        return bytes;
    }

    /** How long the client waits, from its last byte on. */
    double remainingMs() {
        return remainingMs;
    }

    /** Returns the record of its last byte. */
    Event.RequestSent sentEvent(double nowMs, int edge) {
        Arrival arrival = clientTry.arrival;
        return new Event.RequestSent(nowMs, clientTry.scheduledMs, clientTry.id(), arrival.id(),
            clientTry.tryNumber, edge, customer.number(), customer.plan(), arrival.classIndex(),
            arrival.units(), remainingMs, key);
    }
}
