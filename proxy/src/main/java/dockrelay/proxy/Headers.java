package dockrelay.proxy;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.util.AsciiString;
import java.util.List;
import java.util.Locale;

/** Names of the protocol's headers, and which headers hold for one connection only. */
final class Headers {
    static final AsciiString REQUEST_ID = AsciiString.cached("X-Request-ID");
    static final AsciiString SERVICE_CLASS = AsciiString.cached("X-Priority-Class");
    static final AsciiString TENANT = AsciiString.cached("X-Tenant-Id");
    static final AsciiString TIMEOUT = AsciiString.cached("X-Timeout");
    static final AsciiString RETRIED = AsciiString.cached("X-Retried");
    static final AsciiString COST = AsciiString.cached("X-Cost");
    static final AsciiString SERVER_LOAD = AsciiString.cached("X-Server-Load");
    static final AsciiString IDEMPOTENCY_KEY = AsciiString.cached("Idempotency-Key");

    private static final List<AsciiString> HOP_BY_HOP_HEADERS = List.of(HttpHeaderNames.CONNECTION,
        AsciiString.cached("keep-alive"), HttpHeaderNames.TE, HttpHeaderNames.TRAILER,
        HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderNames.UPGRADE, HttpHeaderNames.EXPECT,
        HttpHeaderNames.PROXY_AUTHENTICATE, HttpHeaderNames.PROXY_AUTHORIZATION);

    /** Said twice, one of these could be read one way here and another way by the next. */
    private static final List<AsciiString> SINGLE_VALUE_HEADERS =
        List.of(HttpHeaderNames.HOST, REQUEST_ID, SERVICE_CLASS, TENANT,
        TIMEOUT, RETRIED, COST, IDEMPOTENCY_KEY);

    private Headers() {
    }

    /** Tells a backend how long its answer is waited for, in microseconds. */
    static void setTimeout(HttpMessage message, long remainingMicros) {
        message.headers()
            .set(TIMEOUT, String.format(Locale.ROOT, "%.6f", Math.max(0, remainingMicros) / 1_000_000.0));
    }

    /** Whether a header that settles what a request is and how often it may run is there more than once. */
    static boolean hasDuplicates(HttpHeaders headers) {
        for (AsciiString name : SINGLE_VALUE_HEADERS) {
            if (headers.getAll(name).size() > 1) {
                return true;
            }
        }
        return false;
    }

    /** Takes out what is between this proxy and its neighbour, and what Connection names besides. */
    static void removeHopByHop(HttpHeaders headers) {
        for (String connectionValue : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : connectionValue.split(",")) {
                if (!name.isBlank()) {
                    headers.remove(name.trim());
                }
            }
        }
        for (AsciiString name : HOP_BY_HOP_HEADERS) {
            headers.remove(name);
        }
    }
}
