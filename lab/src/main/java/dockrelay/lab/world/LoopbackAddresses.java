package dockrelay.lab.world;

import java.io.IOException;
import java.net.BindException;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/**
 * Allocates loopback addresses. The host identifies both the service and the proxy: backends and discovery
 * listen at a separate host for each proxy, so the emulator can tell the proxies apart.
 */
public final class LoopbackAddresses {
    private static final int HOSTS_PER_SUBNET = 250, MAX_BIND_ATTEMPTS = 20;

    private LoopbackAddresses() {
    }

    /** Returns the loopback host of a service of or for a proxy; the second byte identifies the service. */
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

    /** Returns an address for a proxy's client listener; its port is free at the time of the call. */
    public static InetSocketAddress freeProxyAddress(int proxy) throws IOException {
        return freeAddress(loopbackHost(22, proxy));
    }

    /** Returns an address for a proxy's console; its port is free at the time of the call. */
    public static InetSocketAddress freeConsoleAddress(int proxy) throws IOException {
        return freeAddress(loopbackHost(23, proxy));
    }

    /** Returns an address for a proxy's peer traffic, with a port that is free for both TCP and UDP. */
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

    /** Returns the host of the relay addresses at which a proxy reaches its peers and sees their traffic. */
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
