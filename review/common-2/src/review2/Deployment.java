package review2;

import java.util.Locale;
import java.util.concurrent.atomic.AtomicLong;

/** Settings and requests of a small deployment, after the example of the operators' pages. */
public final class Deployment {
    public static final String LOOKUP = "slot-lookup", BOOKING = "slot-booking", UPDATE = "consignment-update";
    private static final AtomicLong NEXT_ID = new AtomicLong(System.nanoTime());

    private Deployment() {
    }

    /** The settings of proxy {@code me} of {@code proxies}; {@code bookingEffect} is the effect of slot-booking. */
    public static String settings(int proxies, int me, String discovery, String bookingEffect) {
        return "{\"Balancers\":" + proxies + ",\"Clients\":{\"MarksRetry\":false},\"Discovery\":\"" + discovery + "\","
            + "\"DomainType\":\"proxy\",\"FailureDomains\":[\"dar-dc1\"],\"Kinds\":[\"fast-node\",\"std-node\"],"
            + "\"Me\":" + me + ",\"Obligations\":{\"AnswerSlack\":0.02,\"AskWithin\":10.0,\"Cold\":8.9,"
            + "\"ColdShare\":0.3,\"DrainGrace\":1.5,\"Fall\":1.0,\"FallMultiple\":3.0},\"OverShareWorth\":0.1,"
            + "\"Permissions\":{\"ConnIdle\":15.0,\"ConnectTimeout\":0.12,\"CpuUsPerRequest\":10.0,"
            + "\"CpuUsPerS\":8000,\"MaxAttempts\":6,\"MaxRetryAfter\":2.0,\"MayCancel\":true,\"MostHeld\":20000,"
            + "\"Peers\":false,\"Probes\":true,\"RetryAfter\":true,\"SecondCopies\":true,\"StreamsPerConn\":1},"
            + "\"Prices\":{\"Connection\":0.0,\"CrossZone\":0.0,\"Discovery\":0.0,\"Handshake\":0.0,\"LateFail\":0.08,"
            + "\"Moves\":0.0,\"Origin\":0.0,\"Peer\":0.0,\"Probe\":0.01,\"Waste\":0.18},"
            + "\"Report\":{\"How\":\"on_probe\",\"Names\":[\"outstanding\",\"errors_per_s\"]},"
            + "\"ScoringMix\":{\"Whole\":0.55,\"WorstClass\":0.3,\"WorstTenant\":0.0,\"WorstWindow\":0.15},"
            + "\"Services\":["
            + service(LOOKUP, 0.25, 1.0, "idempotent", "all", 5.0, 5.0) + ","
            + service(BOOKING, 0.3, 0.6, bookingEffect, "all", 0.6, 10.0) + ","
            + service(UPDATE, 0.5, 2.0, "deduplicated", "cell", 2.0, 8.0) + "],"
            + "\"Specifics\":{\"WarmKeys\":false},\"Tenants\":[],\"Tick\":0.005,\"Tier\":0,"
            + "\"Tiers\":[\"slot-planners\"],\"Weights\":\"nominal\",\"WorthBy\":\"work\",\"Zone\":\"dar-dc1\"}";
    }

    private static String service(String name, double aim, double limit, String effect, String scope, double memory,
                                  double worth) {
        return String.format(Locale.ROOT, "{\"Aim\":%s,\"DedupScope\":\"%s\",\"HardLimit\":%s,\"Idempotency\":\"%s\","
            + "\"LateWorth\":0.25,\"MemorySpan\":%s,\"Name\":\"%s\",\"Streaming\":false,\"Worth\":%s}", aim, scope,
            limit, effect, memory, name, worth);
    }

    /** A fresh request id. */
    public static String newId() {
        return String.format(Locale.ROOT, "%016x", NEXT_ID.getAndIncrement() * 0x9E3779B97F4A7C15L);
    }

    /** A request of the class that is safe to repeat. */
    public static String lookup(String id, double timeoutSeconds) {
        return "GET /" + LOOKUP + "/a?b=1 HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: " + id + "\r\nX-Priority-Class: "
            + LOOKUP + "\r\nX-Timeout: " + String.format(Locale.ROOT, "%.3f", timeoutSeconds) + "\r\n\r\n";
    }

    /** A request of another class, with a key unless it is null. */
    public static String post(String serviceClass, String id, String key, double timeoutSeconds, String body) {
        return "POST /" + serviceClass + "/a HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: " + id
            + "\r\nX-Priority-Class: " + serviceClass + "\r\nX-Timeout: "
            + String.format(Locale.ROOT, "%.3f", timeoutSeconds) + "\r\n"
            + (key == null ? "" : "Idempotency-Key: " + key + "\r\n") + "Content-Length: " + body.length()
            + "\r\n\r\n" + body;
    }
}
