package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Discovery as the protocol page describes it: the whole list, watches with changes, and an empty line every
 * 2 s. While it is down, calls wait and end in 503 after {@link #downWaitMillis}.
 */
final class Discovery implements AutoCloseable {
    /** A backend's entry, with the version at which it last changed. */
    private record Entry(String json, long version) {
    }

    private final ServerSocket listener;
    private final Record record;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private long version = 40;
    private volatile boolean down;
    private volatile long downWaitMillis;

    Discovery(Record record) throws IOException {
        this.record = record;
        listener = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
        Thread accepter = new Thread(this::accept, "discovery");
        accepter.setDaemon(true);
        accepter.start();
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Lists a backend in this state from now on. */
    synchronized void set(Backend backend, String state) {
        set(backend.id, backend.address(), state);
    }

    synchronized void set(String id, String address, String state) {
        version++;
        entries.put(id, new Entry("{\"id\":\"" + id + "\",\"addr\":\"" + address
            + "\",\"zone\":\"dar-dc1\",\"kind\":\"std-node\",\"cell\":1,\"state\":\"" + state
            + "\",\"weight\":1.0,\"started_ms\":0}", version));
        record.write("discovery: " + id + " is " + state + " from version " + version);
        notifyAll();
    }

    /** The list in the form of the configuration's key {@code known}. */
    synchronized String knownList() {
        return object(true, -1);
    }

    private String object(boolean full, long after) {
        StringBuilder servers = new StringBuilder();
        for (Entry entry : entries.values()) {
            if (entry.version > after && !(full && entry.json.contains("\"left\""))) {
                servers.append(servers.length() == 0 ? "" : ",").append(entry.json);
            }
        }
        return "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[" + servers + "]}";
    }

    /** Ends all watches; calls wait this long and end in 503 until {@link #up}. */
    void down(long waitMillis) throws IOException {
        record.write("discovery is down: watches end, calls end in 503 after " + waitMillis + " ms");
        downWaitMillis = waitMillis;
        down = true;
        for (Socket socket : sockets) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    void up() {
        record.write("discovery is up again");
        down = false;
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                Thread thread = new Thread(() -> serve(socket), "discovery-call");
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            Message request = Message.readRequest(new BufferedInputStream(socket.getInputStream()));
            OutputStream out = socket.getOutputStream();
            if (request == null) {
                return;
            }
            record.write("discovery: call " + request.path());
            if (down) {
                Thread.sleep(downWaitMillis);
                record.write("discovery: answers 503");
                Backend.answer(out, 503, "");
                return;
            }
            long after = -1;
            for (String part : request.path().split("[?&]")) {
                after = part.startsWith("after=") ? Long.parseLong(part.substring(6)) : after;
            }
            if (!request.path().contains("watch=1")) {
                Backend.answer(out, 200, knownList());
                return;
            }
            out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            watch(out, after);
        } catch (Exception e) {
            record.write("discovery: a connection ended: " + e);
        } finally {
            sockets.remove(socket);
        }
    }

    private void watch(OutputStream out, long after) throws IOException, InterruptedException {
        long told = after;
        boolean first = true;
        while (!down) {
            String line = null;
            synchronized (this) {
                if (!first && told >= version) {
                    wait(2_000);
                }
                if (first || told < version) {
                    line = object(told < 0, told);
                    told = version;
                }
            }
            if (line != null) {
                record.write("discovery: writes " + line);
            }
            first = false;
            byte[] bytes = ((line == null ? "" : line) + "\n").getBytes(StandardCharsets.UTF_8);
            out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
            out.write(bytes);
            out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
            out.flush();
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
