package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * 320 clients send a body of under 64 KiB each, all at once, about as slowly as the pages let them, beside a few
 * clients with short requests. After they have gone, single clients go on. Each request has to get a final answer.
 */
final class UploadsTest extends Case {
    /** A memory limit and the most descriptors that a proxy is granted. */
    private static final String LIMITS = "{\"cores\":1.0,\"memory_mb\":144,\"sockets\":1024}";
    /** With {@link #OTHERS} fewer than a third of the 1,024 descriptors. */
    private static final int UPLOADS = 320, OTHERS = 8;
    /** The clients come again, if all of them were answered. */
    private static final int WAVES = 3;
    private static final int AT_ONCE_WITHOUT_TROUBLE = 64;
    private static final int BODY_BYTES = 65_000;
    /** Above the 64 kB/s that a client has to keep. */
    private static final int BYTES_PER_SECOND = 66_000;
    private static final int PIECE_BYTES = 3_500;
    /** Less than the 2 s after which the proxy may close a connection without a request. */
    private static final long MAX_CONNECT_MILLIS = 1_500;
    private static final int LATER = 10, LATER_BYTES = 20_000;
    /** Up to half a second after its time an answer only earns nothing; all limits are longer by 50 ms. */
    private static final double MAX_LATE = 0.55;

    /** An attempt may begin so long after its client's close; all limits are longer by 50 ms. */
    private static final double MAX_BEGIN_AFTER_CLOSE = 0.15;

    private final AtomicInteger answered = new AtomicInteger(), lost = new AtomicInteger();
    private final AtomicInteger lookupsAnswered = new AtomicInteger(), lookupsLost = new AtomicInteger();
    private final Map<String, Double> closedAtById = new ConcurrentHashMap<>();
    private final AtomicInteger begunForNobody = new AtomicInteger();
    private volatile boolean ending;

    @Override
    boolean run() throws Exception {
        Discovery discovery = new Discovery(record);
        for (int i = 0; i < 8; i++) {
            discovery.set(new Backend("s-" + i, Client.SENT_IDS, record, (self, request, out) -> {
                Thread.sleep(20);
                if (request.body.length > 0) {
                    Double closedAt = closedAtById.get(request.header("x-request-id"));
                    double goneFor = closedAt == null ? 0 : request.begunAt - closedAt;
                    begunForNobody.addAndGet(goneFor > MAX_BEGIN_AFTER_CLOSE ? 1 : 0);
                    record.write(String.format(Locale.ROOT, "%s runs %s, body %d bytes, begun %.1f s %s", self.id,
                        request.startLine, request.body.length, Math.abs(goneFor), closedAt == null
                        ? "before any close" : goneFor < 0 ? "before its client closed" : "after its client closed"));
                }
                Backend.answer(out, 200, "done " + request.header("x-request-id"));
            }), "active");
        }
        int lostAtOnce;
        int lostLater;
        try (ProxyProcess proxy = new ProxyProcess("n0", record)) {
            proxy.configure(discovery.address(), LIMITS, discovery.knownList(), Settings.forProxies(2));
            proxy.start();
            for (int i = 0; i < OTHERS; i++) {
                Thread thread = new Thread(() -> sendLookups(proxy));
                thread.setDaemon(true);
                thread.start();
            }
            Thread.sleep(1_000);
            for (int wave = 0; wave < WAVES && lost.get() == 0; wave++) {
                answered.set(0);
                CountDownLatch connected = new CountDownLatch(trouble ? UPLOADS : 1);
                ExecutorService clients =
                    Executors.newFixedThreadPool(trouble ? UPLOADS : AT_ONCE_WITHOUT_TROUBLE);
                for (int i = 0; i < UPLOADS; i++) {
                    clients.execute(() -> upload(proxy, BODY_BYTES, connected));
                }
                clients.shutdown();
                if (!clients.awaitTermination(60, TimeUnit.SECONDS)) {
                    throw new CannotRun("the clients did not end");
                }
                record.say("of " + UPLOADS + " requests with " + BODY_BYTES + " bytes " + answered
                    + " were answered and " + lost + " lost; their clients have gone");
            }
            lostAtOnce = lost.get();
            int lookupsAnsweredBefore = lookupsAnswered.get();
            int lookupsLostBefore = lookupsLost.get();
            for (int i = 0; i < LATER; i++) {
                upload(proxy, LATER_BYTES, new CountDownLatch(1));
            }
            lostLater = lost.get() - lostAtOnce;
            record.say("of " + LATER + " requests with " + LATER_BYTES + " bytes, one after the other, " + lostLater
                + " were lost");
            record.say("meanwhile " + (lookupsAnswered.get() - lookupsAnsweredBefore) + " requests without a body were"
                + " answered and " + (lookupsLost.get() - lookupsLostBefore) + " lost; the process "
                + (proxy.isAlive() ? "runs" : "has ended"));
            record.say(begunForNobody + " attempts began more than 0.15 s after their clients had closed");
            ending = true;
        }
        if (answered.get() + lost.get() < UPLOADS / 2) {
            throw new CannotRun("too few requests could be sent");
        }
        return lost.get() + lookupsLost.get() + begunForNobody.get() == 0;
    }

