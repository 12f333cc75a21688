package review2;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/** A backend as the protocol page describes it: one request at a time on a connection, answered in order. */
public final class Backend {
    /** A request that has arrived whole, with the times of its first and last byte in the rig's milliseconds. */
    public static final class Received {
        public String method, target, id, serviceClass;
        public final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        public double firstByteAt, lastByteAt;
        public int bodyBytes;
        public Backend backend;
    }

    /** What the backend does with a request; returning false closes the connection. */
    public interface Behaviour {
        boolean handle(Received request, OutputStream out) throws Exception;
    }

    public final String id;
    public final int port;
    public final Queue<Received> received = new ConcurrentLinkedQueue<>();
    private final Rig rig;
    private final Behaviour behaviour;

    public Backend(Rig rig, String id, Behaviour behaviour) throws IOException {
        this.rig = rig;
        this.id = id;
        this.behaviour = behaviour;
        ServerSocket listener = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
        this.port = listener.getLocalPort();
        startThread(() -> {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                startThread(() -> serve(socket));
            }
        });
    }

    /** A task that may throw. */
    public interface Task {
        void run() throws Exception;
    }

    /** Runs a task on a daemon thread with a small stack; an exception ends the task. */
    public static Thread startThread(Task task) {
        Thread thread = new Thread(null, () -> {
            try {
                task.run();
            } catch (Exception e) {
                // the peer has left or the case has ended
            }
        }, "stand-in", 256 << 10);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** The entry of the list of backends. */
    public String entry(String state) {
        return "{\"id\":\"" + id + "\",\"addr\":\"127.0.0.1:" + port + "\",\"zone\":\"dar-dc1\",\"kind\":\"std-node\","
            + "\"cell\":1,\"state\":\"" + state + "\",\"weight\":1.0,\"started_ms\":0}";
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            boolean open = true;
            while (open) {
                Received request = new Received();
                request.backend = this;
                String line = readLine(in, request);
                String[] words = line.split(" ");
                request.method = words[0];
                request.target = words[1];
                for (line = readLine(in, request); !line.isEmpty(); line = readLine(in, request)) {
                    int colon = line.indexOf(':');
                    request.headers.put(line.substring(0, colon), line.substring(colon + 1).trim());
                }
                request.id = request.headers.get("X-Request-ID");
                request.serviceClass = request.headers.get("X-Priority-Class");
                readBody(in, request);
                request.lastByteAt = rig.now();
                received.add(request);
                rig.trace("run: " + request.id + " at " + id);
                open = behaviour.handle(request, out);
            }
        }
    }

    private void readBody(InputStream in, Received request) throws IOException {
        if ("chunked".equalsIgnoreCase(request.headers.get("Transfer-Encoding"))) {
            int size;
            do {
                size = Integer.parseInt(readLine(in, request).split(";")[0].trim(), 16);
                in.skipNBytes(size);
                request.bodyBytes += size;
                readLine(in, request);
            } while (size > 0);
        } else {
            request.bodyBytes = Integer.parseInt(request.headers.getOrDefault("Content-Length", "0"));
            in.skipNBytes(request.bodyBytes);
        }
    }

    private String readLine(InputStream in, Received request) throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            int next = in.read();
            if (next < 0) {
                throw new EOFException();
            }
            if (request.firstByteAt == 0) {
                request.firstByteAt = rig.now();
            }
            if (next == '\n') {
                return line.toString();
            } else if (next != '\r') {
                line.append((char) next);
            }
        }
    }

    /** The body of this backend's answer to a request. */
    public String bodyFor(Received request) {
        return "answer to " + request.id + " by " + id;
    }

    /** Writes a whole 200 answer to the request. */
    public void answer(Received request, OutputStream out) throws IOException {
        out.write(text(200, "OK", bodyFor(request)));
        out.flush();
    }

    /** The bytes of an answer. */
    public static byte[] text(int status, String reason, String body) {
        return ("HTTP/1.1 " + status + " " + reason + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
            .getBytes(StandardCharsets.ISO_8859_1);
    }
}
