package dockrelay.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import java.util.List;

/**
 * Decodes responses whose length is unambiguous (RFC 9112, 6.3) and marks all others as failed. A body
 * delimited by the end of the connection may have been truncated unless the head announces the close, and a
 * body that is followed by further bytes does not have its declared length.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    private boolean informational;

    ResponseDecoder() {
        this(BoundedHeaders.decoderConfig());
    }

    /** A decoder whose messages have bounded headers. */
    ResponseDecoder(HttpDecoderConfig config) {
        super(config);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        int firstNew = out.size();
        super.decode(context, in, out);
        for (int i = firstNew; i < out.size(); i++) {
            if (out.get(i) instanceof HttpResponse head) {
                informational = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
                String framingError = head.decoderResult().isSuccess() ? findFramingError(head) : null;
                if (framingError != null) {
                    head.setDecoderResult(failure(framingError));
                }
            }
            if (out.get(i) instanceof LastHttpContent last && last.decoderResult().isSuccess()
                && !informational && in.isReadable()) {
                LastHttpContent failed = new DefaultLastHttpContent(last.content());
                failed.setDecoderResult(failure("bytes after the end of the response"));
                out.set(i, failed);
            }
        }
    }

    /** Rejects a line without a colon, which Netty takes for a header without a value. */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        int end = start + length;
        while (end < line.length && (line[end] == ' ' || line[end] == '\t')) {
            end++; // RFC 9112, 5.1: a proxy removes such whitespace from a response
        }
        if (length == 0 || end == line.length || line[end] != ':') {
            throw new IllegalArgumentException("header line without a name or colon");
        }
        return super.splitHeaderName(line, start, length);
    }

    private static DecoderResult failure(String reason) {
        return DecoderResult.failure(new IllegalArgumentException(reason));
    }

    /** Explains why the framing of a response is ambiguous, judged by its head; null if it is not. */
    private static String findFramingError(HttpResponse head) {
        if (head.status().code() == 101) {
            return "unsolicited protocol switch";
        } else if (head.protocolVersion().majorVersion() != HttpVersion.HTTP_1_1.majorVersion()) {
            return "unsupported version " + head.protocolVersion();
        }
        List<String> transferCodings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (transferCodings.isEmpty()) {
            boolean bodiless = head.status().codeClass() == HttpStatusClass.INFORMATIONAL
                || head.status().code() == 204 || head.status().code() == 304;
            // If the head announces the close, the end of the connection ends the body and only a reset
            // truncates it.
            boolean untilClose = !HttpUtil.isKeepAlive(head);
            return bodiless || untilClose || HttpUtil.isContentLengthSet(head) ? null : "unknown body length";
        }
        boolean onlyChunked = transferCodings.size() == 1
            && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(transferCodings.get(0));
        return onlyChunked ? null : "unsupported transfer coding " + transferCodings;
    }
}
