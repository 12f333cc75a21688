package dockrelay.proxy;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;

/** The two ways of closing a connection. Both are without effect if it has been closed already. */
final class ConnectionClose {
    /**
     * Values of {@link ChannelOption#SO_LINGER}. A close discards what has not been delivered and resets the
     * connection, or delivers it in the background, as the system does by default.
     */
    private static final int LINGER_DISCARD = 0, LINGER_DELIVER = -1;

    private ConnectionClose() {
    }

    /** Makes each close of this connection, also that by the end of the process, a reset. */
    static void resetWhenClosed(Channel channel) {
        setLinger(channel, LINGER_DISCARD);
    }

    /** Discards what has not been delivered and resets the connection. */
    static void reset(Channel channel) {
        setLinger(channel, LINGER_DISCARD);
        channel.close();
    }

    /** Delivers what has been written and then closes the connection. */
    static void deliver(Channel channel) {
        setLinger(channel, LINGER_DELIVER);
        channel.close();
    }

    private static void setLinger(Channel channel, int value) {
        if (channel.isOpen()) { // the option can't be set on a closed socket
            channel.config().setOption(ChannelOption.SO_LINGER, value);
        }
    }
}
