package barleyfall.lab.run;

import barleyfall.common.toml.InvalidFileException;
import barleyfall.lab.edge.EdgeDefect;
import barleyfall.lab.edge.StandInEdge;
import barleyfall.lab.experiment.Experiment;
import barleyfall.lab.experiment.ExperimentReader;
import barleyfall.lab.net.LabClock;
import barleyfall.lab.plan.Plan;
import barleyfall.lab.process.AddressBlock;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Exercises the lab's own code before a run, against a stand-in edge node in this process. Without it the JIT
 * compiles that code during the run, and the first seconds of the load are sent tens of milliseconds late.
 */
final class LabWarmUp {
    private static final String EXPERIMENT = """
        title = "rehearsal"
        length = "1500ms"
        [topology]
        edges = 1
        servers = 6
        [edge]
        descriptors = 200
        [discovery]
        kind = "agents"
        [counter]
        calls = "10000/s"
        [load]
        requests = "2500/s"
        retries = 1
        [[plan]]
        rate = "500/s"
        [[class]]
        name = "read"
        work = "1ms"
        aim = "100ms"
        deadline = "200ms"
        """;

    private LabWarmUp() { }

    /** Runs a short experiment. */
    static void run() throws IOException {
        Experiment experiment;
        try {
            experiment = ExperimentReader.parse("rehearsal", EXPERIMENT);
        } catch (InvalidFileException bad) {
            throw new IllegalStateException(bad);
        }
        Plan plan = Plan.draw(experiment, 1);
        LabClock clock = new LabClock();
        try (AddressBlock addresses = AddressBlock.claim()) {
            LabEnvironment environment =
                new LabEnvironment(plan, clock, addresses, Path.of(""), event -> { });
            try (ServerSocket edge = StandInEdge.open(EdgeDefect.NONE, new ObjectMapper()
                .readTree(EdgeConfigWriter.write(plan, 0, addresses, 1, environment.discoveryAddresses(0),
                    environment.knownList(0))))) {
                environment.front.startHealthChecks();
                environment.front.whenReady(0).get(10, TimeUnit.SECONDS);
                clock.startLoadIn(0);
                environment.front.play();
            } catch (InterruptedException stop) {
                Thread.currentThread().interrupt();
            } catch (ExecutionException | TimeoutException never) {
                throw new IOException("the lab's stand-in edge node did not become ready", never);
            } finally {
                environment.stop();
            }
        }
    }
}
