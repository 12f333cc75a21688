package dockrelay.proxy;

import dockrelay.Balancer.Idempotency;
import dockrelay.Balancer.Request;
import dockrelay.Balancer.ServiceClass;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/** Validates the heads of clients' requests and translates them for the decision module. */
final class RequestParser {
    /** Bound on the body of a request. */
    static final long MAX_BODY_BYTES = 32 << 20;
    private static final int MAX_REQUEST_ID_LENGTH = 128;
    private static final Pattern SECONDS_PATTERN = Pattern.compile("\\d{1,4}(\\.\\d{0,9})?|\\.\\d{1,9}");
    private static final Pattern MICROS_PATTERN = Pattern.compile("\\d{1,12}(\\.\\d{0,9})?");
    private static final double MICROS_PER_SECOND = 1_000_000;
    private static final String ABSOLUTE_FORM_PREFIX = "http://";

    private final Map<String, ServiceClass> serviceClasses = new HashMap<>();

    RequestParser(Iterable<ServiceClass> serviceClasses) {
        for (ServiceClass serviceClass : serviceClasses) {
            this.serviceClasses.put(serviceClass.name(), serviceClass);
        }
    }

    /** Whether a request asks for the readiness of the proxy, which answers it itself. */
    static boolean isHealthCheck(HttpRequest message) {
        return "/healthz".equals(path(message));
    }

    /** Validates a request by its head alone; returns the error status, or null if it is valid. */
    HttpResponseStatus validateHead(HttpRequest message) {
        if (message.decoderResult().isFailure()) {
            return statusForDecodingError(message.decoderResult().cause());
        }
        HttpVersion version = message.protocolVersion();
        if (!version.equals(HttpVersion.HTTP_1_1) && !version.equals(HttpVersion.HTTP_1_0)) {
            return HttpResponseStatus.HTTP_VERSION_NOT_SUPPORTED;
        }
        HttpHeaders headers = message.headers();
        List<String> transferCodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (!transferCodings.isEmpty() && (transferCodings.size() > 1
            || !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(transferCodings.get(0).trim()))) {
            return HttpResponseStatus.BAD_REQUEST; // the end of the body would be ambiguous
        }
        String expectation = headers.get(HttpHeaderNames.EXPECT);
        if (expectation != null && !HttpHeaderValues.CONTINUE.contentEqualsIgnoreCase(expectation)) {
            return HttpResponseStatus.EXPECTATION_FAILED;
        }
        if (HttpUtil.getContentLength(message, 0L) > MAX_BODY_BYTES) {
            return HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE;
        }
        message.setUri(originForm(message.uri()));
        if (isHealthCheck(message)) {
            return null;
        }
        String path = path(message);
        int segmentEnd = path.indexOf('/', 1);
        String className = path.isEmpty() ? ""
            : path.substring(1, segmentEnd < 0 ? path.length() : segmentEnd);
        ServiceClass serviceClass = serviceClasses.get(className);
        if (serviceClass == null || path.charAt(0) != '/') {
            return HttpResponseStatus.NOT_FOUND;
        }
        boolean hasIdempotencyKey = headers.contains(Headers.IDEMPOTENCY_KEY);
        boolean idempotent = serviceClass.idempotency() == Idempotency.IDEMPOTENT;
        if (!message.method().equals(idempotent ? HttpMethod.GET : HttpMethod.POST)) {
            return HttpResponseStatus.METHOD_NOT_ALLOWED;
        }
        String requestId = headers.get(Headers.REQUEST_ID);
        String timeoutText = headers.get(Headers.TIMEOUT);
        String costText = headers.get(Headers.COST);
        boolean hasHost = version.equals(HttpVersion.HTTP_1_0) || headers.contains(HttpHeaderNames.HOST);
        if (!hasHost || Headers.hasDuplicates(headers)
            || Headers.connectionNamesEndToEndHeader(headers)) {
            return HttpResponseStatus.BAD_REQUEST;
        }
        if (!className.equals(headers.get(Headers.SERVICE_CLASS))
            || requestId == null || requestId.isEmpty() || requestId.length() > MAX_REQUEST_ID_LENGTH
            || timeoutText == null || !SECONDS_PATTERN.matcher(timeoutText).matches()
            || costText != null && !MICROS_PATTERN.matcher(costText).matches()
            || serviceClass.idempotency() == Idempotency.DEDUPLICATED && !hasIdempotencyKey) {
            return HttpResponseStatus.BAD_REQUEST;
        }
        return null;
    }

    private static String path(HttpRequest message) {
        int queryStart = message.uri().indexOf('?');
        return queryStart < 0 ? message.uri() : message.uri().substring(0, queryStart);
    }

    /**
     * Converts an absolute-form request target, which must be accepted (RFC 9112, 3.2.2), to origin form.
     */
    private static String originForm(String uri) {
        if (!uri.regionMatches(true, 0, ABSOLUTE_FORM_PREFIX, 0, ABSOLUTE_FORM_PREFIX.length())) {
            return uri;
        }
        for (int i = ABSOLUTE_FORM_PREFIX.length(); i < uri.length(); i++) {
            if (uri.charAt(i) == '/' || uri.charAt(i) == '?') {
                return (uri.charAt(i) == '?' ? "/" : "") + uri.substring(i);
            }
        }
        return "/";
    }

    /** The status of the response to a request that could not be decoded. */
    static HttpResponseStatus statusForDecodingError(Throwable cause) {
        if (cause instanceof HeadMemoryExhaustedException) {
            return HttpResponseStatus.SERVICE_UNAVAILABLE;
        } else if (cause instanceof TooLongHttpLineException) {
            return HttpResponseStatus.REQUEST_URI_TOO_LONG;
        } else if (cause instanceof TooLongHttpHeaderException) {
            return HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
        }
        return HttpResponseStatus.BAD_REQUEST;
    }

    /** How long the client of a valid request waits for its response, in microseconds. */
    static long timeoutMicros(HttpRequest message) {
        return (long) (Double.parseDouble(message.headers().get(Headers.TIMEOUT)) * MICROS_PER_SECOND);
    }

    /** Translates a valid request; the time budget is in microseconds. */
    static Request toRequest(HttpRequest message, long timeBudgetMicros, boolean streamed) {
        HttpHeaders headers = message.headers();
        String path = path(message);
        int segmentEnd = path.indexOf('/', 1);
        String costText = headers.get(Headers.COST);
        return new Request(headers.get(Headers.REQUEST_ID), headers.get(Headers.SERVICE_CLASS),
            headers.get(Headers.TENANT),
            segmentEnd < 0 ? null : path.substring(path.lastIndexOf('/') + 1),
            timeBudgetMicros, costText == null ? 0 : (long) Double.parseDouble(costText),
            "1".equals(headers.get(Headers.RETRIED)), streamed);
    }
}
