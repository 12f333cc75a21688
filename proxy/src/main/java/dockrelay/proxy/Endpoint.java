package dockrelay.proxy;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.UnknownHostException;

/** Compact IPv4 address and port of a backend, which saves memory when a list has very many entries. */
final class Endpoint extends SocketAddress {
    private static final long serialVersionUID = 1;
    private static final int PARTS = 4;
    private static final int LONGEST = 5;

    private final int host, port;

    private Endpoint(int host, int port) {
        this.host = host;
        this.port = port;
    }

    /**
     * Parses an address written as host:port. Returns an Endpoint for a dotted IPv4 address and a general
     * socket address for anything else.
     */
    static SocketAddress of(String text) {
        int at = 0, host = 0, part = 0, digits = 0;
        for (int i = 0; i < text.length(); i++) {
            char next = text.charAt(i);
            boolean ends = next == (at < PARTS - 1 ? '.' : ':') && digits > 0 && part < 256 && at < PARTS;
            if (ends) {
                host = host << 8 | part;
                at++;
                part = 0;
                digits = 0;
            } else if (next >= '0' && next <= '9' && digits++ < (at < PARTS ? PARTS - 1 : LONGEST)) {
                part = part * 10 + next - '0';
            } else {
                return Config.address(text);
            }
        }
        return at == PARTS && digits > 0 && part < 1 << 16 ? new Endpoint(host, part) : Config.address(text);
    }

    /** Converts a stored address to one that a socket can connect to. */
    static SocketAddress toInetSocketAddress(SocketAddress kept) {
        return kept instanceof Endpoint endpoint ? endpoint.toInetSocketAddress() : kept;
    }

    private InetSocketAddress toInetSocketAddress() {
        byte[] bytes = {(byte) (host >>> 24), (byte) (host >>> 16), (byte) (host >>> 8), (byte) host};
        try {
            return new InetSocketAddress(InetAddress.getByAddress(bytes), port);
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e); // cannot happen: the array has four bytes
        }
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Endpoint endpoint && endpoint.host == host && endpoint.port == port;
    }

    @Override
    public int hashCode() {
        return host * 31 + port;
    }

    @Override
    public String toString() {
        return toInetSocketAddress().toString();
    }
}
