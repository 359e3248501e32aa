package willowyoke.net;

/** Reads decimal numbers from peers, in a time that grows with no more than their length. */
final class DecimalText {
    private DecimalText() { }

    /**
     * Parses a decimal number: a sign, digits with a point, and an exponent, of which only digits are needed.
     * Returns NaN for anything else, also for a number that no double can hold.
     */
    static double parse(String text) {
        if (!isDecimal(text)) {
            return Double.NaN;
        }
        double value = Double.parseDouble(text);
        return Double.isFinite(value) ? value : Double.NaN;
    }

    /** Double.parseDouble also takes NaN, Infinity, hexadecimal numbers, suffixes and blanks. */
    private static boolean isDecimal(String text) {
        int exponent = Math.max(text.indexOf('e'), text.indexOf('E'));
        if (exponent >= 0 && countDigits(text, skipSign(text, exponent + 1), text.length(), false) <= 0) {
            return false;
        }
        return countDigits(text, skipSign(text, 0), exponent < 0 ? text.length() : exponent, true) > 0;
    }

    private static int skipSign(String text, int start) {
        return start < text.length() && (text.charAt(start) == '+' || text.charAt(start) == '-') ? start + 1
            : start;
    }

    /** Counts the digits of a part of a text; -1 where it holds anything else but one allowed point. */
    private static int countDigits(String text, int start, int end, boolean pointAllowed) {
        int digits = 0;
        boolean point = !pointAllowed;
        for (int i = start; i < end; i++) {
            char next = text.charAt(i);
            if (next >= '0' && next <= '9') {
                digits++;
            } else if (next == '.' && !point) {
                point = true;
            } else {
                return -1;
            }
        }
        return digits;
    }
}
