package dockrelay.lab.world;

import java.io.IOException;
import java.net.BindException;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/** Who is reached where: each party at an address that is reserved for the one who asks. All are loopback. */
public final class LoopbackAddresses {
    private static final int HOSTS_PER_SUBNET = 250, MAX_BIND_ATTEMPTS = 20;

    private LoopbackAddresses() {
    }

    /** Where a proxy takes clients, or its operators: the second byte tells which. */
    private static String loopbackHost(int serviceByte, int proxy) {
        return "127." + serviceByte + "." + (1 + proxy / HOSTS_PER_SUBNET) + "."
            + (1 + proxy % HOSTS_PER_SUBNET);
    }

    public static InetSocketAddress backendAddress(int proxy) {
        return new InetSocketAddress(loopbackHost(20, proxy), 0);
    }

    public static InetSocketAddress discoveryAddress(int proxy) {
        return new InetSocketAddress(loopbackHost(21, proxy), 0);
    }

    /** An address for a proxy to listen at; its port is free at this moment. */
    public static InetSocketAddress freeProxyAddress(int proxy) throws IOException {
        return freeAddress(loopbackHost(22, proxy));
    }

    public static InetSocketAddress freeConsoleAddress(int proxy) throws IOException {
        return freeAddress(loopbackHost(23, proxy));
    }

    /** Where the processes meet each other: a port that is free for datagrams and streams alike. */
    public static InetSocketAddress freePeerAddress(int proxy) throws IOException {
        for (int i = 0; ; i++) {
            InetSocketAddress address = freeAddress(loopbackHost(24, proxy));
            try (DatagramSocket socket = new DatagramSocket(address)) {
                return (InetSocketAddress) socket.getLocalSocketAddress();
            } catch (BindException e) {
                if (i >= MAX_BIND_ATTEMPTS) {
                    throw e;
                }
            }
        }
    }

    /** The host of the relays' addresses at which a proxy reaches the others, and hears them from. */
    public static String relayHost(int proxy) {
        return loopbackHost(25, proxy);
    }

    private static InetSocketAddress freeAddress(String host) throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(host, 0));
            return new InetSocketAddress(host, socket.getLocalPort());
        }
    }

    public static String hostAndPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
