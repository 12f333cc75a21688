package dockrelay.lab.link;

import dockrelay.lab.plan.RandomStreams;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/**
 * The network between two processes: each reaches the other at an address of the relay's that is reserved
 * for it, and
 * hears it from there, datagrams and streams alike. Datagrams pass from its own address and port; a stream
 * comes from
 * the address with a port of its own.
 */
public final class Relay implements AutoCloseable {
    private final EventLoop loop;
    private final Links links;
    private final LongSupplier clock;
    private final LinkHandler.Timer timer;
    private final Side a, b;
    private final AtomicLong passed = new AtomicLong(), bytes = new AtomicLong();

    /** One of the two: where it really is, and where the other one is for it. */
    private final class Side {
        final String name;
        final InetSocketAddress real;
        Channel datagrams, streams;
        Courier courier;

        Side(String name, InetSocketAddress real, Courier courier) {
            this.name = name;
            this.real = real;
            this.courier = courier;
        }
    }

    /**
     * Party a, really at {@code realA}, reaches b at a port of {@code forA}; likewise the other way round.
     */
    public Relay(String nameA, InetSocketAddress realA, String forA, String nameB, InetSocketAddress realB,
        String forB,
                 EventLoop loop, Links links, LongSupplier clock, LinkHandler.Timer timer, long seed) {
        this.loop = loop;
        this.links = links;
        this.clock = clock;
        this.timer = timer;
        a = new Side(nameA, realA, new Courier(RandomStreams.stream(seed, nameA + " to " + nameB)));
        b = new Side(nameB, realB, new Courier(RandomStreams.stream(seed, nameB + " to " + nameA)));
        listen(a, b, forA);
        listen(b, a, forB);
    }

    private void listen(Side from, Side to, String host) {
        from.datagrams = new Bootstrap().group(loop).channel(NioDatagramChannel.class)
            .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                @Override
                protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
                    if (packet.sender().equals(from.real)) {
                        pass(from, to, packet.content());
                    }
                }

                @Override
                public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
                    // A peer that is down refuses datagrams: that is what it is to look like.
                }
            }).bind(new InetSocketAddress(host, 0)).syncUninterruptibly().channel();
        InetSocketAddress address = (InetSocketAddress) from.datagrams.localAddress();
        from.streams = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true).childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.AUTO_READ, false).childHandler(new ChannelInitializer<>() {
                @Override
                protected void initChannel(Channel channel) {
                    join(channel, from, to);
                }
            }).bind(address).syncUninterruptibly().channel();
    }

    private void pass(Side from, Side to, ByteBuf content) {
        long now = clock.getAsLong();
        Passage passage = links.between(from.name, to.name);
        for (long at : from.courier.datagram(now, passage)) {
            passed.incrementAndGet();
            bytes.addAndGet(content.readableBytes());
            ByteBuf copy = content.retainedDuplicate();
            Runnable send = () -> to.datagrams.writeAndFlush(new DatagramPacket(copy, to.real));
            if (at <= now) {
                send.run();
            } else {
                timer.later(at - now, send);
            }
        }
    }

    /** Carries a stream on to the other one, from the address at which that one knows this one. */
    private void join(Channel near, Side from, Side to) {
        InetSocketAddress source = new InetSocketAddress(
            ((InetSocketAddress) to.datagrams.localAddress()).getAddress(), 0);
        new Bootstrap().group(loop).channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.AUTO_READ, false).handler(new ChannelInboundHandlerAdapter())
            .connect(to.real, source).addListener((ChannelFutureListener) done -> {
                if (!done.isSuccess() || !links.connects(from.name, to.name)) {
                    near.config().setOption(ChannelOption.SO_LINGER, 0);
                    near.close();
                    done.channel().close();
                    return;
                }
                Channel far = done.channel();
                // The network lies on the near half; the far one only passes on.
                far.pipeline().addLast(new Pump(near));
                near.pipeline().addLast(link(from.name, to.name), new Pump(far));
                far.config().setAutoRead(true);
            });
    }

    private LinkHandler link(String there, String here) {
        return new LinkHandler(links, here, there, clock, timer, RandomStreams.stream(passed.get(), there + here));
    }

    /** Where the first reaches the second. */
    public InetSocketAddress peerAddressForA() {
        return (InetSocketAddress) a.datagrams.localAddress();
    }

    public InetSocketAddress peerAddressForB() {
        return (InetSocketAddress) b.datagrams.localAddress();
    }

    /** Datagrams that have passed, in both directions. */
    public long forwardedDatagrams() {
        return passed.get();
    }

    public long forwardedBytes() {
        return bytes.get();
    }

    @Override
    public void close() {
        for (Side side : new Side[] {a, b}) {
            side.datagrams.close();
            side.streams.close();
        }
    }

    private static final class Pump extends ChannelInboundHandlerAdapter {
        private final Channel to;

        Pump(Channel to) {
            this.to = to;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            to.writeAndFlush(message);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            to.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
