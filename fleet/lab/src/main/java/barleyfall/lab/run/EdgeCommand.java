package barleyfall.lab.run;

import barleyfall.lab.experiment.Experiment;

/**
 * Resolves what an experiment runs as its edge nodes: the project's own build, the lab's stand-in edge node,
 * or a command.
 */
final class EdgeCommand {
    private static final String STAND_IN = "stand-in";

    private EdgeCommand() { }

    /** Returns the project with the command that starts the edge nodes of the experiment. */
    static Project resolve(Experiment experiment, Project project) {
        if (experiment.edgeCommand().isEmpty()) {
            return project;
        }
        if (!experiment.edgeCommand().equals(STAND_IN)
            && !experiment.edgeCommand().startsWith(STAND_IN + ":")) {
            return new Project(project.root(), experiment.edgeCommand());
        }
        String defect = experiment.edgeCommand().length() > STAND_IN.length()
            ? experiment.edgeCommand().substring(STAND_IN.length() + 1) : "none";
        return new Project(project.root(), "exec java -Xshare:auto"
            + " -XX:TieredStopAtLevel=1 -XX:+UseSerialGC -Xmx64m -cp '"
            + System.getProperty("java.class.path") + "' barleyfall.lab.edge.StandInEdge " + defect);
    }
}
