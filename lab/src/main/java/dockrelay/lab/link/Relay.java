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
 * Emulates the network between two peer processes, for datagrams and streams. Each peer reaches the other at
 * a relay address reserved for it and sees the other's traffic come from there: datagrams from the same
 * address and port, streams from the same address and an ephemeral port. All sockets run on one event loop.
 */
public final class Relay implements AutoCloseable {
    private final EventLoop loop;
    private final LinkTable links;
    private final LongSupplier clock;
    private final LinkHandler.Timer timer;
    private final RelayedPeer peerA, peerB;
    private final AtomicLong forwardedDatagrams = new AtomicLong(), forwardedBytes = new AtomicLong();

    /** One peer: its real address, and the sockets at which it reaches the other peer. */
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
     * Starts relaying. Peer a, listening at {@code realAddressA}, reaches peer b at a free port of the host
     * {@code hostForA}; likewise peer b. Must not be called on the event loop.
     */
    public Relay(String nameA, InetSocketAddress realAddressA, String hostForA, String nameB,
        InetSocketAddress realAddressB, String hostForB, EventLoop loop, LinkTable links,
        LongSupplier clock, LinkHandler.Timer timer, long seed) {
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

    /** Opens the sockets at which one peer reaches the other: datagrams and streams on the same port. */
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
                    // A peer that is down answers with ICMP port unreachable: expected, so ignored.
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

    /** Forwards a datagram with the link's delay, loss and duplication, from the address of its sender. */
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

    /**
     * Connects an accepted stream to the other peer, from the address at which that peer reaches this one.
     */
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
                // The accepted connection emulates the network; the outgoing one only forwards.
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

    /** Returns the address at which peer a reaches peer b. */
    public InetSocketAddress peerAddressForA() {
        return (InetSocketAddress) peerA.datagramChannel.localAddress();
    }

    /** Returns the address at which peer b reaches peer a. */
    public InetSocketAddress peerAddressForB() {
        return (InetSocketAddress) peerB.datagramChannel.localAddress();
    }

    /** Returns how many datagrams were forwarded, in both directions together. */
    public long forwardedDatagrams() {
        return forwardedDatagrams.get();
    }

    /** Returns how many datagram payload bytes were forwarded, in both directions together. */
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

    /** Forwards what one connection receives to another, and closes that one with it. */
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
