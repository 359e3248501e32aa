package barleyfall.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** {@code bin/barleyfall}. */
@Command(name = "barleyfall", mixinStandardHelpOptions = true, version = "barleyfall 0.1.0",
    description = "Edge nodes for shared flag servers: the fleet around them.",
    subcommands = {LabCommand.class, CatalogCommand.class, Demo.class},
    exitCodeListHeading = "%nExit codes:%n",
    exitCodeList = {"0:good", "1:an expectation failed, a rule was broken or the run does not count",
        "2:wrong use: words, files or a machine that lacks something"})
public final class Main implements Runnable {
    /** All as expected. */
    static final int GOOD = 0;
    /** It ran, and something was not as it should be. */
    static final int FAILED = 1;
    /** It could not run as it was asked to. */
    static final int WRONG_USE = 2;

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    private Main() { }

    /** Runs the words and exits. */
    public static void main(String[] args) {
        System.exit(run(args));
    }

    static int run(String... args) {
        return new CommandLine(new Main()).setExecutionExceptionHandler((e, line, parsed) -> {
            line.getErr().println("barleyfall: " + (e.getMessage() == null ? e.toString() : e.getMessage()));
            return WRONG_USE;
        }).execute(args);
    }

    @Override public void run() {
        spec.commandLine().usage(System.out);
    }
}
