package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.proxy.Fakes.FakeBackend;
import dockrelay.proxy.Fakes.FakeClient;
import dockrelay.proxy.Fakes.FakeDiscovery;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Lists and reloads that come while a backend drains and still has requests. */
class ListCrossingTest {
    private static final String SERVED = Fakes.httpResponse("200 OK", "", "served"),
        LATE = Fakes.httpResponse("200 OK", "", "late"),
        HEALTH = "GET /healthz HTTP/1.1\r\nHost: app\r\n\r\n";
    /** In seconds: the time in which a request may be held, however slow the machine is. */
    private static final String PATIENCE = "60.0";
    private static final int SOCKETS = 1024, SOME = 4, ROUNDS = 10, LONG = 3_000, LONGER = 20_000;

    private final FakeDiscovery discovery = new FakeDiscovery();
    private final CountDownLatch released = new CountDownLatch(1);
    private final FakeBackend draining = new FakeBackend(request -> {
        try {
            released.await();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
        return LATE;
    });
    private volatile CountDownLatch held = new CountDownLatch(0);
    private final FakeBackend staying = new FakeBackend(this::served), newest = new FakeBackend(this::served);
    @TempDir
    private Path marks;
    private Proxy proxy;

    private String served(String request) {
        try {
            held.await();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
        return SERVED;
    }

    @AfterEach
    void end() throws Exception {
        released.countDown();
        held.countDown();
        if (proxy != null) {
            proxy.stop();
        }
        draining.close();
        staying.close();
        newest.close();
        discovery.close();
    }

    private static String roomy(String entry) {
        return entry.replace("\"cell\":1,", "\"cell\":64,");
    }

    /** With room for more than the request that it has: it would be sent to if it did not drain. */
    private String first(String state) {
        return roomy(Fakes.entryJson("s-1", draining.port(), state));
    }

    private String leaving() {
        return first("leaving");
    }

    private String active() {
        return roomy(Fakes.entryJson("s-2", staying.port(), "active"));
    }

    /** Told last, so that what it serves shows that all before was taken. */
    private String last() {
        return roomy(Fakes.entryJson("s-3", newest.port(), "active"));
    }

    /** A proxy with one request that the only backend has in hand. */
    private FakeClient held() throws Exception {
        discovery.setFirstList(FakeDiscovery.listJson(1, true, first("active")));
        proxy = new Proxy(Fakes.parseConfig(Fakes.configJson(0, discovery.port(), SOCKETS, "", "")
            .replace("\"HardLimit\":5.0", "\"HardLimit\":60.0")),
            new ProcessEnvironment(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), marks, null));
        Fakes.await("healthz 200", () -> {
            try (FakeClient client = new FakeClient(proxy)) {
                return client.send(HEALTH).readStatus() == 200;
            } catch (IOException e) {
                return false;
            }
        });
        FakeClient waits = new FakeClient(proxy);
        waits.send(FakeClient.postRequest("put", PATIENCE));
        Fakes.await("it has the request", () -> draining.requests.size() == 1);
        return waits;
    }

    /** The same, and the backend drains from then on. */
    private FakeClient drained() throws Exception {
        FakeClient waits = held();
        discovery.push(FakeDiscovery.listJson(2, false, leaving(), active()));
        awaitServed(staying);
        return waits;
    }

    /** This one is known. */
    private void awaitServed(FakeBackend by) {
        Fakes.await("it serves", () -> {
            try (FakeClient client = new FakeClient(proxy)) {
                return client.send(FakeClient.getRequest("1.0")).readStatus() == 200 && !by.requests.isEmpty();
            } catch (IOException e) {
                return false;
            }
        });
    }

    /** The last one is known; no request is sent for it, which might go to whoever is there before. */
    private void awaitLast() {
        Fakes.await("the last one is known", () -> Fakes.callConsole(proxy, "ATTACH s-3\n").startsWith("200 "));
    }

    /** All others have something in hand, so that whoever may be sent to is. */
    private void assertNothingNew() throws IOException {
        int served = 0;
        for (int round = 0; round < ROUNDS; round++) {
            served += takenByOthers();
        }
        assertTrue(served > SOME * ROUNDS / 2, served + " served"); // it may shed some, as these take long
    }

    private int takenByOthers() throws IOException {
        held = new CountDownLatch(1);
        int before = staying.requests.size() + newest.requests.size();
        List<FakeClient> clients = new ArrayList<>();
        for (int i = 0; i < SOME; i++) {
            clients.add(new FakeClient(proxy).send(FakeClient.postRequest("put", PATIENCE)));
        }
        Fakes.await("all are in hand, or turned away", () -> staying.requests.size() + newest.requests.size()
            + draining.requests.size() + clients.stream().filter(ListCrossingTest::answered).count()
            == before + 1 + SOME);
        assertEquals(1, draining.requests.size(), "nothing new");
        held.countDown();
        int served = 0;
        for (FakeClient client : clients) {
            int status = client.readStatus();
            assertTrue(status == 200 || status == 503, "answered by " + status);
            served += status == 200 ? 1 : 0;
            client.close();
        }
        return served;
    }

    private static boolean answered(FakeClient client) {
        try {
            return client.socket.getInputStream().available() > 0;
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** What is under way ends there, and nothing new comes. */
    private void assertDrains(FakeClient waits) throws IOException {
        assertNothingNew();
        released.countDown();
        String answer = waits.readResponse();
        assertEquals("late", answer.substring(answer.length() - 4), answer);
        waits.close();
        Fakes.await("its connection is closed", () -> draining.openConnections.isEmpty());
        assertEquals(1, draining.requests.size(), "nothing new, and nothing twice");
    }

    @Test
    void aWholeListThatLeavesOutADrainingBackendLeavesItsRequestsAlone() throws Exception {
        FakeClient waits = drained();
        discovery.push(FakeDiscovery.listJson(3, true, active()));
        discovery.push(FakeDiscovery.listJson(4, false, last()));
        awaitServed(newest);
        assertDrains(waits);
    }

    /** The same with no word of a drain before: it is gone, also where it still answers. */
    @Test
    void aWholeListThatLeavesOutABackendThatServedLeavesItsRequestsAlone() throws Exception {
        FakeClient waits = held();
        discovery.push(FakeDiscovery.listJson(2, true, active(), last()));
        awaitServed(newest);
        assertDrains(waits);
    }

    /** These and many that nothing is sent to: it is applied in many turns. */
    private String longList(int length, String... first) {
        List<String> all = new ArrayList<>(List.of(first));
        for (int i = 0; i < length; i++) {
            all.add(Fakes.entryJson("away-" + i, staying.port(), "leaving"));
        }
        return FakeDiscovery.listJson(2, true, all.toArray(new String[0]));
    }

    /** What is said right behind it counts after it. */
    @Test
    void aDrainToldBehindALongListStands() throws Exception {
        FakeClient waits = held();
        discovery.push(longList(LONG, active(), first("active")));
        discovery.push(FakeDiscovery.listJson(3, false, leaving()));
        discovery.push(FakeDiscovery.listJson(4, false, last()));
        awaitLast();
        assertDrains(waits);
    }

    /** A read brings some 130 changes and a turn applies 256 entries, so that more waits than may. */
    @Test
    void whatIsSaidFasterThanItIsAppliedWaitsInItsOrder() throws Exception {
        FakeClient waits = held();
        int version = 2;
        StringBuilder all = new StringBuilder(longList(LONGER, active(), first("active"))).append('\n');
        for (int i = 0; i < 2 * ListApplier.MOST_WAITING; i++) {
            String entry = i == ListApplier.MOST_WAITING ? leaving()
                : Fakes.entryJson("away-" + i, staying.port(), "left");
            all.append(FakeDiscovery.listJson(++version, false, entry)).append('\n');
        }
        discovery.push(all.append(FakeDiscovery.listJson(++version, false, last())).toString());
        awaitLast();
        assertDrains(waits);
    }

    /** And what a long list leaves out is gone, in the turns after those that it names. */
    @Test
    void aLongListThatLeavesOutABackendThatServedLeavesItsRequestsAlone() throws Exception {
        FakeClient waits = held();
        discovery.push(longList(LONG, active()));
        discovery.push(FakeDiscovery.listJson(3, false, last()));
        awaitLast();
        assertDrains(waits);
    }

    /** From the reload to the new address's first list goes by what the old one said. */
    @Test
    void aReloadBetweenADrainAndItsEndKeepsIt(@TempDir Path folder) throws Exception {
        FakeClient waits = drained();
        try (FakeDiscovery other = new FakeDiscovery()) {
            other.rejecting = true;
            Path file = folder.resolve("config.json");
            Files.writeString(file, Fakes.configJson(0, other.port(), SOCKETS, "", ""));
            proxy.reload(file);
            Fakes.await("asked at the new address, in vain", () -> !other.requests.isEmpty());
            assertNothingNew();
            other.setFirstList(FakeDiscovery.listJson(1, true, leaving(), active(), last()));
            other.rejecting = false;
            awaitServed(newest);
            assertDrains(waits);
        }
    }
}
