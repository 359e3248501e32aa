package barleyfall.cli;

import barleyfall.common.toml.InvalidFileException;
import barleyfall.lab.experiment.ExperimentReader;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code barleyfall demo}: a short experiment that shows the whole system. */
@Command(name = "demo", mixinStandardHelpOptions = true,
    description = "Plays a fleet for 20 s, with an edge node killed and a zone lost.")
final class Demo implements Callable<Integer> {
    @Option(names = "--out", paramLabel = "DIR", description = "where the report goes")
    private Path out;

    @Override public Integer call() throws IOException {
        try {
            return LabCommand.play(
                ExperimentReader.read(LabCommand.home().resolve("experiments/demo.toml")), null, out, null);
        } catch (InvalidFileException invalid) {
            invalid.problems().forEach(System.err::println);
            return Main.EXIT_USAGE;
        }
    }
}
