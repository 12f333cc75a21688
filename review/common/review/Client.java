package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/** A connection of a client to a proxy. */
final class Client implements AutoCloseable {
    /** The ids of all requests that clients have sent as requests of their own. */
    static final Set<String> SENT_IDS = ConcurrentHashMap.newKeySet();

    final Socket socket;
    final InputStream in;
    final OutputStream out;

    Client(ProxyProcess proxy) throws IOException {
        socket = new Socket("127.0.0.1", proxy.port);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
        out = socket.getOutputStream();
    }

    static String newId() {
        return String.format(Locale.ROOT, "%016x", ThreadLocalRandom.current().nextLong());
    }

    /** The head of a request; its id counts as sent by a client. */
    static String head(String method, String service, String id, double timeout, String moreHeaders) {
        SENT_IDS.add(id);
        return headOfNobody(method, service, id, timeout, moreHeaders);
    }

    /** The text of a head, whose id does not count as sent. */
    static String headOfNobody(String method, String service, String id, double timeout, String moreHeaders) {
        return method + " /" + service + "/" + id + " HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: " + id
            + "\r\nX-Priority-Class: " + service + "\r\nX-Timeout: " + String.format(Locale.ROOT, "%.3f", timeout) + "\r\n"
            + (method.equals("POST") ? "Idempotency-Key: key-" + id + "\r\n" : "") + moreHeaders + "\r\n";
    }

    void send(String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Reads an answer; null at the end of the stream. */
    Message readAnswer(long timeoutMillis) throws IOException {
        socket.setSoTimeout((int) timeoutMillis);
        return Message.readResponse(in);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
