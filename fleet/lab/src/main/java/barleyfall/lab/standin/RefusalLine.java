package barleyfall.lab.standin;

/** The error line that refuses a request: its first word is BUSY, which another word may only begin like. */
final class RefusalLine {
    private static final String REFUSAL = "-BUSY";
    private static final String REFUSAL_WITH_WORDS = REFUSAL + " ";

    private RefusalLine() { }

    /** Whether an answer is a refusal; null is none. */
    static boolean isRefusal(String answer) {
        return answer != null && (answer.equals(REFUSAL) || answer.startsWith(REFUSAL_WITH_WORDS));
    }

    /** The time after which to come again, in ms; 0 where the refusal tells none. */
    static double retryAfterMs(String refusal) {
        try {
            return refusal.length() > REFUSAL_WITH_WORDS.length()
                ? Double.parseDouble(refusal.substring(REFUSAL_WITH_WORDS.length()).trim()) : 0;
        } catch (NumberFormatException e) {
            return 0; // a text, not a time
        }
    }
}
