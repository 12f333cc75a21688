package review;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send keyed requests, some of them with long bodies, while one of eight backends takes seconds to read such
 * a body. All backends drop a repeat for 0.6 s. No request may run twice.
 */
final class TwiceRunTest extends Case {
    private static final int BACKENDS = 8, CLIENTS = 8;
    /** Less than 64 KiB; one request in {@link #LONG_ONE_IN} has it, the others have the short one. */
    private static final int LONG_BYTES = 65_000, SHORT_BYTES = 212, LONG_ONE_IN = 8;
    /** A client may be as slow; a long body takes one second so. */
    private static final int SLOW_BYTES_PER_SECOND = 64_000;
    private static final long WORK_MILLIS = 50, MAX_PAUSE_MILLIS = 200, SENDING_MILLIS = 30_000;
    /** For what is still on its way when the clients have stopped. */
    private static final long REST_MILLIS = 4_000;
    /** A repeat is dropped for 0.6 s; all limits are longer by 50 ms. */
    private static final double WINDOW_SECONDS = 0.65;

    /** When the last byte of the attempt came that has run last, by its key. */
    private final Map<String, Double> ranAtByKey = new HashMap<>();
    private final AtomicInteger runs = new AtomicInteger(), repeatsDropped = new AtomicInteger();
    private final AtomicInteger secondRuns = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger(), notServed = new AtomicInteger();
    private volatile boolean ending;

    @Override
    boolean run() throws Exception {
        Discovery discovery = new Discovery(record);
        for (int i = 0; i < BACKENDS; i++) {
            int bytesPerSecond = trouble && i == 0 ? SLOW_BYTES_PER_SECOND : 0;
            discovery.set(new Backend("s-" + i, Client.SENT_IDS, record, bytesPerSecond, this::book), "active");
        }
        try (ProxyProcess proxy = new ProxyProcess("n0", record)) {
            proxy.configure(discovery.address(), Settings.LIMITS, discovery.knownList(), Settings.forProxies(2));
            proxy.start();
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                Thread client = new Thread(() -> sendBookings(proxy));
                client.start();
                clients.add(client);
            }
            Thread.sleep(SENDING_MILLIS);
            ending = true;
            for (Thread client : clients) {
                client.join();
            }
            Thread.sleep(REST_MILLIS);
        }
        record.say("the clients sent " + (served.get() + notServed.get()) + " requests, each once: " + served
            + " were answered with 200, " + notServed + " otherwise");
        record.say(runs + " requests ran; backends dropped " + repeatsDropped + " repeats within the window");
        record.say(secondRuns + " requests ran a second time, more than 0.65 s after the first");
        if (served.get() == 0) {
            throw new CannotRun("no request was served");
        }
        return secondRuns.get() == 0;
    }

    /** A backend has the last byte of a request: it starts on it, or drops it as a repeat. */
    private void book(Backend backend, Message request, OutputStream out) throws Exception {
        String key = request.header("idempotency-key");
        double now = record.seconds();
        Double before;
        boolean drops;
        synchronized (ranAtByKey) {
            before = ranAtByKey.get(key);
            drops = before != null && now - before <= WINDOW_SECONDS;
            if (!drops) {
                ranAtByKey.put(key, now);
            }
        }
        (drops ? repeatsDropped : before == null ? runs : secondRuns).incrementAndGet();
        record.write(String.format(Locale.ROOT, "%s %s %s with %d bytes; its first byte came %.3f s before its last%s",
            backend.id, drops ? "drops" : before == null ? "runs" : "RUNS ONCE MORE", key, request.body.length,
            now - request.begunAt, before == null ? "" : String.format(Locale.ROOT, ", and that %.3f s after the last"
            + " byte of the one that ran", now - before)));
        Thread.sleep(WORK_MILLIS);
        Backend.answer(out, 200, "done " + request.header("x-request-id"));
    }

    /** Sends requests, one after the other, until the end. */
    private void sendBookings(ProxyProcess proxy) {
        while (!ending) {
            try (Client client = new Client(proxy)) {
                for (Message answer = new Message(); answer != null && !answer.closes() && !ending;) {
                    String id = Client.newId();
                    int bytes = ThreadLocalRandom.current().nextInt(LONG_ONE_IN) == 0 ? LONG_BYTES : SHORT_BYTES;
                    client.send(Client.head("POST", Settings.BOOKING, id, Settings.BOOKING_DEADLINE, "Content-Length: "
                        + bytes + "\r\n") + "x".repeat(bytes));
                    record.write("request " + id + " is sent, with " + bytes + " bytes");
                    answer = client.readAnswer(3_000);
                    (answer != null && answer.status() == 200 ? served : notServed).incrementAndGet();
                    record.write("request " + id + " is answered: " + (answer == null ? "closed" : answer.startLine));
                    Thread.sleep(ThreadLocalRandom.current().nextLong(MAX_PAUSE_MILLIS));
                }
            } catch (IOException | InterruptedException e) {
                record.write("a client: " + e);
            }
        }
    }

    public static void main(String[] args) {
        new TwiceRunTest().main();
    }
}
