package barleyfall.cli;

import barleyfall.common.toml.InvalidFileException;
import barleyfall.lab.catalog.ConsistencyTrial;
import barleyfall.lab.catalog.ReplicaBenchmark;
import barleyfall.lab.catalog.StandaloneCluster;
import barleyfall.lab.experiment.Experiment;
import barleyfall.lab.experiment.ExperimentReader;
import barleyfall.lab.plan.Plan;
import barleyfall.lab.process.SystemCallFaults;
import barleyfall.lab.result.Report;
import barleyfall.lab.result.RequestTimeline;
import barleyfall.lab.result.Result;
import barleyfall.lab.result.ResultComparison;
import barleyfall.lab.result.ResultFormatter;
import barleyfall.lab.run.LabLog;
import barleyfall.lab.run.LabRun;
import barleyfall.lab.run.Project;
import barleyfall.lab.run.SoakExperiment;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.LocalDateTime;
import java.time.format.DateTimeFormatter;
import java.util.List;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code barleyfall lab}: runs experiments and evaluates their results. */
@Command(name = "lab", mixinStandardHelpOptions = true,
    description = "Runs experiments: real edge nodes among stand-ins, with faults between them.")
final class LabCommand implements Runnable {
    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override public void run() {
        spec.commandLine().usage(System.out);
    }

    /** The root of the checkout that this command belongs to. */
    static Path home() {
        return Path.of(System.getProperty("barleyfall.root", "."));
    }

    private static int report(InvalidFileException invalid) {
        invalid.problems().forEach(System.err::println);
        return Main.EXIT_USAGE;
    }

    @Command(name = "check", mixinStandardHelpOptions = true,
        description = "Reads experiments and reports mistakes in them; runs nothing.")
    int check(@Parameters(arity = "1..*", paramLabel = "FILE",
        description = "experiments (TOML)") List<Path> files)
        throws IOException {
        int code = Main.EXIT_OK;
        for (Path file : files) {
            try {
                Experiment experiment = ExperimentReader.read(file);
                Plan plan = Plan.draw(experiment, experiment.seed());
                System.out.printf("%s: good; %d edge nodes, %d flag servers, %d customers, %d first tries, "
                    + "%d faults, %d expectations, plan %s%n", file, experiment.topology().edges(),
                    experiment.topology().servers(), plan.customers().size(), plan.arrivals().size(),
                    experiment.faults().size(), experiment.expectations().size(), plan.hash());
            } catch (InvalidFileException invalid) {
                code = report(invalid);
            }
        }
        return code;
    }

    @Command(name = "run", mixinStandardHelpOptions = true,
        description = "Runs an experiment and prints its table; the exit code says whether its "
            + "expectations hold.")
    int play(@Parameters(paramLabel = "FILE", description = "an experiment (TOML)") Path file,
        @Option(names = "--seed", description = "instead of the seed in the file") Long seed,
        @Option(names = "--out", paramLabel = "DIR",
            description = "where result.json, report.html, events.jsonl "
            + "and log.jsonl go (default: lab-out/NAME-TIME, which git ignores)") Path out,
        @Option(names = "--edges-of", paramLabel = "DIR",
            description = "a built checkout whose edge nodes are run (default: this one's)") Path edgesOf)
        throws IOException {
        try {
            return play(ExperimentReader.read(file), seed, out, edgesOf);
        } catch (InvalidFileException invalid) {
            return report(invalid);
        }
    }

    /** Runs an experiment, writes its report and returns the exit code. */
    static int play(Experiment experiment, Long seed, Path out, Path edgesOf) throws IOException {
        Path runDir = out != null ? out : home().resolve("lab-out").resolve(
            Path.of(experiment.file()).getFileName().toString().replace(".toml", "")
                + LocalDateTime.now().format(DateTimeFormatter.ofPattern("-yyyyMMdd-HHmmss")));
        Project project = Project.find(edgesOf != null ? edgesOf : home());
        Progress progress = new Progress();
        Result result;
        try (LabLog log = new LabLog(runDir)) {
            result = new LabRun(experiment, seed != null ? seed : experiment.seed(), project, runDir,
                progress).run();
        } finally {
            progress.done();
        }
        Path report = Report.write(result, runDir);
        ResultFormatter.lines(result).forEach(System.out::println);
        System.out.println("report: " + report);
        boolean succeeded = result.sound()
            && result.expectations().stream().noneMatch(Result.CheckedExpectation::failsRun);
        return succeeded ? Main.EXIT_OK : Main.EXIT_FAILED;
    }

    @Command(name = "compare", mixinStandardHelpOptions = true,
        description = "Compares results: medians, spread, and which differences noise could explain.")
    int compare(@Parameters(index = "0", paramLabel = "A",
        description = "a folder with one run or several") Path a,
        @Parameters(index = "1", paramLabel = "B", description = "another") Path b) throws IOException {
        ResultComparison.lines(ResultComparison.readAll(a), ResultComparison.readAll(b))
            .forEach(System.out::println);
        return Main.EXIT_OK;
    }

