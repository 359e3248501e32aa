package barleyfall.cli;

import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * An operator's command about one member of the list. The name of the command is that of the request to the
 * list service.
 */
@Command(mixinStandardHelpOptions = true)
abstract class MemberCommand implements Callable<Integer> {
    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;
    @CommandLine.ParentCommand private CatalogCommand catalog;

    @Parameters(paramLabel = "HOST", description = "the member's name")
    private String host;

    @Option(names = "--expect", paramLabel = "VERSION",
        description = "changes the member only if this is its version")
    private Long expect;

    @Override public Integer call() throws IOException {
        return catalog.change(spec.name(), host, expect);
    }

    /** Drains a member. */
    @Command(name = "drain", description = "Drains a member: it completes its requests and gets no new ones.")
    static final class Drain extends MemberCommand { }

    /** Stops draining a member. */
    @Command(name = "undrain", description = "Stops draining a member.")
    static final class Undrain extends MemberCommand { }

    /** Pins a member. */
    @Command(name = "pin", description = "Keeps a member listed even if its lease runs out.")
    static final class Pin extends MemberCommand { }

    /** Unpins a member. */
    @Command(name = "unpin", description = "Unpins a member.")
    static final class Unpin extends MemberCommand { }

    /** Removes a member. */
    @Command(name = "remove", description = "Removes a member from the list.")
    static final class Remove extends MemberCommand { }
}
