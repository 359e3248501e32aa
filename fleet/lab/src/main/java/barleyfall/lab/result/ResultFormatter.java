package barleyfall.lab.result;

import barleyfall.lab.rules.Violation;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Formats a result for the command line. */
public final class ResultFormatter {
    private static final int MAX_PRINTED_VIOLATIONS = 20;

    private ResultFormatter() { }

    /** Returns the table of seconds, the figures, the first violations and the expectations, line by line. */
    public static List<String> lines(Result result) {
        List<String> lines = new ArrayList<>();
        lines.add(result.title() + "  (seed " + result.seed() + ", plan " + result.planHash()
            + ", edge nodes " + result.build() + ")");
        lines.add("    s  wishes  service  served   p50 ms   p99 ms  attempts  counter   CPU ms  MB  broken");
        for (Result.Window window : result.windows()) {
            lines.add(String.format(Locale.ROOT,
                "%5.0f  %6d  %7s  %6s  %7.1f  %7.1f  %8d  %7d  %7.0f  %2.0f  %6s%s",
                window.fromMs() / 1000, window.requestCount(), number(window.service()),
                number(window.served()), window.p50(), window.p99(),
                window.attempts(), window.counterCalls(), window.cpuMs(), window.memoryMb(),
                window.violationCount() == 0 ? "" : window.violationCount(),
                faults(result, window.fromMs())));
        }
        result.figures().forEach((name, figure) -> lines.add(String.format(Locale.ROOT, "%-24s %s", name,
            number(figure))));
        for (Violation violation : result.violations().stream().limit(MAX_PRINTED_VIOLATIONS).toList()) {
            lines.add(violation.toLine());
        }
        if (result.violations().size() > MAX_PRINTED_VIOLATIONS) {
            lines.add("... and " + (result.violations().size() - MAX_PRINTED_VIOLATIONS) + " more, in "
                + Result.FILE_NAME);
        }
        for (Result.CheckedExpectation expectation : result.expectations()) {
            lines.add(line(expectation));
        }
        if (!result.sound()) {
            lines.add("UNSOUND, does not count: " + String.join("; ", result.unsoundReasons()));
        }
        return lines;
    }

    private static String line(Result.CheckedExpectation expectation) {
        String bounds = (expectation.atLeast() == null ? "" : " at least " + number(expectation.atLeast()))
            + (expectation.atMost() == null ? "" : " at most " + number(expectation.atMost()));
        String verdict = expectation.met() ? "good" : expectation.knownGap().isEmpty() ? "MISSED"
            : "known gap";
        String closedGap = expectation.met() && !expectation.knownGap().isEmpty()
            ? "; the gap is closed: remove known_gap" : "";
        return String.format(Locale.ROOT, "%-9s %s%s from %.0f to %.0f s:%s, is %s%s%s", verdict,
            expectation.measure(), expectation.subject().isEmpty() ? "" : " " + expectation.subject(),
            expectation.fromMs() / 1000, expectation.toMs() / 1000, bounds, number(expectation.figure()),
            expectation.knownGap().isEmpty() ? "" : " (" + expectation.knownGap() + ")", closedGap);
    }

    private static String faults(Result result, double fromMs) {
        StringBuilder names = new StringBuilder();
        result.faults().stream().filter(fault -> fault.fromMs() < fromMs + 1000 && fault.toMs() >= fromMs)
            .forEach(fault -> names.append("  ").append(fault.name()));
        return names.toString();
    }

    /** Returns a figure as text; a missing one is a dash. */
    static String number(Double figure) {
        return figure == null ? "-" : String.format(Locale.ROOT, Math.abs(figure) >= 100 ? "%.0f" : "%.3f",
            figure);
    }
}
