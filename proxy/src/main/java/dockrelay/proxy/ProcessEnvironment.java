package dockrelay.proxy;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.Channel;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
import java.util.Map;

/**
 * What the platform provides to the process besides its configuration; each component may be null. The
 * folder persists across restarts and is shared with a successor process. The listener is the listening
 * socket for clients, if the platform holds it.
 */
record ProcessEnvironment(InetSocketAddress console, Path folder, ServerSocketChannel listener) {
    /** A process without any platform services. */
    static final ProcessEnvironment NONE = new ProcessEnvironment(null, null, null);
    private static final String STANDARD_INPUT = "0";

    /** Reads the environment variables. An invalid value makes the start fail. */
    static ProcessEnvironment read(Config config, Map<String, String> environment) throws IOException {
        String console = environment.get("PROXY_CONSOLE");
        String folder = environment.get("TMPDIR");
        String listener = environment.get("PROXY_SOCKET_FD");
        return new ProcessEnvironment(console == null || console.isEmpty() ? config.console() : Config.address(console),
            folder == null || folder.isEmpty() ? null : Path.of(folder).resolve("operators"),
            listener == null || listener.isEmpty() ? null : inherited(listener));
    }

    private static ServerSocketChannel inherited(String descriptor) throws IOException {
        Channel channel = STANDARD_INPUT.equals(descriptor) ? System.inheritedChannel() : null;
        if (channel instanceof ServerSocketChannel listener && listener.getLocalAddress() != null) {
            return listener;
        }
        throw new IOException("PROXY_SOCKET_FD is " + descriptor
            + "; only 0 (standard input) as a listening socket is supported");
    }
}
