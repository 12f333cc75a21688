package dockrelay.proxy;

import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import java.util.function.IntConsumer;

/**
 * Headers or trailers of a message that is being decoded, with a bound on their number. The decoder bounds
 * the size of a head on the wire only, and a short line takes many times its size in memory.
 */
final class BoundedHeaders extends DefaultHttpHeaders {
    static final int MAX_LINES = 100;
    /** Memory of a message apart from its headers, and of a header in addition to its name and value. */
    private static final int MESSAGE_BYTES = 384, LINE_BYTES = 144;

    /** Receives the number of bytes by which headers are about to grow; it may throw to stop the decoder. */
    private final IntConsumer onGrowth;
    private int lineCount, sizeInBytes;

    private BoundedHeaders(DefaultHttpHeadersFactory validators, IntConsumer onGrowth) {
        super(validators.getNameValidator(), validators.getValueValidator());
        this.onGrowth = onGrowth;
    }

    /** The configuration of a decoder whose messages have bounded headers and trailers. */
    static HttpDecoderConfig decoderConfig() {
        return decoderConfig(bytes -> { });
    }

    /** The same configuration, with a callback that receives by how many bytes they grow. */
    static HttpDecoderConfig decoderConfig(IntConsumer onGrowth) {
        return new HttpDecoderConfig()
            .setHeadersFactory(factory(DefaultHttpHeadersFactory.headersFactory(), onGrowth))
            .setTrailersFactory(factory(DefaultHttpHeadersFactory.trailersFactory(), onGrowth));
    }

    private static HttpHeadersFactory factory(DefaultHttpHeadersFactory validators, IntConsumer onGrowth) {
        return new HttpHeadersFactory() {
            @Override
            public HttpHeaders newHeaders() {
                return new BoundedHeaders(validators, onGrowth);
            }

            @Override
            public HttpHeaders newEmptyHeaders() {
                return newHeaders();
            }
        };
    }

    /** The estimated memory of an object's headers or trailers, as reported while it was decoded. */
    static int sizeInBytes(HttpObject httpObject) {
        HttpHeaders headers = httpObject instanceof HttpMessage message ? message.headers()
            : httpObject instanceof LastHttpContent last ? last.trailingHeaders() : null;
        return headers instanceof BoundedHeaders bounded ? bounded.sizeInBytes : 0;
    }

    /** Counts the target of a request with its headers; marks the request as failed if it doesn't fit. */
    static void countTarget(HttpRequest request) {
        if (request.headers() instanceof BoundedHeaders bounded) {
            int bytes = request.uri().length();
            try {
                bounded.onGrowth.accept(bytes);
                bounded.sizeInBytes += bytes;
            } catch (HeadMemoryExhaustedException e) {
                request.setDecoderResult(DecoderResult.failure(e));
            }
        }
    }

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        if (lineCount == MAX_LINES) {
            throw new TooLongHttpHeaderException("more than " + MAX_LINES + " header lines");
        }
        int valueLength = value instanceof CharSequence text ? text.length() : value.toString().length();
        int bytes = (lineCount == 0 ? MESSAGE_BYTES : 0) + LINE_BYTES + name.length() + valueLength;
        onGrowth.accept(bytes);
        sizeInBytes += bytes;
        lineCount++;
        return super.add(name, value);
    }
}
