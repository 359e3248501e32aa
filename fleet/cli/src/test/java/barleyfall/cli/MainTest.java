package barleyfall.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What the command line exits with: 0 good, 1 an expectation failed, 2 wrong use. */
class MainTest {
    private static final Path ROOT = Path.of("../..").toAbsolutePath().normalize();
    private static final String SMALL = """
        title = "small"
        length = "1s"
        [topology]
        edges = 1
        servers = 2
        [edge]
        run = "stand-in"
        [load]
        requests = "20/s"
        [[plan]]
        rate = "20/s"
        [[class]]
        name = "read"
        work = "5ms"
        aim = "300ms"
        deadline = "500ms"
        [[expect]]
        measure = "service"
        at_least = 2
        """;

    @TempDir Path folder;

    @BeforeAll static void root() {
        System.setProperty("barleyfall.root", ROOT.toString());
    }

    private String file(String text) throws IOException {
        return Files.writeString(folder.resolve("x.toml"), text).toString();
    }

    private int play(String text) throws IOException {
        return Main.run("lab", "run", file(text), "--out", folder.resolve("out").toString());
    }

    @Test void allExperimentsOfTheRepositoryCanBePlayed() throws IOException {
        try (Stream<Path> all = Files.list(ROOT.resolve("experiments"))) {
            String[] words = Stream.concat(Stream.of("lab", "check"), all.map(Path::toString).sorted())
                .toArray(String[]::new);
            assertTrue(words.length > 2);
            assertEquals(Main.GOOD, Main.run(words));
        }
    }

    @Test void wrongUseIsTwo() throws IOException {
        assertEquals(Main.WRONG_USE, Main.run("lab", "check", file(SMALL.replace("1s", "1 month"))));
        assertEquals(Main.WRONG_USE, Main.run("lab", "check", folder.resolve("none.toml").toString()));
        assertEquals(Main.WRONG_USE, Main.run("lab", "no-such-word"));
        assertEquals(Main.GOOD, Main.run("lab", "run", "--help"));
    }

    @Test void aMissedExpectationIsOne() throws IOException {
        assertEquals(Main.FAILED, play(SMALL));
        assertTrue(Files.exists(folder.resolve("out/result.json"))
            && Files.exists(folder.resolve("out/report.html")));
    }

    @Test void aKnownGapIsListedAndFailsNothing() throws IOException {
        assertEquals(Main.GOOD, play(SMALL + "known_gap = \"more than all cannot be served\"\n"));
        assertTrue(Files.readString(folder.resolve("out/report.html")).contains("known gap"));
    }
}
