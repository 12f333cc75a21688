package dockrelay.lab.process;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** A call at a proxy's console: one line in, one or more lines out. */
public final class ConsoleClient {
    private static final int PATIENCE_MILLIS = 1_000;

    private ConsoleClient() {
    }

    /** Whether the answer was a yes within the time that callers wait. */
    public static boolean yes(InetSocketAddress console, String line) {
        List<String> answer = call(console, line);
        return !answer.isEmpty() && answer.get(0).startsWith("200");
    }

    /** The lines of the answer; none where nobody is there, or too late. */
    public static List<String> call(InetSocketAddress console, String line) {
        try (Socket socket = new Socket()) {
            socket.connect(console, PATIENCE_MILLIS);
            socket.setSoTimeout(PATIENCE_MILLIS);
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
            return new BufferedReader(new InputStreamReader(socket.getInputStream(),
                StandardCharsets.UTF_8)).lines().toList();
        } catch (IOException | UncheckedIOException e) {
            return List.of();
        }
    }
}
