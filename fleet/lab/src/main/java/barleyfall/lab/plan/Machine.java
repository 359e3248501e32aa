package barleyfall.lab.plan;

import barleyfall.lab.experiment.Experiment;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The machine of a flag server: properties that are drawn once and survive restarts. The plan's hash contains
 * the text form of this record, so its name and its components keep their names.
 *
 * @param block failure domain
 * @param speed ms of work that a warm core does per ms
 * @param coldFrom fraction of that speed right after a cold start
 * @param coldFor time until the machine is warm, in ms
 * @param handshake work of a new connection, in ms
 * @param reportEvery interval of the load reports, in ms
 * @param reportLate delay until a report becomes visible, in ms
 * @param noiseSeed seed of the model's own random numbers
 */
public record Machine(int number, String id, String zone, int block, double speed, double coldFrom,
    double coldFor, double handshake, double reportEvery, double reportLate, long noiseSeed) {
    private static final int MACHINES_PER_BLOCK = 6;

    /** Draws the machine of a number; the successor of a replaced machine has a number of its own. */
    public static Machine draw(Experiment experiment, RandomStreams streams, int number, String zone) {
        UniformRandomProvider random = streams.of("machine " + number);
        Experiment.Servers servers = experiment.servers();
        return new Machine(number, String.format("s-%08x", random.nextInt()), zone,
            number / MACHINES_PER_BLOCK, servers.speed().at(random.nextDouble()),
            servers.coldSpeedFraction().at(random.nextDouble()), servers.warmUpMs().at(random.nextDouble()),
            servers.handshakeMs().at(random.nextDouble()), servers.reportIntervalMs().at(random.nextDouble()),
            servers.reportDelayMs().at(random.nextDouble()), random.nextLong());
    }
}
