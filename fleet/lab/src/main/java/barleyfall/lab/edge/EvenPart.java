package barleyfall.lab.edge;

/** A token bucket: this node's even part of a customer's ceiling; rate in units a second. */
final class EvenPart {
    private final double rate;
    private final double burst;
    private double level;
    private long at = System.nanoTime();

    EvenPart(double rate, double burst) {
        this.rate = rate;
        this.burst = burst;
        level = burst;
    }

    synchronized boolean take(int units) {
        long now = System.nanoTime();
        level = Math.min(burst, level + rate * (now - at) / 1e9);
        at = now;
        if (level < units) {
            return false;
        }
        level -= units;
        return true;
    }
}
