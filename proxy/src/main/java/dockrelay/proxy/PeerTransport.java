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
 * Datagrams between the proxies, where the settings allow them. They may be lost; nobody waits for one. The
 * module's messages are text, the members' begin with a byte that no text has.
 */
final class PeerTransport {
    private static final int LONGEST = 256;
    /** So many datagrams are read in so long; what is beyond is the system's to drop. */
    private static final long WINDOW_MILLIS = 50;
    private static final int MOST = 100, MOST_EACH = 10;

    /** Takes what a peer sent, by the name that its address has here; null where it has none. */
    interface Receiver {
        void receive(String from, ByteBuf content);
    }

    private final EventLoop loop;
    private final RequestTable table;
    private final Receiver members;
    private volatile Config config;
    private volatile Channel channel;
    private int read;
    private boolean closed;

    /** Without a receiver of members' datagrams there are the module's messages only. */
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

    /** Opens the socket as soon as nobody else has it: in an upgrade the process before may. */
    void open(long retryMillis, Runnable opened) {
        bootstrap().bind(config.peerListenAddress()).addListener((ChannelFutureListener) done -> {
            if (done.isSuccess() && !closed) {
                channel = done.channel();
                opened.run();
            } else if (!closed) {
                Log.write("peers", "cannot listen at " + config.peerListenAddress() + " yet: " + done.cause());
                loop.schedule(() -> open(retryMillis, opened), retryMillis, TimeUnit.MILLISECONDS);
            } else {
                done.channel().close();
            }
        });
    }

    /** Guards against a flood that costs requests their time. */
    private void openWindow(Channel here) {
        read = 0;
        here.config().setAutoRead(true);
        if (here.isOpen()) {
            loop.schedule(() -> openWindow(here), WINDOW_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void taken(ChannelHandlerContext context, DatagramPacket packet) {
        int from = config.peers().at(packet.sender()); // the address is all that tells who it is
        ByteBuf content = packet.content();
        if (members != null && ++read >= MOST + MOST_EACH * config.groupMemberNames().size()) {
            context.channel().config().setAutoRead(false);
        }
        if (members != null && content.isReadable()
            && (from < 0 || GroupedMembership.isMembershipDatagram(content.getByte(content.readerIndex()))
            || BudgetNode.ours(content.getByte(content.readerIndex())))) {
            members.receive(config.peers().name(from), content);
        } else if (from >= 0 && toldToAll()) {
            String message = content.toString(StandardCharsets.UTF_8);
            table.eventLoop().execute(() -> table.deliverPeerMessage(from, message));
        }
    }

    /**
     * The module tells each other proxy what each tenant asks of it, and hears as much: that is not for a
     * fleet of more than one group, where the bytes would grow with tenants and with proxies.
     */
    private boolean toldToAll() {
        return config.peerGroups() == null || config.peerGroups().grouping().isSingleGroup();
    }

    /** Goes by another list of peers. */
    void configure(Config next) {
        config = next;
    }

    /** Sends to one of them; what cannot be sent is lost. */
    void send(String to, ByteBuf content) {
        Channel here = channel;
        InetSocketAddress address = config.peers().address(to);
        if (here == null || address == null) {
            content.release();
        } else {
            here.writeAndFlush(new DatagramPacket(content, address), here.voidPromise());
        }
    }

    /** Tells every other proxy, in a fleet of one group: a longer message than may be sent is left out. */
    void broadcast(String message) {
        if (!toldToAll()) {
            return;
        }
        ByteBuf bytes = Unpooled.copiedBuffer(message, StandardCharsets.UTF_8);
        Channel here = channel;
        if (here == null) {
            return;
        } else if (bytes.readableBytes() > LONGEST) {
            Log.write("peers", "a message of " + bytes.readableBytes() + " bytes was left out");
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

    /** Gives the socket free for the next process. */
    void close() {
        closed = true;
        Channel here = channel;
        if (here != null) {
            here.close();
        }
    }
}
