package barleyfall.lab.standin;

import barleyfall.lab.experiment.Experiment;
import barleyfall.lab.plan.Arrival;

/** One try of a client in progress. It is used on the event loop of its edge node only. */
final class ClientTry {
    final Arrival arrival;
    final int tryNumber;
    /** When the try was due, and when the first try of the request was. */
    final double scheduledMs;
    private final double firstScheduledMs;
    /** Sent a second time, as the edge node closed the connection at the moment of the first. */
    boolean resent;
    /** Written to a connection. */
    boolean written;
    /** Answered or given up. */
    boolean finished;
    /** The client's deadline has passed; an answer would be late. */
    boolean expired;

    /** Creates a try that has not been sent. */
    ClientTry(Arrival arrival, int tryNumber, double scheduledMs, double firstScheduledMs) {
        this.arrival = arrival;
        this.tryNumber = tryNumber;
        this.scheduledMs = scheduledMs;
        this.firstScheduledMs = firstScheduledMs;
    }

    /** Returns what was drawn for this try. */
    Arrival.Try drawnTry() {
        return arrival.tries()[tryNumber];
    }

    /** Returns the id on the wire. */
    long id() {
        return drawnTry().id();
    }

    /** Returns when the client gives up this try. */
    double deadlineMs(Experiment.RequestClass requestClass) {
        return Math.min(scheduledMs + requestClass.deadlineMs() * drawnTry().patience(),
            firstScheduledMs + requestClass.deadlineMs());
    }
}
