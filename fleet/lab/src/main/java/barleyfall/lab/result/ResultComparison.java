package barleyfall.lab.result;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Stream;

/** Compares two sets of results figure by figure, for {@code lab compare}. */
public final class ResultComparison {
    private static final int MIN_RUNS_PER_SIDE = 4;

    private ResultComparison() { }

    /** Reads a result file, or all results in a folder and below it. */
    public static List<Result> readAll(Path path) throws IOException {
        if (!Files.isDirectory(path)) {
            return List.of(Result.read(path));
        }
        List<Result> all = new ArrayList<>();
        try (Stream<Path> files = Files.walk(path)) {
            for (Path file : files.filter(f -> f.endsWith(Result.FILE_NAME)).sorted().toList()) {
                all.add(Result.read(file));
            }
        }
        if (all.isEmpty()) {
            throw new IOException("no " + Result.FILE_NAME + " in " + path);
        }
        return all;
    }

    /** Returns a table with one line per figure; unsound runs are left out, and their number is shown. */
    public static List<String> lines(List<Result> a, List<Result> b) {
        List<String> lines = new ArrayList<>();
        List<Result> soundA = a.stream().filter(Result::sound).toList();
        List<Result> soundB = b.stream().filter(Result::sound).toList();
        lines.add(String.format("A: %d runs, %d sound, seeds %s; B: %d runs, %d sound, seeds %s", a.size(),
            soundA.size(), seeds(soundA), b.size(), soundB.size(), seeds(soundB)));
        if (!planHashes(soundA).equals(planHashes(soundB))) {
            lines.add("the two sets did not run the same plans: differences may come from the load");
        }
        lines.add(String.format("%-24s %10s %21s %10s %21s  %s", "figure", "A median", "A spread", "B median",
            "B spread", "difference"));
        Set<String> names = new LinkedHashSet<>();
        Stream.concat(soundA.stream(), soundB.stream()).forEach(r -> names.addAll(r.figures().keySet()));
        names.add("rules-broken");
        for (String name : names) {
            lines.add(line(name, values(soundA, name), values(soundB, name)));
        }
        return lines;
    }

    private static List<Long> seeds(List<Result> results) {
        return results.stream().map(Result::seed).distinct().sorted().toList();
    }

    private static Set<String> planHashes(List<Result> results) {
        return new LinkedHashSet<>(results.stream().map(Result::planHash).sorted().toList());
    }

    private static double[] values(List<Result> results, String name) {
        return results.stream().map(r -> name.equals("rules-broken") ? (Double) (double) r.violations().size()
            : r.figures().get(name)).filter(Objects::nonNull).mapToDouble(Double::doubleValue).sorted()
            .toArray();
    }

    private static String line(String name, double[] a, double[] b) {
        if (a.length == 0 || b.length == 0) {
            return String.format("%-24s not in both", name);
        }
        double difference = median(b) - median(a);
        return String.format(Locale.ROOT, "%-24s %10.4f %10.4f-%10.4f %10.4f %10.4f-%10.4f  %+.4f %s", name,
            median(a), a[0], a[a.length - 1], median(b), b[0], b[b.length - 1], difference, verdict(a, b));
    }

    /** Returns the median of sorted values. */
    static double median(double[] sorted) {
        int n = sorted.length;
        return n % 2 == 1 ? sorted[n / 2] : (sorted[n / 2 - 1] + sorted[n / 2]) / 2;
    }

    /**
     * Returns whether two sorted sets of values differ, by the exact two-sided test of Mann and Whitney
     * (1947) for ranks that do not overlap at all: with four runs a side, chance gives such an order in 2 of
     * 70 cases; with fewer runs nothing can be concluded.
     */
    static String verdict(double[] a, double[] b) {
        if (Arrays.equals(a, b)) {
            return "none";
        }
        if (a.length < MIN_RUNS_PER_SIDE || b.length < MIN_RUNS_PER_SIDE) {
            return "noise could give it (fewer than " + MIN_RUNS_PER_SIDE + " runs a side)";
        }
        return a[a.length - 1] < b[0] || b[b.length - 1] < a[0] ? "REAL (no overlap)" : "noise could give it";
    }
}
