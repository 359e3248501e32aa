package barleyfall.lab.run;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyfall.lab.experiment.Experiment;
import barleyfall.lab.experiment.ExperimentReader;
import barleyfall.lab.result.Result;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Planned restarts of edge nodes that are stopped whenever they have used up their share of a core. */
@Timeout(120)
class ThrottledDrainTest {
    @TempDir Path folder;

    /** A node that was held up in its drain ended connections over requests that lay in their sockets. */
    @Test void drainOfThrottledNodeEndsNoConnectionOverRequest() throws Exception {
        Project project = Project.find(Path.of(""));
        Experiment experiment =
            ExperimentReader.read(project.root().resolve("experiments/drain-throttled.toml"));
        Result result = new LabRun(experiment, experiment.seed(), project, folder, line -> { }).run();
        assertTrue(result.edges().stream().allMatch(edge -> edge.starts() == 2), result.edges().toString());
        assertEquals(List.of(), result.violations().stream()
            .filter(violation -> violation.toLine().contains("the connection ended")).toList());
    }
}
