package dockrelay.lab.plan;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * Independent random number streams, one per purpose, so that a change in the draws for one purpose does
 * not affect those for the others.
 */
public final class RandomStreams {
    private static final RandomGeneratorFactory<RandomGenerator> FACTORY =
        RandomGeneratorFactory.of("L64X128MixRandom");

    private RandomStreams() {
    }

    public static RandomGenerator stream(long seed, String purpose) {
        return FACTORY.create(deriveSeed(seed, purpose));
    }

    /** A seed derived from a seed and a purpose by SHA-256; the same on every machine. */
    public static long deriveSeed(long seed, String purpose) {
        byte[] input = (seed + "/" + purpose).getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.wrap(sha256().digest(input)).getLong();
    }

    static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e); // every Java platform must provide SHA-256
        }
    }
}