    @Command(name = "soak", mixinStandardHelpOptions = true,
        description = "Random overlapping faults over real edge nodes, failing system calls among them; "
            + "prints each seed's rule violations.")
    int soak(@Option(names = "--seeds", defaultValue = "50", description = "number of seeds") int seeds,
        @Option(names = "--first", defaultValue = "1", description = "the first seed") long first,
        @Option(names = "--edges", defaultValue = "24", description = "number of edge nodes") int edges,
        @Option(names = "--cores", defaultValue = "0",
            description = "part of a core that each edge node has (default: no limit)") double cores,
        @Option(names = "--out", paramLabel = "DIR",
            description = "where each run has a folder (default: lab-out/soak-TIME)") Path out)
        throws IOException {
        if (!SystemCallFaults.isAvailable()) {
            System.err.println("a C compiler (cc) is needed to make system calls fail");
            return Main.EXIT_FAILED;
        }
        Path folder = out != null ? out : home().resolve("lab-out").resolve(
            "soak-" + LocalDateTime.now().format(DateTimeFormatter.ofPattern("yyyyMMdd-HHmmss")));
        int violations = 0;
        for (long seed = first; seed < first + seeds; seed++) {
            Result result = soakOnce(seed, edges, cores, folder.resolve(Long.toString(seed)));
            System.out.printf("seed %d: %d starts, %.0f failed system calls, served %.2f, "
                + "%.0f requests crossed an end (%.1f ms at the most), %d violations%s%n",
                seed, result.edges().stream().mapToInt(Result.EdgeRow::starts).sum(),
                result.figures().get("system-call-faults"), result.figures().get("served"),
                result.figures().get("crossed-ends"), result.figures().get("crossed-end-unread-max-ms"),
                result.violations().size(), result.sound() ? "" : ", unsound: " + result.unsoundReasons());
            result.violations().forEach(violation -> System.out.println("  " + violation.toLine()));
            violations += result.violations().size();
        }
        return violations == 0 ? Main.EXIT_OK : Main.EXIT_FAILED;
    }

    private static Result soakOnce(long seed, int edges, double cores, Path folder) throws IOException {
        Files.createDirectories(folder);
        Files.writeString(folder.resolve("experiment.toml"), SoakExperiment.text(seed, edges, cores));
        try (LabLog log = new LabLog(folder)) {
            return new LabRun(SoakExperiment.draw(seed, edges, cores), seed, Project.find(home()), folder,
                line -> { }).run();
        } catch (InvalidFileException e) {
            throw new IllegalStateException("seed " + seed + ": " + e.problems(), e);
        }
    }

    @Command(name = "list-trial", mixinStandardHelpOptions = true,
        description = "Writers, readers and watches at the list service while replicas are killed, stopped "
            + "and cut off; checks that what they saw is linearizable and gapless.")
    int listTrial(@Option(names = "--seeds", defaultValue = "20",
            description = "number of seeds, from seed 1") int seeds,
        @Option(names = "--faults", defaultValue = "4", description = "faults for each seed") int faults,
        @Option(names = "--out", paramLabel = "DIR",
            description = "where the replicas keep their data directories") Path out) throws IOException {
        int violations = 0;
        try (StandaloneCluster standalone = new StandaloneCluster(3, "", out != null ? out
            : Files.createTempDirectory("list-trial"))) {
            ConsistencyTrial trial = new ConsistencyTrial(standalone.cluster());
            for (long seed = 1; seed <= seeds; seed++) {
                ConsistencyTrial.TrialResult result = trial.run(seed, faults);
                System.out.printf("seed %d: %d operations, %d writes taken, %d unanswered, next write after "
                    + "a kill of the leader %s ms, %d violations%n", seed, result.operationCount(),
                    result.appliedWriteCount(), result.unknownWriteCount(),
                    result.failoverMs().stream().map(Math::round).toList(), result.violations().size());
                result.violations().forEach(System.out::println);
                violations += result.violations().size();
            }
        }
        return violations == 0 ? Main.EXIT_OK : Main.EXIT_FAILED;
    }

    @Command(name = "list-bench", mixinStandardHelpOptions = true,
        description = "Measures the list service: writes, watches, loss of the leader, start, memory, disk.")
    int listBench(@Option(names = "--members", defaultValue = "10000") int members,
        @Option(names = "--changes", defaultValue = "100000") int changes,
        @Option(names = "--out", paramLabel = "DIR",
            description = "where the replicas keep their data directories") Path out) throws IOException {
        String settings = "[leases]\nmost = \"60min\"\n[list]\nmembers = " + members + "\n";
        try (StandaloneCluster standalone = new StandaloneCluster(3, settings, out != null ? out
            : Files.createTempDirectory("list-bench"))) {
            new ReplicaBenchmark(standalone.cluster(), System.out::println).run(members, changes);
        }
        return Main.EXIT_OK;
    }

    @Command(name = "follow", mixinStandardHelpOptions = true,
        description = "Prints everything that happened to one request, in every process that handled it.")
    int follow(@Parameters(index = "0", paramLabel = "RESULT",
        description = "the folder of a run") Path result,
        @Parameters(index = "1", paramLabel = "ID", description = "a request's id, 16 hex digits") String id)
        throws IOException {
        List<String> lines = RequestTimeline.lines(result, id);
        lines.forEach(System.out::println);
        return lines.isEmpty() ? Main.EXIT_FAILED : Main.EXIT_OK;
    }
}
