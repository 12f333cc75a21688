package dockrelay.proxy;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.util.AsciiString;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;

/** Names of the protocol's headers, and rules for duplicate and hop-by-hop headers. */
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

    /**
     * Headers that may occur once only: this proxy and a backend could pick different values of a duplicate.
     */
    private static final List<AsciiString> SINGLE_VALUE_HEADERS = List.of(HttpHeaderNames.HOST, REQUEST_ID,
        SERVICE_CLASS, TENANT, TIMEOUT, RETRIED, COST, IDEMPOTENCY_KEY);

    /**
     * Headers that determine where a body ends, a request's identity or how often it may run. They are meant
     * for all recipients, so that {@code Connection} must not name them (RFC 9110, 7.6.1).
     */
    private static final List<AsciiString> END_TO_END_HEADERS =
        Stream.concat(Stream.of(HttpHeaderNames.CONTENT_LENGTH), SINGLE_VALUE_HEADERS.stream()).toList();

    private Headers() {
    }

    /** Sets the header that tells a backend how long its response is awaited; the time is in microseconds. */
    static void setTimeout(HttpMessage message, long remainingMicros) {
        message.headers().set(TIMEOUT,
            String.format(Locale.ROOT, "%.6f", Math.max(0, remainingMicros) / 1_000_000.0));
    }

    /**
     * Whether a header that determines a request's identity or how often it may run occurs more than once.
     */
    static boolean hasDuplicates(HttpHeaders headers) {
        for (AsciiString name : SINGLE_VALUE_HEADERS) {
            if (headers.getAll(name).size() > 1) {
                return true;
            }
        }
        return false;
    }

    /** Whether {@code Connection} names a header that must reach all recipients, as no sender may do. */
    static boolean connectionNamesEndToEndHeader(HttpHeaders headers) {
        for (String name : connectionOptions(headers)) {
            if (isEndToEnd(name)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Removes the hop-by-hop headers, including those that are named in {@code Connection}; a header that
     * must reach all recipients is kept even if it is named there.
     */
    static void removeHopByHop(HttpHeaders headers) {
        for (String name : connectionOptions(headers)) {
            if (!isEndToEnd(name)) {
                headers.remove(name);
            }
        }
        for (AsciiString name : HOP_BY_HOP_HEADERS) {
            headers.remove(name);
        }
    }

    /** The names listed in all {@code Connection} headers; most messages have none. */
    private static List<String> connectionOptions(HttpHeaders headers) {
        if (!headers.contains(HttpHeaderNames.CONNECTION)) {
            return List.of();
        }
        return headers.getAll(HttpHeaderNames.CONNECTION).stream()
            .flatMap(value -> Stream.of(value.split(","))).map(String::trim).filter(name -> !name.isEmpty())
            .toList();
    }

    private static boolean isEndToEnd(String name) {
        for (AsciiString header : END_TO_END_HEADERS) {
            if (header.contentEqualsIgnoreCase(name)) {
                return true;
            }
        }
        return false;
    }
}
