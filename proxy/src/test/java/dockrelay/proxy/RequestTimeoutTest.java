package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dockrelay.proxy.RequestTimeout.TimeoutEvent;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Runs on a simulated clock. A message that ends in a full stop counts as the end of a request here. */
class RequestTimeoutTest {
    private final List<Object> events = new ArrayList<>();
    private final RequestTimeout timeout = new RequestTimeout();
    private EmbeddedChannel channel;

    @BeforeEach
    void connect() {
        channel = new EmbeddedChannel();
        channel.freezeTime();
        channel.pipeline().addLast(timeout, new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext context, Object bytes) {
                if (bytes.toString().endsWith(".")) {
                    timeout.requestReceived();
                }
            }

            @Override
            public void userEventTriggered(ChannelHandlerContext context, Object event) {
                events.add(event);
            }
        });
        channel.pipeline().fireChannelActive();
    }

    private void advanceTime(long millis) {
        channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
    }

    @Test
    void silentConnectionFiresOneEvent() {
        advanceTime(RequestTimeout.HEAD_TIMEOUT_MILLIS - 1);
        assertEquals(List.of(), events);
        advanceTime(1);
        advanceTime(RequestTimeout.HEAD_TIMEOUT_MILLIS * 9);
        assertEquals(List.of(TimeoutEvent.NO_DATA), events);
    }

    @Test
    void slowBytesDoNotExtendTimeout() {
        for (int i = 0; i < 3; i++) {
            channel.writeInbound("G");
            advanceTime(RequestTimeout.HEAD_TIMEOUT_MILLIS / 3 + 1);
        }
        assertEquals(List.of(TimeoutEvent.INCOMPLETE_REQUEST), events);
    }

    @Test
    void bodyAtMinimumRateExtendsTimeout() {
        channel.writeInbound("head");
        for (int i = 0; i < 100; i++) {
            channel.writeInbound(Unpooled.wrappedBuffer(new byte[6_400]));
            advanceTime(100);
        }
        assertEquals(List.of(), events);
        for (int i = 0; i < RequestTimeout.HEAD_TIMEOUT_MILLIS / 100; i++) {
            advanceTime(100);
        }
        assertEquals(List.of(TimeoutEvent.INCOMPLETE_REQUEST), events);
    }

    /** While the proxy has paused reading, the client is not late. */
    @Test
    void pausedReadingExtendsTimeout() {
        channel.writeInbound("half");
        channel.config().setAutoRead(false);
        advanceTime(RequestTimeout.HEAD_TIMEOUT_MILLIS * 9);
        assertEquals(List.of(), events);
        channel.config().setAutoRead(true);
        advanceTime(RequestTimeout.HEAD_TIMEOUT_MILLIS);
        assertEquals(List.of(TimeoutEvent.INCOMPLETE_REQUEST), events);
    }

    @Test
    void idleConnectionBetweenRequestsFiresNoEvent() {
        channel.writeInbound("whole.");
        advanceTime(RequestTimeout.HEAD_TIMEOUT_MILLIS * 9);
        assertEquals(List.of(), events);
        channel.writeInbound("half");
        advanceTime(RequestTimeout.HEAD_TIMEOUT_MILLIS - 1);
        channel.writeInbound(" of it.");
        advanceTime(RequestTimeout.HEAD_TIMEOUT_MILLIS * 9);
        assertEquals(List.of(), events);
        channel.writeInbound("half");
        advanceTime(RequestTimeout.HEAD_TIMEOUT_MILLIS);
        assertEquals(List.of(TimeoutEvent.INCOMPLETE_REQUEST), events);
    }

    @Test
    void closedConnectionFiresNoEvent() {
        channel.close();
        advanceTime(RequestTimeout.HEAD_TIMEOUT_MILLIS * 2);
        assertEquals(List.of(), events);
    }
}
