package review;

import java.util.Locale;

/** Settings of a small deployment, in the form of the configuration, with the figures of dar-main. */
final class Settings {
    /** The most that a proxy is granted: 192 MB and 1,024 descriptors. */
    static final String LIMITS = "{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}";
    /** A class whose requests may be repeated: a GET. */
    static final String LOOKUP = "slot-lookup";
    /** A class whose repeats all backends drop for 0.6 s: a POST with a key. */
    static final String BOOKING = "slot-booking";
    /** A class whose repeats the backends of one cell drop for 2 s: a POST with a key. */
    static final String UPDATE = "consignment-update";
    static final double LOOKUP_DEADLINE = 1.0, BOOKING_DEADLINE = 0.6, UPDATE_DEADLINE = 2.0;

    private Settings() {
    }

    /** The settings of the first one of this many proxies. */
    static String forProxies(int proxies) {
        return "{\"Balancers\":" + proxies + ",\"Me\":0,\"Zone\":\"dar-dc1\",\"FailureDomains\":[\"dar-dc1\"],"
            + "\"Kinds\":[\"std-node\"],\"Discovery\":\"ask\",\"Tenants\":[],\"Clients\":{\"MarksRetry\":false},"
            + "\"Obligations\":{\"AnswerSlack\":0.02,\"AskWithin\":10.0,\"Cold\":8.9,\"ColdShare\":0.3,"
            + "\"DrainGrace\":1.5,\"Fall\":1.0,\"FallMultiple\":3.0},"
            + "\"Permissions\":{\"ConnIdle\":15.0,\"ConnectTimeout\":0.12,\"MaxAttempts\":6,\"MayCancel\":true,"
            + "\"MaxRetryAfter\":2.0,\"MostHeld\":20000,\"Peers\":false,\"Probes\":true,\"RetryAfter\":true,"
            + "\"SecondCopies\":true,\"StreamsPerConn\":1},"
            + "\"Report\":{\"How\":\"on_probe\",\"Names\":[\"outstanding\",\"errors_per_s\"]},"
            + "\"Weights\":\"nominal\",\"WorthBy\":\"work\",\"Tick\":0.005,\"Services\":["
            + service(LOOKUP, 0.25, LOOKUP_DEADLINE, "idempotent", "all", 5.0) + ","
            + service(BOOKING, 0.3, BOOKING_DEADLINE, "deduplicated", "all", 0.6) + ","
            + service(UPDATE, 0.5, UPDATE_DEADLINE, "deduplicated", "cell", 2.0) + "]}";
    }

    private static String service(String name, double aim, double deadline, String effect, String scope,
                                  double window) {
        return String.format(Locale.ROOT, "{\"Name\":\"%s\",\"Aim\":%s,\"HardLimit\":%s,\"Idempotency\":\"%s\","
            + "\"DedupScope\":\"%s\",\"MemorySpan\":%s,\"LateWorth\":0.25,\"Streaming\":false,\"Worth\":5.0}", name,
            aim, deadline, effect, scope, window);
    }
}
