package dockrelay.proxy;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.UnknownHostException;

/** Compact IPv4 address and port of a backend, which saves memory when a list has very many entries. */
final class Endpoint extends SocketAddress {
    private static final long serialVersionUID = 1;
    private static final int IPV4_BYTES = 4;
    private static final int MAX_PORT_DIGITS = 5;

    private final int ipv4, port;

    private Endpoint(int ipv4, int port) {
        this.ipv4 = ipv4;
        this.port = port;
    }

    /**
     * Parses an address written as host:port. Returns an Endpoint for a dotted IPv4 address and a general
     * socket address for anything else.
     */
    static SocketAddress parse(String text) {
        int partIndex = 0, ipv4 = 0, value = 0, digitCount = 0;
        for (int i = 0; i < text.length(); i++) {
            char character = text.charAt(i);
            boolean endsPart = character == (partIndex < IPV4_BYTES - 1 ? '.' : ':') && digitCount > 0
                && value < 256 && partIndex < IPV4_BYTES;
            if (endsPart) {
                ipv4 = ipv4 << 8 | value;
                partIndex++;
                value = 0;
                digitCount = 0;
            } else if (character >= '0' && character <= '9'
                && digitCount++ < (partIndex < IPV4_BYTES ? IPV4_BYTES - 1 : MAX_PORT_DIGITS)) {
                value = value * 10 + character - '0';
            } else {
                return Config.parseAddress(text);
            }
        }
        return partIndex == IPV4_BYTES && digitCount > 0 && value < 1 << 16 ? new Endpoint(ipv4, value)
            : Config.parseAddress(text);
    }

    /** Converts a stored address to one that a socket can connect to. */
    static SocketAddress toInetSocketAddress(SocketAddress stored) {
        return stored instanceof Endpoint endpoint ? endpoint.toInetSocketAddress() : stored;
    }

    private InetSocketAddress toInetSocketAddress() {
        byte[] bytes = {(byte) (ipv4 >>> 24), (byte) (ipv4 >>> 16), (byte) (ipv4 >>> 8), (byte) ipv4};
        try {
            return new InetSocketAddress(InetAddress.getByAddress(bytes), port);
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e); // cannot happen: the array has four bytes
        }
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Endpoint endpoint && endpoint.ipv4 == ipv4 && endpoint.port == port;
    }

    @Override
    public int hashCode() {
        return ipv4 * 31 + port;
    }

    @Override
    public String toString() {
        return toInetSocketAddress().toString();
    }
}