    /**
     * Connects, waits for the others to connect, sends a request at the pace of a slow client, and waits for its
     * answer until it is lost.
     */
    private void upload(ProxyProcess proxy, int bytes, CountDownLatch connected) {
        String id = Client.newId();
        boolean taken = false;
        double lastByteAt = 0;
        try (Client client = new Client(proxy)) {
            connected.countDown();
            connected.await(MAX_CONNECT_MILLIS, TimeUnit.MILLISECONDS);
            client.send(Client.head("POST", Settings.UPDATE, id, Settings.UPDATE_DEADLINE, "Content-Length: " + bytes
                + "\r\n"));
            long startNanos = System.nanoTime();
            String piece = "x".repeat(PIECE_BYTES);
            for (int sent = 0; sent < bytes && client.in.available() == 0; sent += PIECE_BYTES) {
                long dueNanos = startNanos + (long) ((double) sent / BYTES_PER_SECOND * 1e9);
                Thread.sleep(Math.max(0, (dueNanos - System.nanoTime()) / 1_000_000));
                client.send(piece.substring(0, Math.min(PIECE_BYTES, bytes - sent)));
            }
            taken = true;
            lastByteAt = record.seconds();
            record.write("the last byte of " + id + " is written");
            Message answer = client.readAnswer((long) ((Settings.UPDATE_DEADLINE + MAX_LATE) * 1000));
            if (answer == null) {
                throw new IOException("closed without an answer");
            }
            answered.incrementAndGet();
            record.write("request " + id + " is answered: " + answer.startLine);
        } catch (IOException | InterruptedException e) {
            closedAtById.put(id, record.seconds());
            if (taken) {
                lost.incrementAndGet();
            }
            record.write(String.format(Locale.ROOT, "request %s, %s, no answer %.3f s after its last byte: %s", id,
                taken ? "taken" : "not taken", record.seconds() - lastByteAt, e));
        }
    }

    /** Sends short requests on one connection after the other until the end. */
    private void sendLookups(ProxyProcess proxy) {
        while (!ending) {
            boolean sent = false;
            try (Client client = new Client(proxy)) {
                for (Message answer = new Message(); !answer.closes() && !ending;) {
                    client.send(Client.head("GET", Settings.LOOKUP, Client.newId(), Settings.LOOKUP_DEADLINE, ""));
                    sent = true;
                    answer = client.readAnswer((long) ((Settings.LOOKUP_DEADLINE + MAX_LATE) * 1000));
                    if (answer == null) {
                        throw new IOException("closed without an answer");
                    }
                    sent = false;
                    lookupsAnswered.incrementAndGet();
                    Thread.sleep(50);
                }
            } catch (IOException | InterruptedException e) {
                if (!ending) {
                    lookupsLost.addAndGet(sent ? 1 : 0);
                    record.write("a request without a body: " + e);
                }
            }
        }
    }

    public static void main(String[] args) {
        new UploadsTest().main();
    }
}
