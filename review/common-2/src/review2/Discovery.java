package review2;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Discovery as the protocol page describes it: whole lists, and watches with empty lines every 2 s. */
public final class Discovery {
    private static final long HEARTBEAT_MILLIS = 2_000;

    private final Rig rig;
    public final int port;
    private final Map<String, Backend> backends = new LinkedHashMap<>();
    private final Map<String, String> states = new LinkedHashMap<>();
    private final Map<String, Integer> changedIn = new LinkedHashMap<>();
    private final List<Socket> watches = new ArrayList<>();
    private int version = 41;
    private volatile boolean down;
    private volatile long failAfterMillis;
    private volatile double firstCallAt;

    public Discovery(Rig rig, List<Backend> listed) throws IOException {
        this.rig = rig;
        for (Backend backend : listed) {
            backends.put(backend.id, backend);
            states.put(backend.id, "active");
            changedIn.put(backend.id, version);
        }
        ServerSocket listener = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
        port = listener.getLocalPort();
        Backend.startThread(() -> {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                Backend.startThread(() -> serve(socket));
            }
        });
    }

    /** The whole list, as a proxy last had it. */
    public synchronized String wholeList() {
        List<String> entries = new ArrayList<>();
        backends.forEach((id, backend) -> {
            if (!"left".equals(states.get(id))) {
                entries.add(backend.entry(states.get(id)));
            }
        });
        return "{\"version\":" + version + ",\"full\":true,\"servers\":[" + String.join(",", entries) + "]}";
    }

    private synchronized String changesAfter(int after) {
        List<String> entries = new ArrayList<>();
        backends.forEach((id, backend) -> {
            if (changedIn.get(id) > after) {
                entries.add(backend.entry(states.get(id)));
            }
        });
        return "{\"version\":" + version + ",\"full\":false,\"servers\":[" + String.join(",", entries) + "]}";
    }

    /** Changes the state of a backend; open watches hear of it at once. */
    public synchronized void change(Backend backend, String state) {
        version++;
        states.put(backend.id, state);
        changedIn.put(backend.id, version);
        rig.note("discovery: " + backend.id + " is " + state + " in version " + version);
        notifyAll();
    }

    /** When the first call came, in the rig's milliseconds; 0 if there was none. */
    public double firstCallAt() {
        return firstCallAt;
    }

    /** Goes down: all watches end, and each call fails with 503 once it has waited for this long. */
    public synchronized void goDown(long waitMillis) throws IOException {
        rig.note("discovery goes down; calls wait for " + waitMillis + " ms and end in 503");
        failAfterMillis = waitMillis;
        down = true;
        for (Socket watch : watches) {
            watch.setSoLinger(true, 0);
            watch.close();
        }
        watches.clear();
    }

    /** Is back: each call from now on is answered. */
    public synchronized void comeBack() {
        rig.note("discovery is back");
        down = false;
        notifyAll();
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            BufferedReader in = new BufferedReader(
                new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            OutputStream out = socket.getOutputStream();
            String target = in.readLine().split(" ")[1];
            for (String line = in.readLine(); !line.isEmpty(); line = in.readLine()) {
                continue;
            }
            firstCallAt = firstCallAt == 0 ? rig.now() : firstCallAt;
            rig.trace("discovery: call " + target);
            if (down) {
                Thread.sleep(failAfterMillis);
                out.write(Backend.text(503, "Service Unavailable", ""));
                rig.trace("discovery: answered 503");
                return;
            }
            if (!target.contains("watch=1")) {
                out.write(Backend.text(200, "OK", wholeList() + "\n"));
                return;
            }
            int after = target.contains("after=") ? Integer.parseInt(target.replaceAll(".*after=(\\d+).*", "$1")) : -1;
            watch(socket, out, after);
        }
    }

    private void watch(Socket socket, OutputStream out, int after) throws Exception {
        String first;
        int known;
        synchronized (this) {
            watches.add(socket);
            first = after < 0 ? wholeList() : changesAfter(after);
            known = version;
        }
        out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        writeChunk(out, first + "\n");
        rig.trace("discovery: answered with version " + known);
        while (true) {
            String text = "\n";
            synchronized (this) {
                if (version == known) {
                    wait(HEARTBEAT_MILLIS);
                }
                if (version > known) {
                    text = changesAfter(known) + "\n";
                    known = version;
                }
            }
            writeChunk(out, text);
            if (text.length() > 1) {
                rig.trace("discovery: told version " + known);
            }
        }
    }

    private static void writeChunk(OutputStream out, String text) throws IOException {
        out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }
}
