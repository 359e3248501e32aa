package barleyfall.lab.edge;

import java.util.Arrays;
import java.util.Locale;

/** Defects that a stand-in edge node can have, each of which breaks one rule. */
public enum EdgeDefect {
    /** No defect. */
    NONE,
    /** Closes the connection of every fifth request instead of answering it. */
    NO_ANSWER,
    /** Answers every fifth request twice. */
    TWO_ANSWERS,
    /** Sends every fifth non-repeatable request once more after it was served. */
    REPEATS,
    /** Keeps sending to servers that drain. */
    DRAINS,
    /** Sends everything to the server that started last. */
    COLD,
    /** Ignores the ceilings. */
    CEILINGS,
    /** Answers every fifth request with a value of its own. */
    MADE_UP;

    /**
     * Returns the defect of an argument name.
     *
     * @throws IllegalArgumentException with all names, if there is none of that name
     */
    public static EdgeDefect of(String name) {
        return Arrays.stream(values()).filter(defect -> defect.argumentName().equals(name)).findFirst()
            .orElseThrow(() -> new IllegalArgumentException("expected one of "
                + Arrays.stream(values()).map(EdgeDefect::argumentName).toList() + "; found " + name));
    }

    /** Returns the name in lower case with dashes, as the command line takes it. */
    public String argumentName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
