package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** An HTTP/1.1 message as read from a connection, framed by RFC 9112, 6.3. */
final class Message {
    String startLine = "";
    final Map<String, String> headers = new LinkedHashMap<>(); // names in lower case
    byte[] body = new byte[0];
    double begunAt; // when the first byte of a request came to a backend, by the record's clock

    String header(String name) {
        return headers.get(name.toLowerCase(Locale.ROOT));
    }

    String method() {
        return startLine.split(" ")[0];
    }

    String path() {
        String[] words = startLine.split(" ");
        return words.length > 1 ? words[1] : "";
    }

    int status() {
        String[] words = startLine.split(" ");
        return words.length > 1 ? Integer.parseInt(words[1]) : 0;
    }

    String text() {
        return new String(body, StandardCharsets.ISO_8859_1);
    }

    boolean closes() {
        return "close".equalsIgnoreCase(header("connection"));
    }

    /** Reads the head; null at the end of the stream before its first byte. */
    static Message readHead(InputStream in) throws IOException {
        Message message = new Message();
        String line = readLine(in);
        while (line != null && line.isEmpty()) {
            line = readLine(in);
        }
        if (line == null) {
            return null;
        }
        message.startLine = line;
        for (line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            if (colon > 0) {
                message.headers.merge(line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim(), (first, second) -> first + ", " + second);
            }
        }
        if (line == null) {
            throw new EOFException("end within a head");
        }
        return message;
    }

    /** Reads a request: without Content-Length and Transfer-Encoding it has no body. */
    static Message readRequest(InputStream in) throws IOException {
        Message message = readHead(in);
        if (message != null) {
            message.readBody(in, false);
        }
        return message;
    }

    /** Reads a response: without a length it ends with the connection. */
    static Message readResponse(InputStream in) throws IOException {
        Message message = readHead(in);
        if (message != null) {
            message.readBody(in, true);
        }
        return message;
    }

    private void readBody(InputStream in, boolean untilClose) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        if (header("transfer-encoding") != null) {
            for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
                bytes.write(exactly(in, size));
                readLine(in);
            }
            for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
                continue; // trailers
            }
        } else if (header("content-length") != null) {
            bytes.write(exactly(in, Integer.parseInt(header("content-length"))));
        } else if (untilClose) {
            bytes.write(in.readAllBytes());
        }
        body = bytes.toByteArray();
    }

    private static int chunkSize(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            throw new EOFException("end within a body");
        }
        return Integer.parseInt(line.split(";")[0].trim(), 16);
    }

    private static byte[] exactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("end within a body");
        }
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c >= 0; c = in.read()) {
            if (c == '\n') {
                int length = line.length();
                return length > 0 && line.charAt(length - 1) == '\r' ? line.substring(0, length - 1)
                    : line.toString();
            }
            line.append((char) c);
        }
        if (line.length() > 0) {
            throw new EOFException("end within a line");
        }
        return null;
    }
}
