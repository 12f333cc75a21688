package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dockrelay.proxy.RequestTimeout.Late;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** On a clock of its own; what ends in a full stop is a whole request here. */
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
                    timeout.arrived();
                }
            }

            @Override
            public void userEventTriggered(ChannelHandlerContext context, Object event) {
                events.add(event);
            }
        });
        channel.pipeline().fireChannelActive();
    }

    private void pass(long millis) {
        channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
    }

    @Test
    void aSilentConnectionIsToldOfOnce() {
        pass(RequestTimeout.MILLIS - 1);
        assertEquals(List.of(), events);
        pass(1);
        pass(RequestTimeout.MILLIS * 9);
        assertEquals(List.of(Late.NOTHING_CAME), events);
    }

    @Test
    void aTrickleOfBytesDoesNotPutTheEndOff() {
        for (int i = 0; i < 3; i++) {
            channel.writeInbound("G");
            pass(RequestTimeout.MILLIS / 3 + 1);
        }
        assertEquals(List.of(Late.NOT_WHOLE), events);
    }

    @Test
    void aBodyMayTakeAsLongAsItLastsAt64KilobytesASecond() {
        channel.writeInbound("head");
        for (int i = 0; i < 100; i++) {
            channel.writeInbound(Unpooled.wrappedBuffer(new byte[6_400]));
            pass(100);
        }
        assertEquals(List.of(), events);
        for (int i = 0; i < RequestTimeout.MILLIS / 100; i++) {
            pass(100);
        }
        assertEquals(List.of(Late.NOT_WHOLE), events);
    }

    /** Where this side does not read, the peer is not to blame. */
    @Test
    void whatIsNotReadIsNotLate() {
        channel.writeInbound("half");
        channel.config().setAutoRead(false);
        pass(RequestTimeout.MILLIS * 9);
        assertEquals(List.of(), events);
        channel.config().setAutoRead(true);
        pass(RequestTimeout.MILLIS);
        assertEquals(List.of(Late.NOT_WHOLE), events);
    }

    @Test
    void aConnectionBetweenRequestsMayRest() {
        channel.writeInbound("whole.");
        pass(RequestTimeout.MILLIS * 9);
        assertEquals(List.of(), events);
        channel.writeInbound("half");
        pass(RequestTimeout.MILLIS - 1);
        channel.writeInbound(" of it.");
        pass(RequestTimeout.MILLIS * 9);
        assertEquals(List.of(), events);
        channel.writeInbound("half");
        pass(RequestTimeout.MILLIS);
        assertEquals(List.of(Late.NOT_WHOLE), events);
    }

    @Test
    void aClosedConnectionIsNotToldOf() {
        channel.close();
        pass(RequestTimeout.MILLIS * 2);
        assertEquals(List.of(), events);
    }
}
