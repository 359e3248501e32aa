package barleyfall.lab.plan;

/**
 * A client's request, drawn before the run, with a draw for each try that the client may make.
 *
 * @param atMs when the first try is due, in ms from the start of the load
 * @param id id of the first try on the wire
 * @param customerIndex index into the plan's customers
 * @param classIndex index into the experiment's request classes
 * @param workMs work that the request costs a warm core of speed 1
 * @param tries the draws for the first try and for the retries
 */
public record Arrival(double atMs, long id, int customerIndex, int classIndex, int units, double workMs,
    long idempotencyKey, Try[] tries) {
    /**
     * The draws for one try. The plan's hash contains the text form of this record, so its name and its
     * components keep their names.
     *
     * @param id id on the wire
     * @param edge the edge node that the front picks
     * @param patience how long the client waits, as a fraction of the class's deadline
     * @param pause pause before the try, as a multiple of the backoff
     * @param honours whether the client respects the retry-after time of a refusal
     */
    public record Try(long id, int edge, double patience, double pause, boolean honours) { }
}
