package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An improper peer sends long requests whose Connection header names Content-Length, beside clients with short proper
 * requests. What stands inside a body must not reach a backend as a request, and each client must get its own answers.
 */
final class SmugglingTest extends Case {
    private static final int BACKENDS = 6, CLIENTS = 6, LONG_REQUESTS = 20;
    /** More than the 64 KiB up to which a body is held whole. */
    private static final int BODY_BYTES = 70_000;
    private static final long WORK_MILLIS = 50, CLIENT_PAUSE_MILLIS = 60, WARM_UP_MILLIS = 1_500;
    private static final long PEER_PAUSE_MILLIS = 300;
    /** The proxy may refuse a request; the peer then sends another one. */
    private static final int TRIES = 5;
    /** No attempt of a request is on its way any more so long after its answer, as all take 50 ms. */
    private static final double SETTLED_SECONDS = 0.25;

    /** When the peer got the answers to its own short requests, by their ids. */
    private final Map<String, Double> answeredAtById = new ConcurrentHashMap<>();
    private final AtomicInteger ownAnswers = new AtomicInteger(), otherAnswers = new AtomicInteger();
    private final AtomicInteger foreignAnswers = new AtomicInteger(), unsentRequests = new AtomicInteger();
    private final AtomicInteger wholeBodies = new AtomicInteger();
    private volatile boolean ending;

    @Override
    boolean run() throws Exception {
        Discovery discovery = new Discovery(record);
        List<Backend> backends = new ArrayList<>();
        for (int i = 0; i < BACKENDS; i++) {
            Backend backend = new Backend("s-" + i, Client.SENT_IDS, record, (self, request, out) -> {
                String id = request.header("x-request-id");
                Double answeredAt = answeredAtById.get(id);
                boolean unsent = answeredAt != null && request.begunAt > answeredAt + SETTLED_SECONDS;
                unsentRequests.addAndGet(unsent ? 1 : 0);
                wholeBodies.addAndGet(request.body.length == BODY_BYTES ? 1 : 0);
                record.write(self.id + " runs " + request.startLine + " with " + request.body.length + " bytes"
                    + (unsent ? ", which no client has sent this time" : ""));
                Thread.sleep(WORK_MILLIS);
                Backend.answer(out, 200, "done " + id);
            });
            backends.add(backend);
            discovery.set(backend, "active");
        }
        try (ProxyProcess proxy = new ProxyProcess("n0", record)) {
            proxy.configure(discovery.address(), Settings.LIMITS, discovery.knownList(), Settings.forProxies(2));
            proxy.start();
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                Thread client = new Thread(() -> sendLookups(proxy));
                client.start();
                clients.add(client);
            }
            Thread.sleep(WARM_UP_MILLIS);
            for (int i = 0; i < LONG_REQUESTS; i++) {
                sendAsPeer(proxy);
            }
            ending = true;
            for (Thread client : clients) {
                client.join();
            }
        }
        for (Backend backend : backends) {
            unsentRequests.addAndGet(backend.foreignRequests.size());
            backend.foreignRequests.forEach(record::say);
        }
        record.say(unsentRequests + " requests reached backends that no client had sent as requests of their own");
        record.say("the other clients got " + ownAnswers + " answers of 200 made for their requests and "
            + foreignAnswers + " made for others, and " + otherAnswers + " with another status");
        record.say(wholeBodies + " long requests reached backends with their body");
        if (ownAnswers.get() == 0 || !trouble && wholeBodies.get() == 0) {
            throw new CannotRun("hardly a request was served");
        }
        return unsentRequests.get() + foreignAnswers.get() == 0;
    }

    /** Sends short requests, one after the other, until the end. */
    private void sendLookups(ProxyProcess proxy) {
        while (!ending) {
            try (Client client = new Client(proxy)) {
                for (Message answer = new Message(); answer != null && !answer.closes() && !ending;) {
                    String id = Client.newId();
                    client.send(Client.head("GET", Settings.LOOKUP, id, Settings.LOOKUP_DEADLINE, ""));
                    record.write("a client sends request " + id);
                    answer = client.readAnswer(2_000);
                    record.write("a client's request " + id + ": "
                        + (answer == null ? "closed" : answer.startLine + " " + answer.text()));
                    count(id, answer);
                    Thread.sleep(ThreadLocalRandom.current().nextLong(2 * CLIENT_PAUSE_MILLIS));
                }
            } catch (IOException | InterruptedException e) {
                record.write("a client: " + e);
            }
        }
    }

    private void count(String id, Message answer) {
        if (answer == null || answer.status() != 200) {
            otherAnswers.incrementAndGet();
        } else if (answer.text().equals("done " + id)) {
            ownAnswers.incrementAndGet();
        } else {
            foreignAnswers.incrementAndGet();
            record.write("a client's request " + id + " is answered with 200 and \"" + answer.text() + "\"");
        }
    }

    /** Sends a short request, waits, and sends a long one whose body holds the short one's text once more. */
    private void sendAsPeer(ProxyProcess proxy) throws Exception {
        String insideId = null, inside = null;
        boolean served = false;
        for (int i = 0; i < TRIES && !served; i++) {
            insideId = Client.newId();
            inside = Client.head("GET", Settings.LOOKUP, insideId, Settings.LOOKUP_DEADLINE, "");
            served = exchange(proxy, insideId, inside) == 200;
        }
        if (!served) {
            throw new CannotRun("the peer's short requests are not served");
        }
        answeredAtById.put(insideId, record.seconds());
        String id = Client.newId();
        Thread.sleep(PEER_PAUSE_MILLIS);
        String body = inside + "x".repeat(BODY_BYTES - inside.getBytes(StandardCharsets.ISO_8859_1).length);
        String head = Client.head("POST", Settings.BOOKING, id, Settings.BOOKING_DEADLINE, "Content-Length: "
            + body.length() + "\r\n" + (trouble ? "Connection: Content-Length\r\n" : ""));
        record.write(String.format(Locale.ROOT, "the peer sends %s; its body of %d bytes begins with the text of %s", id,
            body.length(), insideId));
        exchange(proxy, id, head + body);
    }

    /** Sends a request and returns the status of its answer, 0 if there is none. */
    private int exchange(ProxyProcess proxy, String id, String text) {
        try (Client peer = new Client(proxy)) {
            peer.send(text);
            Message answer = peer.readAnswer(3_000);
            record.write("the peer's " + id + ": " + (answer == null ? "closed" : answer.startLine + " " + answer.text()));
            return answer == null ? 0 : answer.status();
        } catch (IOException e) {
            record.write("the peer's " + id + ": " + e);
            return 0;
        }
    }

    public static void main(String[] args) {
        new SmugglingTest().main();
    }
}
