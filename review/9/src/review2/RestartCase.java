package review2;

import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A planned restart: after SIGTERM clients go on using the connections that stay open, and ask for answers that take
 * their backends 3 s. SIGKILL comes at the earliest time that the page allows.
 */
final class RestartCase {
    private static final int BACKENDS = 6, CLIENTS = 6;
    private static final int LONG_ANSWER_BYTES = 3_000_000, PIECES = 100;
    private static final long PIECE_MILLIS = 30;
    /** The longest deadline of the settings and 0.7 s; and a little more. */
    private static final long KILL_MILLIS = 2_000 + 700 + 20;
    /** Requests that come later than this after SIGTERM are lost if SIGKILL finds them unanswered. */
    private static final double OWED_AFTER_MILLIS = 700;
    private static final long FIRST_REQUEST_MILLIS = 800, BETWEEN_REQUESTS_MILLIS = 130;

    private RestartCase() {
    }

    public static void main(String[] arguments) throws Exception {
        Rig.main(arguments, RestartCase::run);
    }

    private static boolean run(Rig rig, boolean trouble) throws Exception {
        List<Backend> backends = new ArrayList<>();
        for (int i = 0; i < BACKENDS; i++) {
            backends.add(new Backend(rig, "s-" + i, (request, out) -> {
                Thread.sleep(8);
                if (request.target.contains("/long")) {
                    writeLongAnswer(out);
                } else {
                    request.backend.answer(request, out);
                }
                return true;
            }));
        }
        Discovery discovery = new Discovery(rig, backends);
        Rig.ProxyProcess proxy = rig.startProxy("n0", discovery.port, 192, 1024, discovery.wholeList(),
            Deployment.settings(2, 0, "ask", "deduplicated"));
        proxy.awaitReady(30_000);
        AtomicInteger whole = new AtomicInteger(), refused = new AtomicInteger(), shut = new AtomicInteger(),
            lost = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        double stopAt = rig.now() + 2_500;
        CompletableFuture<Double> signalled = new CompletableFuture<>(); // the time at which SIGTERM had been sent
        for (int i = 0; i < CLIENTS; i++) {
            int client = i;
            clients.add(Backend.startThread(() -> {
                try (HttpClientConnection connection = new HttpClientConnection(proxy.port, 1_000)) {
                    while (rig.now() < stopAt) {
                        String id = Deployment.newId();
                        double sentAt = rig.now();
                        connection.send(Deployment.lookup(id, 1));
                        rig.traceAnswer(id, connection.read(2_000), sentAt);
                        Thread.sleep(40);
                    }
                    double termAt = signalled.get();
                    double sendAt = termAt + FIRST_REQUEST_MILLIS + client * BETWEEN_REQUESTS_MILLIS;
                    Thread.sleep((long) (sendAt - rig.now()));
                    connection.send(Deployment.lookup(Deployment.newId(), 1).replace("/a?", "/long?"));
                    double sentAfter = rig.now() - termAt;
                    HttpClientConnection.Answer answer = connection.read(8_000);
                    boolean whole200 = answer.isWhole() && answer.status == 200;
                    whole.addAndGet(whole200 ? 1 : 0);
                    refused.addAndGet(answer.isWhole() && !whole200 ? 1 : 0);
                    shut.addAndGet(answer.status == 0 ? 1 : 0);
                    boolean isLost = !answer.isWhole() && answer.status != 0 && sentAfter > OWED_AFTER_MILLIS;
                    lost.addAndGet(isLost ? 1 : 0);
                    rig.note(String.format(Locale.ROOT, "request sent %.0f ms after SIGTERM's time: %s, %.0f ms after"
                        + " it%s", sentAfter, answer, rig.now() - termAt, isLost ? ": lost" : ""));
                } catch (java.io.IOException e) {
                    shut.incrementAndGet();
                }
            }));
        }
        Thread.sleep((long) (stopAt + 200 - rig.now()));
        if (trouble) {
            proxy.signal("TERM");
            double termAt = rig.now(); // not earlier than the signal, so that SIGKILL is not early
            signalled.complete(termAt);
            rig.note("SIGTERM");
            Thread.sleep((long) Math.ceil(termAt + KILL_MILLIS - rig.now()));
            if (proxy.isAlive()) {
                proxy.signal("KILL");
                rig.note("SIGKILL");
            } else {
                rig.note("the proxy has ended by itself");
            }
        } else {
            signalled.complete(rig.now());
        }
        for (Thread client : clients) {
            client.join();
        }
        rig.note("long answers whole " + whole + ", answered otherwise " + refused + ", connections shut before "
            + shut + ", cut off " + lost);
        rig.keepLog(proxy, "^stop|^close|^counters", 20);
        if (whole.get() + refused.get() + lost.get() == 0) {
            throw new IllegalStateException("no request reached the proxy");
        }
        return lost.get() == 0;
    }

    private static void writeLongAnswer(OutputStream out) throws Exception {
        out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + LONG_ANSWER_BYTES + "\r\n\r\n").getBytes());
        byte[] piece = new byte[LONG_ANSWER_BYTES / PIECES];
        for (int i = 0; i < PIECES; i++) {
            out.write(piece);
            out.flush();
            Thread.sleep(PIECE_MILLIS);
        }
    }
}
