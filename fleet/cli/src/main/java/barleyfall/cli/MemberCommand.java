package barleyfall.cli;

import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** A word of an operator about one member of the list; the command's name is the word. */
@Command(mixinStandardHelpOptions = true)
abstract class MemberCommand implements Callable<Integer> {
    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;
    @CommandLine.ParentCommand private CatalogCommand catalog;

    @Parameters(paramLabel = "HOST", description = "the member's name")
    private String host;

    @Option(names = "--expect", paramLabel = "VERSION",
        description = "the member's version that you know; nothing is done where it has passed")
    private Long expect;

    @Override public Integer call() throws IOException {
        return catalog.say(spec.name(), host, expect);
    }

    /** Drains it. */
    @Command(name = "drain", description = "Says that a member completes what it has and wants nothing new.")
    static final class Drain extends MemberCommand { }

    /** No longer drains it. */
    @Command(name = "undrain", description = "Takes that back.")
    static final class Undrain extends MemberCommand { }

    /** Pins it. */
    @Command(name = "pin", description = "Keeps a member listed though its lease runs out.")
    static final class Pin extends MemberCommand { }

    /** No longer pins it. */
    @Command(name = "unpin", description = "Takes that back.")
    static final class Unpin extends MemberCommand { }

    /** Takes it out. */
    @Command(name = "remove", description = "Takes a member out of the list.")
    static final class Remove extends MemberCommand { }
}
