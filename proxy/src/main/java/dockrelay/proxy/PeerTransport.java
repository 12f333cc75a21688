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
    private static final int MAX_BALANCER_MESSAGE_BYTES = 256;
    /**
     * Receive limit per window; the kernel drops the datagrams beyond it once the socket buffer is
     * full.
     */
    private static final long RECEIVE_WINDOW_MILLIS = 50;
    private static final int MAX_DATAGRAMS_PER_WINDOW = 100, MAX_DATAGRAMS_PER_MEMBER = 10;

    /** Receives datagrams of the membership and budget protocols. */
    interface DatagramReceiver {
        /**
         * Takes a datagram; the name is the one configured for its source address, null if there is
         * none.
         */
        void receive(String senderName, ByteBuf content);
    }

    private final EventLoop eventLoop;
    private final RequestTable requestTable;
    private final DatagramReceiver protocolReceiver;
    private volatile Config config;
    private volatile Channel channel;
    private int receivedInWindow;
    private boolean closed;

    /**
     * Creates the transport without opening the socket. The receiver may be null: only balancer
     * messages are handled.
     */
    PeerTransport(EventLoop eventLoop, Config config, RequestTable requestTable,
                  DatagramReceiver protocolReceiver) {
        this.eventLoop = eventLoop;
        this.config = config;
        this.requestTable = requestTable;
        this.protocolReceiver = protocolReceiver;
    }

    /** Creates a transport for balancer messages only, and binds its socket. */
    PeerTransport(EventLoop eventLoop, Config config, RequestTable requestTable) {
        this(eventLoop, config, requestTable, null);
        channel = bootstrap().bind(config.peerListenAddress()).syncUninterruptibly().channel();
    }

    private Bootstrap bootstrap() {
        return new Bootstrap().group(eventLoop).channel(NioDatagramChannel.class)
            .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                @Override
                public void channelActive(ChannelHandlerContext context) {
                    if (protocolReceiver != null) {
                        startReceiveWindow(context.channel());
                    }
                }

                @Override
                protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
                    handleDatagram(context, packet);
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
    void open(long retryMillis, Runnable onOpen) {
        bootstrap().bind(config.peerListenAddress()).addListener((ChannelFutureListener) bind -> {
            if (bind.isSuccess() && !closed) {
                channel = bind.channel();
                onOpen.run();
            } else if (!closed) {
                Log.write("peers", "cannot bind " + config.peerListenAddress() + " yet, retrying: "
                    + bind.cause());
                eventLoop.schedule(() -> open(retryMillis, onOpen), retryMillis, TimeUnit.MILLISECONDS);
            } else {
                bind.channel().close();
            }
        });
    }

    /** Starts a new receive window. The limit keeps a flood of datagrams from delaying requests. */
    private void startReceiveWindow(Channel socketChannel) {
        receivedInWindow = 0;
        socketChannel.config().setAutoRead(true);
        if (socketChannel.isOpen()) {
            eventLoop.schedule(() -> startReceiveWindow(socketChannel), RECEIVE_WINDOW_MILLIS,
                TimeUnit.MILLISECONDS);
        }
    }

    private void handleDatagram(ChannelHandlerContext context, DatagramPacket packet) {
        // peers are identified by their source address only
        int senderIndex = config.peers().indexOf(packet.sender());
        ByteBuf content = packet.content();
        if (protocolReceiver != null && ++receivedInWindow
            >= MAX_DATAGRAMS_PER_WINDOW + MAX_DATAGRAMS_PER_MEMBER * config.groupMemberNames().size()) {
            context.channel().config().setAutoRead(false);
        }
        if (protocolReceiver != null && content.isReadable()
            && (senderIndex < 0
                || GroupedMembership.isMembershipDatagram(content.getByte(content.readerIndex()))
                || BudgetNode.isBudgetDatagram(content.getByte(content.readerIndex())))) {
            protocolReceiver.receive(config.peers().nameAt(senderIndex), content);
        } else if (senderIndex >= 0 && exchangesBalancerMessages()) {
            String message = content.toString(StandardCharsets.UTF_8);
            requestTable.eventLoop().execute(() -> requestTable.deliverPeerMessage(senderIndex, message));
        }
    }

    /**
     * Whether balancer messages are exchanged. The balancer reports the demand of each tenant to every
     * other proxy, so the traffic grows with the number of tenants and of proxies. Fleets of several
     * groups therefore go without.
     */
    private boolean exchangesBalancerMessages() {
        return config.peerGroups() == null || config.peerGroups().assignment().isSingleGroup();
    }

    /** Applies a new list of peers. */
    void configure(Config newConfig) {
        config = newConfig;
    }

    /**
     * Sends to the peer of this name; the datagram is dropped if the socket is not open or the name is
     * unknown.
     */
    void send(String peerName, ByteBuf content) {
        Channel openChannel = channel;
        InetSocketAddress address = config.peers().address(peerName);
        if (openChannel == null || address == null) {
            content.release();
        } else {
            openChannel.writeAndFlush(new DatagramPacket(content, address), openChannel.voidPromise());
        }
    }

    /**
     * Sends a balancer message to every other proxy of a single-group fleet; messages that are too long
     * are dropped.
     */
    void broadcast(String message) {
        if (!exchangesBalancerMessages()) {
            return;
        }
        ByteBuf bytes = Unpooled.copiedBuffer(message, StandardCharsets.UTF_8);
        Channel openChannel = channel;
        if (openChannel == null) {
            return;
        } else if (bytes.readableBytes() > MAX_BALANCER_MESSAGE_BYTES) {
            Log.write("peers", "dropped a message of " + bytes.readableBytes() + " bytes: it is too long");
        } else if (config.peerBroadcastAddress() != null) {
            openChannel.writeAndFlush(new DatagramPacket(bytes, config.peerBroadcastAddress()));
        } else {
            for (int i = 0; i < config.peers().size(); i++) {
                if (i != config.settings().me()) {
                    openChannel.write(
                        new DatagramPacket(bytes.retainedDuplicate(), config.peers().address(i)));
                }
            }
            openChannel.flush();
        }
    }

    /** Closes the socket, so that the next process can bind its address. */
    void close() {
        closed = true;
        Channel openChannel = channel;
        if (openChannel != null) {
            openChannel.close();
        }
    }
}
