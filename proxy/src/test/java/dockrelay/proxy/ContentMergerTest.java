package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Chunks of one byte took a hundred times their length in the heap. */
class ContentMergerTest {
    private static final String HEAD = "POST /save HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final int CHUNK_COUNT = 2_000;

    private final EmbeddedChannel channel =
        new EmbeddedChannel(new HttpRequestDecoder(), new ContentMerger());

    private void read(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    private static String textOf(HttpContent content) {
        String text = content.content().toString(StandardCharsets.US_ASCII);
        content.release();
        return text;
    }

    @Test
    void shortChunksOfOneReadBecomeOneContent() {
        StringBuilder expected = new StringBuilder();
        StringBuilder text = new StringBuilder(HEAD);
        for (int i = 0; i < CHUNK_COUNT; i++) {
            char character = (char) ('a' + i % 26);
            expected.append(character);
            text.append("1\r\n").append(character).append("\r\n");
        }
        read(text.toString());
        assertInstanceOf(HttpRequest.class, channel.readInbound());
        assertEquals(expected.toString(), textOf(channel.readInbound()));
        assertNull(channel.readInbound());
        read("2\r\nxy\r\n0\r\n\r\n");
        assertEquals("xy", textOf(channel.readInbound()));
        LastHttpContent last = assertInstanceOf(LastHttpContent.class, channel.readInbound());
        assertEquals("", textOf(last));
        channel.finishAndReleaseAll();
    }

    @Test
    void longChunkFollowsShortOnesInOrder() {
        String longChunk = "z".repeat(2_000);
        read(HEAD + "1\r\na\r\n1\r\nb\r\n7d0\r\n" + longChunk + "\r\n1\r\nc\r\n");
        assertInstanceOf(HttpRequest.class, channel.readInbound());
        StringBuilder received = new StringBuilder();
        for (HttpContent content = channel.readInbound(); content != null; content = channel.readInbound()) {
            received.append(textOf(content));
        }
        assertEquals("ab" + longChunk + "c", received.toString());
        channel.finishAndReleaseAll();
    }

    @Test
    void removedHandlerHoldsNothing() {
        EmbeddedChannel merging = new EmbeddedChannel(new ContentMerger());
        ByteBuf data = Unpooled.copiedBuffer("a", StandardCharsets.US_ASCII);
        merging.pipeline().fireChannelRead(new DefaultHttpContent(data));
        merging.pipeline().remove(ContentMerger.class);
        assertEquals(0, data.refCnt());
        assertTrue(merging.inboundMessages().isEmpty());
        merging.finishAndReleaseAll();
    }
}
