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
    private final LinkTable links;
    private final LongSupplier clock;
    private final LinkHandler.Timer timer;
    private final RelayedPeer peerA, peerB;
    private final AtomicLong forwardedDatagrams = new AtomicLong(), forwardedBytes = new AtomicLong();

    /** One of the two: where it really is, and where the other one is for it. */
    private final class RelayedPeer {
        final String name;
        final InetSocketAddress realAddress;
        Channel datagramChannel, streamListener;
        LinkDelayModel delayModel;

        RelayedPeer(String name, InetSocketAddress realAddress, LinkDelayModel delayModel) {
            this.name = name;
            this.realAddress = realAddress;
            this.delayModel = delayModel;
        }
    }

    /**
     * Party a, really at {@code realA}, reaches b at a port of {@code forA}; likewise the other way round.
     */
    public Relay(String nameA, InetSocketAddress realAddressA, String hostForA, String nameB,
        InetSocketAddress realAddressB,
        String hostForB,
                 EventLoop loop, LinkTable links, LongSupplier clock, LinkHandler.Timer timer, long seed) {
        this.loop = loop;
        this.links = links;
        this.clock = clock;
        this.timer = timer;
        peerA = new RelayedPeer(nameA, realAddressA,
            new LinkDelayModel(RandomStreams.stream(seed, nameA + " to " + nameB)));
        peerB = new RelayedPeer(nameB, realAddressB,
            new LinkDelayModel(RandomStreams.stream(seed, nameB + " to " + nameA)));
        listen(peerA, peerB, hostForA);
        listen(peerB, peerA, hostForB);
    }

    private void listen(RelayedPeer from, RelayedPeer to, String host) {
        from.datagramChannel = new Bootstrap().group(loop).channel(NioDatagramChannel.class)
            .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                @Override
                protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
                    if (packet.sender().equals(from.realAddress)) {
                        forwardDatagram(from, to, packet.content());
                    }
                }

                @Override
                public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
                    // A peer that is down refuses datagrams: that is what it is to look like.
                }
            }).bind(new InetSocketAddress(host, 0)).syncUninterruptibly().channel();
        InetSocketAddress address = (InetSocketAddress) from.datagramChannel.localAddress();
        from.streamListener = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true).childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.AUTO_READ, false).childHandler(new ChannelInitializer<>() {
                @Override
                protected void initChannel(Channel channel) {
                    connectStream(channel, from, to);
                }
            }).bind(address).syncUninterruptibly().channel();
    }

    private void forwardDatagram(RelayedPeer from, RelayedPeer to, ByteBuf content) {
        long now = clock.getAsLong();
        Passage conditions = links.conditionsBetween(from.name, to.name);
        for (long arrival : from.delayModel.datagramArrivals(now, conditions)) {
            forwardedDatagrams.incrementAndGet();
            forwardedBytes.addAndGet(content.readableBytes());
            ByteBuf copy = content.retainedDuplicate();
            Runnable send = () -> to.datagramChannel.writeAndFlush(new DatagramPacket(copy, to.realAddress));
            if (arrival <= now) {
                send.run();
            } else {
                timer.schedule(arrival - now, send);
            }
        }
    }

    /** Carries a stream on to the other one, from the address at which that one knows this one. */
    private void connectStream(Channel accepted, RelayedPeer from, RelayedPeer to) {
        InetSocketAddress source = new InetSocketAddress(
            ((InetSocketAddress) to.datagramChannel.localAddress()).getAddress(), 0);
        new Bootstrap().group(loop).channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.AUTO_READ, false).handler(new ChannelInboundHandlerAdapter())
            .connect(to.realAddress, source).addListener((ChannelFutureListener) connectFuture -> {
                if (!connectFuture.isSuccess() || !links.canConnect(from.name, to.name)) {
                    accepted.config().setOption(ChannelOption.SO_LINGER, 0);
                    accepted.close();
                    connectFuture.channel().close();
                    return;
                }
                Channel outgoing = connectFuture.channel();
                // The network lies on the near half; the far one only passes on.
                outgoing.pipeline().addLast(new StreamForwarder(accepted));
                accepted.pipeline().addLast(newLinkHandler(from.name, to.name),
                    new StreamForwarder(outgoing));
                outgoing.config().setAutoRead(true);
            });
    }

    private LinkHandler newLinkHandler(String remoteEndpoint, String localEndpoint) {
        return new LinkHandler(links, localEndpoint, remoteEndpoint, clock, timer,
            RandomStreams.stream(forwardedDatagrams.get(), remoteEndpoint + localEndpoint));
    }

    /** Where the first reaches the second. */
    public InetSocketAddress peerAddressForA() {
        return (InetSocketAddress) peerA.datagramChannel.localAddress();
    }

    public InetSocketAddress peerAddressForB() {
        return (InetSocketAddress) peerB.datagramChannel.localAddress();
    }

    /** Datagrams that have passed, in both directions. */
    public long forwardedDatagrams() {
        return forwardedDatagrams.get();
    }

    public long forwardedBytes() {
        return forwardedBytes.get();
    }

    @Override
    public void close() {
        for (RelayedPeer peer : new RelayedPeer[] {peerA, peerB}) {
            peer.datagramChannel.close();
            peer.streamListener.close();
        }
    }

    private static final class StreamForwarder extends ChannelInboundHandlerAdapter {
        private final Channel destination;

        StreamForwarder(Channel destination) {
            this.destination = destination;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            destination.writeAndFlush(message);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            destination.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
