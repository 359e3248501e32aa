package barleyfall.lab.run;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;

/**
 * A built checkout of the edge node.
 *
 * @param root root folder of the checkout
 * @param startCommand shell command that starts an edge node
 */
public record Project(Path root, String startCommand) {
    private static final String DEPLOY_FILE = "deploy/balancer.toml";

    /**
     * Finds the project in a folder or above it; throws if there is none or its deploy file has no
     * {@code run}.
     */
    public static Project find(Path from) throws IOException {
        for (Path folder = from.toAbsolutePath().normalize(); folder != null; folder = folder.getParent()) {
            Path deployFile = folder.resolve(DEPLOY_FILE);
            if (Files.exists(deployFile)) {
                TomlParseResult parsed = Toml.parse(deployFile);
                String command = parsed.getString("run");
                if (parsed.hasErrors() || command == null) {
                    throw new IOException(deployFile + ": no readable key 'run'");
                }
                return new Project(folder, command);
            }
        }
        throw new IOException("no " + DEPLOY_FILE + " in " + from.toAbsolutePath() + " or above it");
    }
}
