package dockrelay.proxy;

import dockrelay.fleet.budget.BudgetNode;
import dockrelay.fleet.group.GroupedMembership;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/**
 * The datagram socket between the proxies, if the settings permit peers. Delivery is best effort,
 * without retransmission. Messages of the balancer are text; those of the membership and budget
 * protocols start with a byte that is not valid in text.
 */
final class PeerTransport {
    private static final int LONGEST = 256;
    /**
     * Receive limit per window; the kernel drops the datagrams beyond it once the socket buffer is
     * full.
     */
    private static final long WINDOW_MILLIS = 50;
    private static final int MOST = 100, MOST_EACH = 10;

    /** Receives datagrams of the membership and budget protocols. */
    interface Receiver {
        /**
         * Takes a datagram; the name is the one configured for its source address, null if there is
         * none.
         */
        void receive(String from, ByteBuf content);
    }

    private final EventLoop loop;
    private final RequestTable table;
    private final Receiver members;
    private volatile Config config;
    private volatile Channel channel;
    private int read;
    private boolean closed;

    /**
     * Creates the transport without opening the socket. The receiver may be null: only balancer
     * messages are handled.
     */
    PeerTransport(EventLoop loop, Config config, RequestTable table, Receiver members) {
        this.loop = loop;
        this.config = config;
        this.table = table;
        this.members = members;
    }

    PeerTransport(EventLoop loop, Config config, RequestTable table) {
        this(loop, config, table, null);
        channel = bootstrap().bind(config.peerListenAddress()).syncUninterruptibly().channel();
    }

    private Bootstrap bootstrap() {
        return new Bootstrap().group(loop).channel(NioDatagramChannel.class)
            .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                @Override
                public void channelActive(ChannelHandlerContext context) {
                    if (members != null) {
                        openWindow(context.channel());
                    }
                }

                @Override
                protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
                    taken(context, packet);
                }

                @Override
                public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
                    Log.error("peers", cause);
                }
            });
    }

    /**
     * Binds the socket and retries while the address is in use, as by the old process during an
     * upgrade.
     */
    void open(long retryMillis, Runnable opened) {
        bootstrap().bind(config.peerListenAddress()).addListener((ChannelFutureListener) done -> {
            if (done.isSuccess() && !closed) {
                channel = done.channel();
                opened.run();
            } else if (!closed) {
                Log.write("peers", "cannot bind " + config.peerListenAddress() + " yet, retrying: " + done.cause());
                loop.schedule(() -> open(retryMillis, opened), retryMillis, TimeUnit.MILLISECONDS);
            } else {
                done.channel().close();
            }
        });
    }

    /** Starts a new receive window. The limit keeps a flood of datagrams from delaying requests. */
    private void openWindow(Channel here) {
        read = 0;
        here.config().setAutoRead(true);
        if (here.isOpen()) {
            loop.schedule(() -> openWindow(here), WINDOW_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void taken(ChannelHandlerContext context, DatagramPacket packet) {
        int from = config.peers().at(packet.sender()); // peers are identified by their source address only
        ByteBuf content = packet.content();
        if (members != null && ++read >= MOST + MOST_EACH * config.groupMemberNames().size()) {
            context.channel().config().setAutoRead(false);
        }
        if (members != null && content.isReadable()
            && (from < 0 || GroupedMembership.isMembershipDatagram(content.getByte(content.readerIndex()))
            || BudgetNode.isBudgetDatagram(content.getByte(content.readerIndex())))) {
            members.receive(config.peers().name(from), content);
        } else if (from >= 0 && toldToAll()) {
            String message = content.toString(StandardCharsets.UTF_8);
            table.eventLoop().execute(() -> table.deliverPeerMessage(from, message));
        }
    }

    /**
     * Whether balancer messages are exchanged. The balancer reports the demand of each tenant to every
     * other proxy, so the traffic grows with the number of tenants and of proxies. Fleets of several
     * groups therefore go without.
     */
    private boolean toldToAll() {
        return config.peerGroups() == null || config.peerGroups().grouping().isSingleGroup();
    }

    /** Applies a new list of peers. */
    void configure(Config next) {
        config = next;
    }

    /**
     * Sends to the peer of this name; the datagram is dropped if the socket is not open or the name is
     * unknown.
     */
    void send(String to, ByteBuf content) {
        Channel here = channel;
        InetSocketAddress address = config.peers().address(to);
        if (here == null || address == null) {
            content.release();
        } else {
            here.writeAndFlush(new DatagramPacket(content, address), here.voidPromise());
        }
    }

    /**
     * Sends a balancer message to every other proxy of a single-group fleet; messages that are too long
     * are dropped.
     */
    void broadcast(String message) {
        if (!toldToAll()) {
            return;
        }
        ByteBuf bytes = Unpooled.copiedBuffer(message, StandardCharsets.UTF_8);
        Channel here = channel;
        if (here == null) {
            return;
        } else if (bytes.readableBytes() > LONGEST) {
            Log.write("peers", "dropped a message of " + bytes.readableBytes() + " bytes: it is too long");
        } else if (config.peerBroadcastAddress() != null) {
            here.writeAndFlush(new DatagramPacket(bytes, config.peerBroadcastAddress()));
        } else {
            for (int i = 0; i < config.peers().size(); i++) {
                if (i != config.settings().me()) {
                    here.write(new DatagramPacket(bytes.retainedDuplicate(), config.peers().address(i)));
                }
            }
            here.flush();
        }
    }

    /** Closes the socket, so that the next process can bind its address. */
    void close() {
        closed = true;
        Channel here = channel;
        if (here != null) {
            here.close();
        }
    }
}
