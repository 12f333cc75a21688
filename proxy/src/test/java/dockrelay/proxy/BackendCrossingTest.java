package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.Balancer;
import dockrelay.Balancer.Outcome;
import dockrelay.Balancer.Request;
import dockrelay.proxy.Fakes.FakeBackend;
import dockrelay.proxy.Fakes.FakeClient;
import dockrelay.proxy.Fakes.Deaf;
import dockrelay.proxy.Fakes.FakeDiscovery;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Answers, ends and late connections of backends that cross what the proxy does just then. */
class BackendCrossingTest {
    private static final long NEVER = Long.MAX_VALUE / 4;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final List<FullHttpResponse> answers = new CopyOnWriteArrayList<>();
    private final List<Outcome> outcomes = new CopyOnWriteArrayList<>();
    private final FakeBackend backend = new FakeBackend(request -> Fakes.httpResponse("200 OK", "", "one"));
    private final FakeDiscovery discovery = new FakeDiscovery();
    private BackendConnectionPool pool;
    private RequestTable table;
    private Proxy proxy;

    @AfterEach
    void end() throws IOException {
        group.shutdownGracefully();
        if (proxy != null) {
            proxy.stop();
        }
        backend.close();
        discovery.close();
    }

    /**
     * Parts of a proxy with a made-up module, connections that may take long to come up, and a short
     * window.
     */
    private void parts(long settledNanos, BiConsumer<String, Object[]> does) {
        pool = new BackendConnectionPool(new Bootstrap().group(group).channel(NioSocketChannel.class), loop, 8,
            600_000_000, 15_000_000, new Counters(), new BufferLimit(() -> 0, 144), settledNanos);
        Config config = Fakes.parseConfig(Fakes.configJson(0, 1, 1024, "", "")
            .replace("\"MemorySpan\":5.0", "\"MemorySpan\":0.2"));
        table = new RequestTable(loop, pool, () -> System.nanoTime() / 1000, config, new Counters());
        Balancer made = (Balancer) java.lang.reflect.Proxy.newProxyInstance(getClass().getClassLoader(),
            new Class<?>[] {Balancer.class}, (self, method, arguments) -> {
                if ("onOutcome".equals(method.getName())) {
                    outcomes.add((Outcome) arguments[4]);
                }
                does.accept(method.getName(), arguments);
                return null;
            });
        table.attachBalancer(made, () -> { }, message -> { });
    }

    private void learn(long id, int port, boolean ready) {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
        loop.submit(() -> pool.learn(Fakes.member(id, address, ready))).syncUninterruptibly();
    }

    private void take(String id, String spec) {
        takeInItsTurn(id, spec).syncUninterruptibly();
    }

