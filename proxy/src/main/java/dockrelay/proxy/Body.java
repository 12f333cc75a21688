package dockrelay.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A body that is passed on as it comes, between the connection it comes from and the one it goes to. Its
 * first bytes are kept until more than these went out: so far another sink can have it all. Nothing else is
 * kept: a sink that cannot take more stops the source. All on the event loop's thread.
 */
final class Body {
    /** The connection it comes from. */
    interface Source {
        /** Whether more is wanted now. */
        void flow(boolean on);

        /** Nobody wants the rest any more. */
        void dropped();
    }

    /** The connection it goes to. */
    interface Sink {
        /** The next part, the sink's to release; the last one is a {@link LastHttpContent}. */
        void part(HttpContent part);

        /** There will be no more, though the body is not whole. */
        void broken();
    }

    private final Source source;
    private final Deque<HttpContent> kept = new ArrayDeque<>();
    private final int most;
    private int bytes;
    private long parts;
    private boolean whole, broken, lost;
    private Sink sink;

    /** Keeps so many bytes, and one part more, until there is a sink. */
    Body(Source source, int most) {
        this.source = source;
        this.most = most;
    }

    /** Adds a part to what there is of a message, which may be nothing yet; copied, as parts may be tiny. */
    static ByteBuf gather(ByteBuf before, HttpContent part, ByteBufAllocator buffers) {
        ByteBuf bytes = part.content();
        ByteBuf all = before == null && bytes.isReadable() ? buffers.buffer(bytes.readableBytes()) : before;
        if (bytes.isReadable()) {
            all.writeBytes(bytes);
        }
        part.release();
        return all;
    }

    /** The next part as it comes from the source; this body's to release. */
    void add(HttpContent part) {
        if (whole || broken) {
            part.release();
            return;
        }
        HttpContent next = part;
        if (part instanceof LastHttpContent last) {
            whole = true;
            if (!last.trailingHeaders().isEmpty()) {
                next = new DefaultLastHttpContent(last.content()); // trailers hold for one connection only
            }
        }
        if (sink == null && !lost) {
            kept.add(next);
            bytes += next.content().readableBytes();
            if (bytes >= most) {
                source.flow(false);
            }
        } else {
            forget();
            lost = true;
            pass(next);
        }
    }

    private void pass(HttpContent part) {
        if (sink == null) {
            part.release();
        } else {
            parts++;
            sink.part(part);
        }
    }

    /** Breaks it off from the source's side. */
    void fail() {
        if (!whole && !broken) {
            broken = true;
            forget();
            if (sink != null) {
                sink.broken();
            }
        }
    }

    /** Sends it to this sink, from its start; only if it is all there still. */
    void to(Sink taker) {
        sink = taker;
        for (HttpContent part : kept.toArray(new HttpContent[0])) {
            if (sink == taker) { // a sink may end at any part
                pass(part.retainedDuplicate());
            }
        }
        flow(true);
    }

    /** This sink takes no more of it; another one may have it while it is all there. */
    void leave(Sink taker) {
        if (sink == taker) {
            sink = null;
        }
    }

    /** Nobody takes it any more. */
    void drop() {
        forget();
        lost = true;
        sink = null;
        source.dropped();
    }

    /** Whether the sink has room for more now. */
    void flow(boolean on) {
        if (!whole && !broken) {
            source.flow(on);
        }
    }

    /** Whether it has come to its end. */
    boolean isWhole() {
        return whole;
    }

    /** Whether all of it can still be sent: nothing went out but what is kept. */
    boolean isReplayable() {
        return !lost && !broken;
    }

    /** How many parts went on so far: it moves while this does. */
    long passed() {
        return parts;
    }

    private void forget() {
        kept.forEach(ReferenceCountUtil::release);
        kept.clear();
        bytes = 0;
    }

    /** Gives back what is kept. */
    void release() {
        forget();
        lost = true;
    }
}
