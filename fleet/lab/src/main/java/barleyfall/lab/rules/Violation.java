package barleyfall.lab.rules;

/**
 * One violation of a rule. It is stored in {@code result.json} under the component names.
 *
 * @param rule name of the rule
 * @param at when it happened, in ms since the start of the load
 * @param id id of the request, 0 if it concerns none
 * @param edge number of the edge node
 * @param text what happened
 */
public record Violation(String rule, double at, long id, int edge, String text) {
    /** Returns the line that a run prints. */
    public String toLine() {
        return String.format("%s broken at %.3f s by n%d%s: %s", rule, at / 1000, edge,
            id == 0 ? "" : ", request " + String.format("%016x", id), text);
    }
}
