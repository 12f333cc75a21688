package review2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** One connection of a client to a proxy, which sends raw bytes and reads answers. */
public final class HttpClientConnection implements AutoCloseable {
    /** An answer; if it did not come whole, {@link #error} says why. The status is 0 if no head arrived. */
    public static final class Answer {
        public int status;
        public final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        public byte[] body = new byte[0];
        public String error;

        public boolean isWhole() {
            return error == null;
        }

        public String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }

        public boolean closes() {
            return "close".equalsIgnoreCase(headers.get("Connection"));
        }

        @Override
        public String toString() {
            return status + (isWhole() ? "" : " (" + error + ")") + ", " + body.length + " bytes";
        }
    }

    public final Socket socket;
    private final InputStream in;

    public HttpClientConnection(int port, int connectTimeoutMillis) throws IOException {
        socket = Rig.connect(port, connectTimeoutMillis);
        in = new BufferedInputStream(socket.getInputStream());
    }

    public void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** Reads one answer, for this long at most. */
    public Answer read(long timeoutMillis) {
        Answer answer = new Answer();
        long deadline = System.nanoTime() + timeoutMillis * 1_000_000;
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            String statusLine = readLine(deadline);
            answer.status = Integer.parseInt(statusLine.split(" ")[1]);
            for (String line = readLine(deadline); !line.isEmpty(); line = readLine(deadline)) {
                int colon = line.indexOf(':');
                answer.headers.put(line.substring(0, colon), line.substring(colon + 1).trim());
            }
            if (answer.headers.getOrDefault("Transfer-Encoding", "").toLowerCase(Locale.ROOT).contains("chunked")) {
                for (int size = chunkSize(deadline); ; size = chunkSize(deadline)) {
                    copy(body, size, deadline);
                    readLine(deadline);
                    if (size == 0) {
                        break;
                    }
                }
            } else {
                copy(body, Integer.parseInt(answer.headers.getOrDefault("Content-Length", "0")), deadline);
            }
        } catch (SocketTimeoutException e) {
            answer.error = "no end within " + timeoutMillis + " ms";
        } catch (EOFException e) {
            answer.error = "connection closed";
        } catch (IOException e) {
            answer.error = "connection broken: " + e.getMessage();
        }
        answer.body = body.toByteArray();
        return answer;
    }

    private int chunkSize(long deadline) throws IOException {
        return Integer.parseInt(readLine(deadline).split(";")[0].trim(), 16);
    }

    private void copy(ByteArrayOutputStream body, int count, long deadline) throws IOException {
        byte[] buffer = new byte[16_384];
        int missing = count;
        while (missing > 0) {
            setTimeout(deadline);
            int read = in.read(buffer, 0, Math.min(missing, buffer.length));
            if (read < 0) {
                throw new EOFException();
            }
            body.write(buffer, 0, read);
            missing -= read;
        }
    }

    private String readLine(long deadline) throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            setTimeout(deadline);
            int next = in.read();
            if (next < 0) {
                throw new EOFException();
            } else if (next == '\n') {
                return line.toString();
            } else if (next != '\r') {
                line.append((char) next);
            }
        }
    }

    private void setTimeout(long deadline) throws IOException {
        long remainingMillis = (deadline - System.nanoTime()) / 1_000_000;
        if (remainingMillis <= 0) {
            throw new SocketTimeoutException();
        }
        socket.setSoTimeout((int) remainingMillis);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
