package barleyfall.lab.standin;

import barleyfall.lab.experiment.Experiment;
import java.util.Arrays;
import java.util.SplittableRandom;

/**
 * How a client writes a command.
 *
 * @param pausesMs the pauses between the pieces; none where it is written whole
 * @param cut the fraction of the rest that each piece but the last one has
 * @param pingsBefore commands in the same write before it
 * @param pingsBehind commands in the same write behind it
 */
record CommandStyle(double[] pausesMs, double cut, int pingsBefore, int pingsBehind) {
    private static final int MAX_PIECES = 4;
    private static final double MAX_PAUSE_MS = 120;
    private static final int MAX_PINGS = 3;

    /** Draws the style of a command. */
    static CommandStyle draw(Experiment.Load load, SplittableRandom random) {
        boolean inPieces = random.nextDouble() < load.piecesFraction();
        double[] pausesMs = new double[inPieces ? random.nextInt(1, MAX_PIECES) : 0];
        Arrays.setAll(pausesMs, i -> random.nextDouble() * MAX_PAUSE_MS);
        boolean together = random.nextDouble() < load.pipelineFraction();
        return new CommandStyle(pausesMs, random.nextDouble(), together ? random.nextInt(MAX_PINGS) : 0,
            together ? random.nextInt(MAX_PINGS) : 0);
    }

    /** How long it takes from the first byte to the last. */
    double totalPauseMs() {
        return Arrays.stream(pausesMs).sum();
    }
}
