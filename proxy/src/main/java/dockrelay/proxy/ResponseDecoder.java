package dockrelay.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultLastHttpContent;
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
 * Reads answers whose end is beyond doubt (RFC 9112, 6.3), and marks all others as failed: a body that lasts
 * until the connection ends, without a word of that in its head, may have been cut short, and one with more
 * behind it is not as long as was said.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    private boolean informational;

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
                && !informational
                && in.isReadable()) {
                LastHttpContent failed = new DefaultLastHttpContent(last.content());
                failed.setDecoderResult(failure("bytes after the end"));
                out.set(i, failed);
            }
        }
    }

    /** Guards against a line without a colon, which the library takes for a header without a value. */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        int end = start + length;
        while (end < line.length && (line[end] == ' ' || line[end] == '\t')) {
            end++; // RFC 9112, 5.1: in an answer such whitespace is taken out
        }
        if (length == 0 || end == line.length || line[end] != ':') {
            throw new IllegalArgumentException("no header line");
        }
        return super.splitHeaderName(line, start, length);
    }

    private static DecoderResult failure(String reason) {
        return DecoderResult.failure(new IllegalArgumentException(reason));
    }

    /** What is doubtful about an answer by its head alone; null where nothing is. */
    private static String findFramingError(HttpResponse head) {
        if (head.status().code() == 101) {
            return "a switch of protocols that nobody asked for";
        } else if (head.protocolVersion().majorVersion() != HttpVersion.HTTP_1_1.majorVersion()) {
            return "version " + head.protocolVersion();
        }
        List<String> transferCodings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (transferCodings.isEmpty()) {
            boolean bodiless = head.status().codeClass() == HttpStatusClass.INFORMATIONAL
                || head.status().code() == 204 || head.status().code() == 304;
            // Where the end of the connection is said to be that of the body, only a reset cuts it short.
            boolean untilClose = !HttpUtil.isKeepAlive(head);
            return bodiless || untilClose || HttpUtil.isContentLengthSet(head) ? null : "no length";
        }
        boolean onlyChunked = transferCodings.size() == 1
            && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(transferCodings.get(0));
        return onlyChunked ? null : "transfer coding " + transferCodings;
    }
}
