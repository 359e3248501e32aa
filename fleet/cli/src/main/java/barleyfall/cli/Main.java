package barleyfall.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The command {@code bin/barleyfall}. */
@Command(name = "barleyfall", mixinStandardHelpOptions = true, version = "barleyfall 0.1.0",
    description = "Edge nodes for shared flag servers: list service, experiments and operators' commands.",
    subcommands = {LabCommand.class, CatalogCommand.class, Demo.class},
    exitCodeListHeading = "%nExit codes:%n",
    exitCodeList = {"0:success",
        "1:failure, a missed expectation, a broken rule or a run that does not count",
        "2:wrong use: arguments, files or a machine that lacks something"})
public final class Main implements Runnable {
    /** Exit code: success, and all expectations hold. */
    static final int EXIT_OK = 0;
    /** Exit code: the command ran, but failed or found an expectation that doesn't hold. */
    static final int EXIT_FAILED = 1;
    /** Exit code: the command could not run as requested. */
    static final int EXIT_USAGE = 2;

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    private Main() { }

    /** Runs the command with these arguments and exits with its code. */
    public static void main(String[] args) {
        System.exit(run(args));
    }

    /** Runs the command with these arguments and returns its exit code. */
    static int run(String... args) {
        return new CommandLine(new Main()).setExecutionExceptionHandler((failure, command, parsed) -> {
            command.getErr().println("barleyfall: "
                + (failure.getMessage() == null ? failure.toString() : failure.getMessage()));
            return EXIT_USAGE;
        }).execute(args);
    }

    @Override public void run() {
        spec.commandLine().usage(System.out);
    }
}
