package dockrelay.lab.process;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A call at a proxy's console: one line in, one line out. */
final class ConsoleCall {
    private static final int PATIENCE_MILLIS = 1_000;

    private ConsoleCall() {
    }

    /** Whether the answer was a yes within the time that callers wait. */
    static boolean yes(InetSocketAddress console, String line) {
        try (Socket socket = new Socket()) {
            socket.connect(console, PATIENCE_MILLIS);
            socket.setSoTimeout(PATIENCE_MILLIS);
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
            String answer = new BufferedReader(new InputStreamReader(socket.getInputStream(),
                StandardCharsets.UTF_8)).readLine();
            return answer != null && answer.startsWith("200");
        } catch (IOException e) {
            return false; // nobody there, or too late
        }
    }
}
