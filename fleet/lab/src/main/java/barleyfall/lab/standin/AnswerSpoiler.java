package barleyfall.lab.standin;

import barleyfall.lab.experiment.Experiment;
import java.util.SplittableRandom;

/** Draws which answers of a flag server are long, break off, or come twice. */
final class AnswerSpoiler {
    /** What becomes of an answer on its way. */
    enum Fate { WHOLE, BREAKS_OFF, COMES_TWICE }

    /** Longer than an edge node reads at once. */
    private static final int MIN_LONG_VALUE = 70_000;
    private static final int MAX_LONG_VALUE = 300_000;

    private final Experiment.Servers settings;
    private final SplittableRandom random;

    /** Draws by a seed of its own. */
    AnswerSpoiler(Experiment.Servers settings, long seed) {
        this.settings = settings;
        random = new SplittableRandom(seed + 1);
    }

    /** Returns the value, or a long one that begins with it. */
    String lengthen(String value) {
        if (random.nextDouble() >= settings.longValueFraction()) {
            return value;
        }
        int length = random.nextInt(MIN_LONG_VALUE, MAX_LONG_VALUE);
        return value + ":" + "x".repeat(length);
    }

    /** Draws the fate of the next answer. */
    Fate draw() {
        double drawn = random.nextDouble();
        if (drawn < settings.brokenAnswerFraction()) {
            return Fate.BREAKS_OFF;
        }
        return drawn < settings.brokenAnswerFraction() + settings.secondAnswerFraction() ? Fate.COMES_TWICE
            : Fate.WHOLE;
    }
}
