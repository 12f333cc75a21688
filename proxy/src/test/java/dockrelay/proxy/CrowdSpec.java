package dockrelay.proxy;

import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;

/**
 * A crowd of clients that all do the same.
 *
 * @param fields header fields of a request in addition to those it needs
 * @param bodyBytes length of a body
 * @param sentBytes bytes of the body that are sent at once
 * @param pieceMillis time between two pieces of a body, or between two reads of an answer
 * @param leaves whether a client closes its connection at the first byte of an answer
 * @param pauseMillis time until a client that has no connection any more connects again
 */
record CrowdSpec(CrowdKind kind, int clients, int fields, int bodyBytes, int sentBytes, int pieceMillis,
                 boolean leaves, int pauseMillis) {
    private static final int MIN_CLIENTS = 200, MAX_CLIENTS = 620, MAX_FIELDS = 92;
    private static final int MIN_BODY_BYTES = 70_000, MAX_BODY_BYTES = 1 << 20;

    /** Draws a crowd. */
    static CrowdSpec draw(SplittableRandom random) {
        CrowdKind kind = CrowdKind.values()[random.nextInt(CrowdKind.values().length)];
        int bodyBytes = logUniform(random, MIN_BODY_BYTES, MAX_BODY_BYTES);
        int fields = kind == CrowdKind.TOO_MANY_FIELDS ? random.nextInt(101, 400)
            : random.nextInt(3) == 0 ? random.nextInt(MAX_FIELDS) : MAX_FIELDS;
        return new CrowdSpec(kind, random.nextInt(MIN_CLIENTS, MAX_CLIENTS + 1), fields, bodyBytes,
            logUniform(random, 100, bodyBytes), logUniform(random, 1, 300), random.nextBoolean(),
            logUniform(random, 1, 200));
    }

    private static int logUniform(SplittableRandom random, int min, int max) {
        return (int) (min * Math.exp(random.nextDouble() * Math.log((double) max / min)));
    }

    /** Draws one to three crowds with at most {@link #MAX_CLIENTS} clients in all. */
    static List<CrowdSpec> drawMix(SplittableRandom random) {
        int count = random.nextInt(1, 4);
        return random.ints(count, 0, Integer.MAX_VALUE).mapToObj(SplittableRandom::new)
            .map(CrowdSpec::draw).map(spec -> spec.withClients(spec.clients / count)).toList();
    }

    private CrowdSpec withClients(int newClients) {
        return new CrowdSpec(kind, newClients, fields, bodyBytes, sentBytes, pieceMillis, leaves,
            pauseMillis);
    }

    @Override
    public String toString() {
        return String.format(Locale.ROOT,
            "%d %s, %d fields, %d of %d bytes, every %d ms, %s, again after %d ms", clients, kind, fields,
            sentBytes, bodyBytes, pieceMillis, leaves ? "leaving" : "staying", pauseMillis);
    }
}
