package dockrelay.lab.world;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/** Who is reached where: each party at an address that is reserved for the one who asks. All are loopback. */
public final class Addresses {
    private static final int BYTE = 250;

    private Addresses() {
    }

    /** Where a proxy takes clients, or its operators: the second byte tells which. */
    private static String host(int part, int proxy) {
        return "127." + part + "." + (1 + proxy / BYTE) + "." + (1 + proxy % BYTE);
    }

    public static InetSocketAddress node(int asker) {
        return new InetSocketAddress(host(20, asker), 0);
    }

    public static InetSocketAddress discovery(int asker) {
        return new InetSocketAddress(host(21, asker), 0);
    }

    /** An address for a proxy to listen at; its port is free at this moment. */
    public static InetSocketAddress proxy(int proxy) throws IOException {
        return free(host(22, proxy));
    }

    public static InetSocketAddress console(int proxy) throws IOException {
        return free(host(23, proxy));
    }

    private static InetSocketAddress free(String host) throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(host, 0));
            return new InetSocketAddress(host, socket.getLocalPort());
        }
    }

    public static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
