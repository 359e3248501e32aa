package barleyfall.lab.plan;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Independent streams of random numbers, one for each name. An additional draw from one stream leaves all
 * others unchanged, so two experiments that differ in one point draw the same values everywhere else.
 */
public final class RandomStreams {
    private final long seed;

    /** Creates the streams of a seed. */
    public RandomStreams(long seed) {
        this.seed = seed;
    }

    /** Returns the stream of a name, positioned at its first number. */
    public UniformRandomProvider of(String name) {
        ByteBuffer key = ByteBuffer.wrap(sha256()
            .digest((seed + "/" + name).getBytes(StandardCharsets.UTF_8)));
        return RandomSource.XO_RO_SHI_RO_128_PP.create(new long[] {key.getLong(), key.getLong()});
    }

    static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is missing, although every JDK has it", e);
        }
    }
}
