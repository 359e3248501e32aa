package barleyfall.lab.net;

/**
 * One direction of a link: delay, bandwidth, loss and cuts. Faults change them and the handlers of the
 * connections read them; a message in transit keeps the delay that it started with.
 */
public final class OneWayLink {
    private final double baseDelayMs;
    private final double jitterFraction;
    private volatile double extraDelayMs;
    private volatile double bytesPerMs = Double.POSITIVE_INFINITY;
    private volatile double lossFraction;
    private volatile int cutCount;

    /**
     * Creates a direction.
     *
     * @param jitterFraction the largest fraction of the base delay that is added to it
     */
    public OneWayLink(double baseDelayMs, double jitterFraction) {
        this.baseDelayMs = baseDelayMs;
        this.jitterFraction = jitterFraction;
    }

    /** Returns the delay of a message that is sent now, for a random number from 0 to 1. */
    double delayMs(double draw) {
        return baseDelayMs * (1 + jitterFraction * draw) + extraDelayMs;
    }

    /** Returns the time that the bandwidth limit adds for a number of bytes. */
    double transmissionMs(int sizeBytes) {
        return sizeBytes / bytesPerMs;
    }

    /** Returns whether nothing passes. */
    boolean isCut() {
        return cutCount > 0;
    }

    /** Returns the fraction of datagrams that are lost. */
    double lossFraction() {
        return lossFraction;
    }

    /** Adds to the delay; a negative value takes it off again. */
    public synchronized void addDelay(double delayMs) {
        extraDelayMs += delayMs;
    }

    /** Limits the bandwidth, in bytes per ms; infinity means no limit. */
    public void setBandwidth(double newBytesPerMs) {
        bytesPerMs = newBytesPerMs;
    }

    /** Sets the fraction of datagrams that are lost; streams lose nothing. */
    public void setLossFraction(double fraction) {
        lossFraction = fraction;
    }

    /** Adds or removes one cut. Cuts are counted, as two faults may cut the same direction. */
    public synchronized void setCut(boolean cut) {
        cutCount += cut ? 1 : -1;
    }
}
