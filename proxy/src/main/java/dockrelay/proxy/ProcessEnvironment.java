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
record ProcessEnvironment(InetSocketAddress consoleAddress, Path stateFolder, ServerSocketChannel listener) {
    /** A process without any platform services. */
    static final ProcessEnvironment EMPTY = new ProcessEnvironment(null, null, null);
    private static final String STANDARD_INPUT_DESCRIPTOR = "0";

    /** Reads the environment variables. An invalid value makes the start fail. */
    static ProcessEnvironment read(Config config, Map<String, String> environment) throws IOException {
        String consoleText = environment.get("PROXY_CONSOLE");
        String folderText = environment.get("TMPDIR");
        String listenerDescriptor = environment.get("PROXY_SOCKET_FD");
        return new ProcessEnvironment(consoleText == null || consoleText.isEmpty() ? config.consoleAddress()
            : Config.parseAddress(consoleText),
            folderText == null || folderText.isEmpty() ? null : Path.of(folderText).resolve("operators"),
            listenerDescriptor == null || listenerDescriptor.isEmpty() ? null
            : inheritedListener(listenerDescriptor));
    }

    private static ServerSocketChannel inheritedListener(String descriptor) throws IOException {
        Channel channel = STANDARD_INPUT_DESCRIPTOR.equals(descriptor) ? System.inheritedChannel() : null;
        if (channel instanceof ServerSocketChannel listener && listener.getLocalAddress() != null) {
            return listener;
        }
        throw new IOException("PROXY_SOCKET_FD is " + descriptor
            + "; only 0 (standard input) as a listening socket is supported");
    }
}
