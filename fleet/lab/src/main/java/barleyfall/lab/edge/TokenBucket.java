package barleyfall.lab.edge;

/** A token bucket with this edge node's equal share of a customer's ceiling. */
final class TokenBucket {
    private final double unitsPerSecond;
    private final double burstUnits;
    private double availableUnits;
    private long refilledAtNanos = System.nanoTime();

    /** Creates a full bucket. */
    TokenBucket(double unitsPerSecond, double burstUnits) {
        this.unitsPerSecond = unitsPerSecond;
        this.burstUnits = burstUnits;
        availableUnits = burstUnits;
    }

    /** Takes the units if the bucket holds them. */
    synchronized boolean tryTake(int units) {
        long nowNanos = System.nanoTime();
        availableUnits = Math.min(burstUnits, availableUnits + unitsPerSecond * (nowNanos - refilledAtNanos)
            / 1e9);
        refilledAtNanos = nowNanos;
        if (availableUnits < units) {
            return false;
        }
        availableUnits -= units;
        return true;
    }
}
