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

/** Tests lists and reloads that arrive while a backend drains and still has requests. */
class ListCrossingTest {
    private static final String SERVED = Fakes.httpResponse("200 OK", "", "served"),
        LATE = Fakes.httpResponse("200 OK", "", "late"),
        HEALTH = "GET /healthz HTTP/1.1\r\nHost: app\r\n\r\n";
    /** Deadline of the held requests in seconds, long enough for a slow machine. */
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

    /** An entry with spare capacity: the backend would receive further requests if it did not drain. */
    private String first(String state) {
        return roomy(Fakes.entryJson("s-1", draining.port(), state));
    }

    private String leaving() {
        return first("leaving");
    }

    private String active() {
        return roomy(Fakes.entryJson("s-2", staying.port(), "active"));
    }

    /** Listed last: once it serves, all earlier updates have been applied. */
    private String last() {
        return roomy(Fakes.entryJson("s-3", newest.port(), "active"));
    }

    /** Starts a proxy with one request in flight at its only backend. */
    private FakeClient held() throws Exception {
        discovery.setFirstList(FakeDiscovery.listJson(1, true, first("active")));
        proxy = new Proxy(Fakes.parseConfig(Fakes.configJson(0, discovery.port(), SOCKETS, "", "")
            .replace("\"HardLimit\":5.0", "\"HardLimit\":60.0")),
            new ProcessEnvironment(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), marks, null));
        Fakes.await("status 200 of healthz", () -> {
            try (FakeClient client = new FakeClient(proxy)) {
                return client.send(HEALTH).readStatus() == 200;
            } catch (IOException e) {
                return false;
            }
        });
        FakeClient waits = new FakeClient(proxy);
        waits.send(FakeClient.postRequest("put", PATIENCE));
        Fakes.await("the request at the backend", () -> draining.requests.size() == 1);
        return waits;
    }

    /** The same, after the backend has started to drain. */
    private FakeClient drained() throws Exception {
        FakeClient waits = held();
        discovery.push(FakeDiscovery.listJson(2, false, leaving(), active()));
        awaitServed(staying);
        return waits;
    }

    /** Waits until this backend serves, and so is known. */
    private void awaitServed(FakeBackend by) {
        Fakes.await("a response of the backend", () -> {
            try (FakeClient client = new FakeClient(proxy)) {
                return client.send(FakeClient.getRequest("1.0")).readStatus() == 200 && !by.requests.isEmpty();
            } catch (IOException e) {
                return false;
            }
        });
    }

    /**
     * Waits until the last backend is known, without sending a request, which might go to an earlier
     * backend.
     */
    private void awaitLast() {
        Fakes.await("the last backend to be known", () ->
            Fakes.callConsole(proxy, "ATTACH s-3\n").startsWith("200 "));
    }

    /** Occupies all other backends, so that any backend that may receive requests gets some. */
    private void assertNothingNew() throws IOException {
        int served = 0;
        for (int round = 0; round < ROUNDS; round++) {
            served += takenByOthers();
        }
        // some may be shed, because these requests take long
        assertTrue(served > SOME * ROUNDS / 2, served + " requests served");
    }

    private int takenByOthers() throws IOException {
        held = new CountDownLatch(1);
        int before = staying.requests.size() + newest.requests.size();
        List<FakeClient> clients = new ArrayList<>();
        for (int i = 0; i < SOME; i++) {
            clients.add(new FakeClient(proxy).send(FakeClient.postRequest("put", PATIENCE)));
        }
        Fakes.await("each request to be in flight or rejected", () -> staying.requests.size()
            + newest.requests.size()
            + draining.requests.size() + clients.stream().filter(ListCrossingTest::answered).count()
            == before + 1 + SOME);
        assertEquals(1, draining.requests.size(), "requests at the draining backend");
        held.countDown();
        int served = 0;
        for (FakeClient client : clients) {
            int status = client.readStatus();
            assertTrue(status == 200 || status == 503, "unexpected status " + status);
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

    /** Checks that the request in flight finishes at the backend and that no other request reaches it. */
    private void assertDrains(FakeClient waits) throws IOException {
        assertNothingNew();
        released.countDown();
        String answer = waits.readResponse();
        assertEquals("late", answer.substring(answer.length() - 4), answer);
        waits.close();
        Fakes.await("the connection of the draining backend to close", () -> draining.openConnections.isEmpty());
        assertEquals(1, draining.requests.size(), "requests at the draining backend, without retries");
    }

    @Test
    void aWholeListThatLeavesOutADrainingBackendLeavesItsRequestsAlone() throws Exception {
        FakeClient waits = drained();
        discovery.push(FakeDiscovery.listJson(3, true, active()));
        discovery.push(FakeDiscovery.listJson(4, false, last()));
        awaitServed(newest);
        assertDrains(waits);
    }

    /** The same without a drain before: the backend is gone, even though it still answers. */
    @Test
    void aWholeListThatLeavesOutABackendThatServedLeavesItsRequestsAlone() throws Exception {
        FakeClient waits = held();
        discovery.push(FakeDiscovery.listJson(2, true, active(), last()));
        awaitServed(newest);
        assertDrains(waits);
    }

    /** A list of these entries followed by many draining backends; it is applied in many turns. */
    private String longList(int length, String... first) {
        List<String> all = new ArrayList<>(List.of(first));
        for (int i = 0; i < length; i++) {
            all.add(Fakes.entryJson("away-" + i, staying.port(), "leaving"));
        }
        return FakeDiscovery.listJson(2, true, all.toArray(new String[0]));
    }

    /** A change sent right after the list must apply after it. */
    @Test
    void aDrainToldBehindALongListStands() throws Exception {
        FakeClient waits = held();
        discovery.push(longList(LONG, active(), first("active")));
        discovery.push(FakeDiscovery.listJson(3, false, leaving()));
        discovery.push(FakeDiscovery.listJson(4, false, last()));
        awaitLast();
        assertDrains(waits);
    }

    /**
     * A read contains about 130 changes and a turn applies 256 entries, so that pending changes exceed the
     * maximum.
     */
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

    /** Members that a long list leaves out are gone, in the turns after those for the members it names. */
    @Test
    void aLongListThatLeavesOutABackendThatServedLeavesItsRequestsAlone() throws Exception {
        FakeClient waits = held();
        discovery.push(longList(LONG, active()));
        discovery.push(FakeDiscovery.listJson(3, false, last()));
        awaitLast();
        assertDrains(waits);
    }

    /** Until the first list from the new address arrives, the last state from the old one applies. */
    @Test
    void aReloadBetweenADrainAndItsEndKeepsIt(@TempDir Path folder) throws Exception {
        FakeClient waits = drained();
        try (FakeDiscovery other = new FakeDiscovery()) {
            other.rejecting = true;
            Path file = folder.resolve("config.json");
            Files.writeString(file, Fakes.configJson(0, other.port(), SOCKETS, "", ""));
            proxy.reload(file);
            Fakes.await("a failed call to the new address", () -> !other.requests.isEmpty());
            assertNothingNew();
            other.setFirstList(FakeDiscovery.listJson(1, true, leaving(), active(), last()));
            other.rejecting = false;
            awaitServed(newest);
            assertDrains(waits);
        }
    }
}
