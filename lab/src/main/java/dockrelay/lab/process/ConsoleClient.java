package dockrelay.lab.process;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Client of a proxy's console: sends one line and reads a response of one or more lines. Blocks. */
public final class ConsoleClient {
    private static final int TIMEOUT_MILLIS = 1_000;

    private ConsoleClient() {
    }

    /** Sends a command; returns whether it succeeded (status 200) before the timeout. */
    public static boolean succeeds(InetSocketAddress console, String command) {
        List<String> response = call(console, command);
        return !response.isEmpty() && response.get(0).startsWith("200");
    }

    /** Sends a command and returns the lines of the response; none if it failed or timed out. */
    public static List<String> call(InetSocketAddress console, String command) {
        try (Socket socket = new Socket()) {
            socket.connect(console, TIMEOUT_MILLIS);
            socket.setSoTimeout(TIMEOUT_MILLIS);
            socket.getOutputStream().write((command + "\n").getBytes(StandardCharsets.UTF_8));
            return new BufferedReader(new InputStreamReader(socket.getInputStream(),
                StandardCharsets.UTF_8)).lines().toList();
        } catch (IOException | UncheckedIOException e) {
            return List.of();
        }
    }
}