    private Future<?> takeInItsTurn(String id, String spec) {
        FullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST,
            "/" + spec + "/x");
        return loop.submit(() -> table.take(new Request(id, spec, null, null, 3_600_000_000L, 0, false),
            message, answers::add));
    }

    private static void awaitNoBytes(Socket connection) throws IOException {
        assertEquals(-1, connection.getInputStream().read(), "no byte of it is sent");
    }

    /** A second answer may come some milliseconds later, and would pass for the next request's. */
    @Test
    void aConnectionThatHasJustAnsweredIsLeftAloneForAMoment() throws Exception {
        for (long settled : new long[] {NEVER, 0}) {
            outcomes.clear();
            parts(settled, (event, arguments) -> {
                if ("onRequest".equals(event)) {
                    table.send(((Request) arguments[1]).id(), 1, 0);
                }
            });
            learn(1, backend.port(), true);
            for (int i = 1; i <= 3; i++) {
                int count = i;
                take("r" + i, "save");
                Fakes.await("its answer", () -> outcomes.size() == count);
            }
            assertEquals(List.of(Outcome.OK, Outcome.OK, Outcome.OK), outcomes);
            int connections = backend.openConnections.size();
            assertEquals(settled == 0 ? 1 : 3, connections);
            loop.submit(() -> pool.hangUp(1)).syncUninterruptibly();
            Fakes.await("they are closed", () -> backend.openConnections.isEmpty());
        }
    }

    /** What is kept of each grows with the list, and so does what each look at all of them costs. */
    @Test
    void onlyOfBackendsThatAreSentToMoreIsKeptThanWhereTheyAre() throws Exception {
        parts(0, (event, arguments) -> {
            if ("onRequest".equals(event)) {
                table.send(((Request) arguments[1]).id(), 1, 0);
            }
        });
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), backend.port());
        List<RequestTable.ListedBackend> all = new ArrayList<>();
        for (int id = 1; id <= 2_000; id++) {
            all.add(Fakes.member(id, address, true));
        }
        loop.submit(() -> pool.learnAll(all)).syncUninterruptibly();
        assertEquals(0, pool.used());
        take("r1", "save");
        Fakes.await("its answer", () -> outcomes.size() == 1);
        assertEquals(1, loop.submit(pool::used).get());
        loop.submit(() -> pool.learnAll(all.subList(1, 2_000))).syncUninterruptibly();
        Fakes.await("its connection is closed", () -> backend.openConnections.isEmpty());
        Fakes.await("it is forgotten", () -> used() == 0);
    }

    private int used() {
        return asked(pool::used);
    }

    private int size() {
        return asked(pool::connectionCount);
    }

    private int asked(Callable<Integer> what) {
        try {
            return loop.submit(what).get();
        } catch (InterruptedException | ExecutionException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The window for repeats is over by the time at which the connection for the repeat is up. */
    @Test
    void aRepeatThatComesUpAfterTheWindowIsNotSent() throws Exception {
        AtomicLong sentAt = new AtomicLong();
        try (Deaf deaf = new Deaf()) {
            parts(0, (event, arguments) -> {
                if ("onRequest".equals(event)) {
                    sentAt.set(System.nanoTime());
                    table.send("r", 1, 0);
                } else if (outcomes.size() == 1) {
                    table.send("r", 2, 0);
                } else if (outcomes.size() == 2) {
                    table.fail("r");
                }
            });
            backend.responder = request -> ""; // closed after the request: it may have run
            learn(1, backend.port(), true);
            learn(2, deaf.port(), true);
            take("r", "save");
            Fakes.await("the first attempt's end", () -> outcomes.contains(Outcome.RESET));
            Fakes.await("the window is over", () -> System.nanoTime() - sentAt.get() > 300_000_000L);
            try (Socket late = deaf.open()) {
                awaitNoBytes(late);
            }
            Fakes.await("the answer", () -> !answers.isEmpty());
            assertEquals(List.of(Outcome.RESET, Outcome.NOT_SENT), outcomes);
            assertEquals(502, answers.get(0).status().code());
        }
    }

    /** What a backend is told to have is what the client still waits, not what it did at the decision. */
    @Test
    void anAttemptWhoseConnectionComesUpLateIsToldWhatIsLeftThen() throws Exception {
        AtomicLong decidedAt = new AtomicLong();
        try (Deaf deaf = new Deaf()) {
            parts(0, (event, arguments) -> {
                if ("onRequest".equals(event)) {
                    table.send("r", 1, 20_000_000);
                    decidedAt.set(System.nanoTime()); // its time runs from before this on
                } else {
                    table.fail("r");
                }
            });
            learn(1, deaf.port(), true);
            take("r", "save");
            Fakes.await("it has waited", () -> decidedAt.get() != 0
                && System.nanoTime() - decidedAt.get() > 50_000_000L);
            long waited = System.nanoTime() - decidedAt.get();
            try (Socket late = deaf.open()) {
                String told = new BufferedReader(new InputStreamReader(late.getInputStream(),
                    StandardCharsets.US_ASCII)).lines().takeWhile(line -> !line.isEmpty())
                    .filter(line -> line.startsWith("X-Timeout: ")).findFirst().orElseThrow();
                double seconds = Double.parseDouble(told.substring("X-Timeout: ".length()));
                assertTrue(seconds <= 20 - waited / 1e9 + 1e-3 && seconds > 0, told + " after " + waited);
            }
            Fakes.await("nothing is in hand", () -> table.inFlightCount() == 0);
        }
    }

    @Test
    void aConnectionThatComesUpAfterADrainWasToldIsNotUsed() throws Exception {
        try (Deaf deaf = new Deaf()) {
            parts(0, (event, arguments) -> {
                if ("onRequest".equals(event)) {
                    table.send("r", 1, 0);
                } else {
                    table.refuse("r", 0);
                }
            });
            learn(1, deaf.port(), true);
            take("r", "put");
            learn(1, deaf.port(), false);
            try (Socket late = deaf.open()) {
                awaitNoBytes(late);
            }
            Fakes.await("the answer", () -> !answers.isEmpty());
            assertEquals(List.of(Outcome.CONNECT_FAILURE), outcomes);
            assertEquals(503, answers.get(0).status().code());
        }
    }

    /**
     * The loser waits for a connection as the winner answers, and the settings do not let it be called
     * off.
     */
    @Test
    void aCopyThatHasNotBegunEndsWithTheAnswer() throws Exception {
        try (Deaf deaf = new Deaf()) {
            parts(0, (event, arguments) -> {
                if ("onRequest".equals(event)) {
                    table.send("r", 1, 0);
                    table.send("r", 2, 0);
                }
            });
            learn(1, deaf.port(), true);
            learn(2, backend.port(), true);
            take("r", "save");
            Fakes.await("nothing is in hand", () -> table.inFlightCount() == 0);
            assertEquals(List.of(Outcome.OK, Outcome.CANCELLED), outcomes, "the winner is told first");
            assertEquals(200, answers.get(0).status().code());
        }
    }

    private void start() throws IOException {
        discovery.setFirstList(FakeDiscovery.listJson(2, true, Fakes.entryJson("s-1", backend.port(), "active")));
        proxy = new Proxy(Fakes.config(discovery.port(), 1024));
    }

    /** It goes on for ever, a little at a time: its client is not to wait for an end that never comes. */
    @Test
    void anAnswerWithoutEndIsBrokenOffWhenItsTimeIsUp() throws Exception {
        backend.responder = request -> {
            try {
                for (Socket open : backend.openConnections) {
                    open.getOutputStream().write(("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                        .getBytes(StandardCharsets.UTF_8));
                    while (true) {
                        open.getOutputStream().write("1\r\nx\r\n".getBytes(StandardCharsets.UTF_8));
                        Thread.sleep(20);
                    }
                }
            } catch (IOException e) {
                return "";
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
            return "";
        };
        start();
        try (FakeClient client = new FakeClient(proxy)) {
            client.send(FakeClient.postRequest("put", "0.8"));
            assertThrows(IOException.class, () -> {
                while (client.socket.getInputStream().read() >= 0) {
                    continue;
                }
            }, "a reset, so that it does not pass for whole");
        }
        Fakes.await("its attempt is over as well", () -> proxy.inFlightRequestCount() == 0);
    }

    /** An answer may last until its connection ends, but a reset is no end. */
    @Test
    void anAnswerWithoutALengthThatIsResetIsNotWhole() throws Exception {
        backend.responder = request -> {
            try {
                Socket open = backend.openConnections.get(0);
                open.getOutputStream().write(("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf")
                    .getBytes(StandardCharsets.UTF_8));
                open.setSoLinger(true, 0);
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
            return "";
        };
        start();
        try (FakeClient client = new FakeClient(proxy)) {
            assertEquals(502, client.send(FakeClient.postRequest("put", "4.0")).readStatus());
        }
    }

    /** Both lie there as the loop comes to look: one final answer, and the next request has its own. */
    @Test
    void ofAnAnswerAndADeadlineThatComeTogetherOneIsTheAnswer() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        backend.responder = request -> {
            try {
                answer.await();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
            return Fakes.httpResponse("200 OK", "", "one");
        };
        start();
        try (FakeClient client = new FakeClient(proxy)) {
            client.send(FakeClient.postRequest("put", "0.4"));
            Fakes.await("it is out", () -> backend.requests.size() == 1);
            long due = System.nanoTime() + 400_000_000L;
            Fakes.whileHeld(proxy.eventLoop(), () -> { }, () -> {
                answer.countDown();
                Fakes.await("the deadline", () -> System.nanoTime() > due);
            });
            int status = client.readStatus();
            assertTrue(status == 200 || status == 504 || status == 502, status + "");
            backend.responder = request -> Fakes.httpResponse("200 OK", "", "two");
            String next = client.send(FakeClient.postRequest("save", "4.0")).readResponse();
            assertTrue(next.endsWith("two"), next);
        }
    }

    /** Parts whose one backend has answered once, and keeps the connection. */
    private void keptOne() {
        parts(0, (event, arguments) -> {
            if ("onRequest".equals(event)) {
                table.send(((Request) arguments[1]).id(), 1, 0);
            } else if ("onOutcome".equals(event) && arguments[4] != Outcome.OK) {
                table.fail((String) arguments[1]);
            }
        });
        learn(1, backend.port(), true);
        take("r1", "put");
        Fakes.await("its answer", () -> outcomes.size() == 1);
    }

    private void closeKept() throws IOException {
        assertEquals(1, backend.openConnections.size());
        backend.openConnections.get(0).close();
    }

    /** The backend's end lies there unread as its connection is taken: it may have run, and failed. */
    @Test
    void aConnectionWhoseEndLiesUnreadMayHaveRunWhatIsWrittenToIt() throws Exception {
        keptOne();
        Fakes.whileHeld(loop, () -> { }, () -> {
            closeKept();
            takeInItsTurn("r2", "put"); // in the held turn still, before a socket is looked at
        });
        Fakes.await("its answer", () -> answers.size() == 2);
        assertEquals(List.of(Outcome.OK, Outcome.RESET), outcomes);
        assertEquals(502, answers.get(1).status().code());
        assertEquals(1, backend.requests.size());
    }

    /** It was read by then: what is sent goes out on a connection of its own, and runs once. */
    @Test
    void aConnectionWhoseEndWasReadIsNotTaken() throws Exception {
        keptOne();
        closeKept();
        Fakes.await("its end is read", () -> size() == 0);
        take("r2", "put");
        Fakes.await("its answer", () -> answers.size() == 2);
        assertEquals(List.of(Outcome.OK, Outcome.OK), outcomes);
        assertEquals(200, answers.get(1).status().code());
        assertEquals(2, backend.requests.size());
    }
}
