package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.proxy.Fakes.FakeClient;
import dockrelay.proxy.Fakes.FakeDiscovery;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Messages longer than what is kept whole go on as they come, both ways. */
class StreamTest {
    private static final byte[] LONG = new byte[1 << 20];

    static {
        new Random(3).nextBytes(LONG);
    }

    /** What a backend does with a connection. */
    private interface Serving {
        void serve(Socket connection) throws IOException;
    }

    private static final class Backend extends Fakes.FakeServer {
        volatile Serving serving;

        @Override
        void serve(Socket connection) throws IOException {
            serving.serve(connection);
        }
    }

    private final FakeDiscovery discovery = new FakeDiscovery();
    private final Backend backend = new Backend();
    private final List<byte[]> bodies = new CopyOnWriteArrayList<>();
    private Proxy proxy;

    @BeforeEach
    void start() throws Exception {
        start(FakeDiscovery.listJson(2, true, Fakes.entryJson("s-1", backend.port(), "active")));
    }

    private void start(String list) throws Exception {
        discovery.setFirstList(list);
        proxy = new Proxy(Fakes.config(discovery.port(), 1024));
        Fakes.await("healthz 200", () -> {
            try (FakeClient client = new FakeClient(proxy)) {
                return client.send("GET /healthz HTTP/1.1\r\nHost: app\r\n\r\n").readStatus() == 200;
            } catch (IOException e) {
                return false;
            }
        });
    }

    @AfterEach
    void end() throws Exception {
        proxy.stop();
        backend.close();
        discovery.close();
    }

    private static String head(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.indexOf("\r\n\r\n") < 0) {
            text.append((char) next(in));
        }
        return text.toString().toLowerCase();
    }

    private static int next(InputStream in) throws IOException {
        int read = in.read();
        if (read < 0) {
            throw new EOFException();
        }
        return read;
    }

    /** A body by the head before it; one that is cut off throws. */
    private static byte[] body(InputStream in, String head) throws IOException {
        int at = head.indexOf("content-length: ");
        if (at >= 0) {
            return whole(in, Integer.parseInt(head.substring(at + 16, head.indexOf('\r', at))));
        }
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        int size = -1;
        while (size != 0) {
            StringBuilder line = new StringBuilder();
            while (line.indexOf("\r\n") < 0) {
                line.append((char) next(in));
            }
            size = Integer.parseInt(line.toString().trim(), 16);
            all.write(whole(in, size));
            whole(in, 2);
        }
        return all.toByteArray();
    }

    private static byte[] whole(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException();
        }
        return bytes;
    }

    private static void write(Socket to, String text) throws IOException {
        to.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    private static void chunked(OutputStream out, byte[] bytes, int piece) throws IOException {
        for (int at = 0; at < bytes.length; at += piece) {
            int size = Math.min(piece, bytes.length - at);
            out.write((Integer.toHexString(size) + ";x=y\r\n").getBytes(StandardCharsets.UTF_8));
            out.write(bytes, at, size);
            out.write("\r\n".getBytes(StandardCharsets.UTF_8));
        }
    }

    private void keepBodies() {
        backend.serving = connection -> {
            while (true) {
                bodies.add(body(connection.getInputStream(), head(connection.getInputStream())));
                write(connection, Fakes.httpResponse("200 OK", "", "a rate"));
            }
        };
    }

    private static String post(String framing) {
        return FakeClient.request("POST", "save", "X-Timeout: 4\r\nIdempotency-Key: k\r\n" + framing);
    }

    @ParameterizedTest
    @ValueSource(ints = {100, 7_000, 500_000})
    void aLongBodyInPiecesOfAnySizeArrivesWholeAndItsConnectionGoesOn(int piece) throws Exception {
        keepBodies();
        try (FakeClient client = new FakeClient(proxy)) {
            client.send(post("Transfer-Encoding: chunked\r\n"));
            chunked(client.socket.getOutputStream(), LONG, piece);
            assertEquals(200, client.send("0\r\nTrailing: x\r\n\r\n").readStatus());
            client.send(post("Expect: 100-continue\r\nContent-Length: " + LONG.length + "\r\n"));
            assertEquals(100, client.readStatus());
            client.socket.getOutputStream().write(LONG);
            assertEquals(200, client.readStatus());
            assertEquals(200, client.send(post("Content-Length: 2\r\n") + "ab").readStatus());
        }
        assertEquals(3, bodies.size());
        assertArrayEquals(LONG, bodies.get(0));
        assertArrayEquals(LONG, bodies.get(1));
    }

    @Test
    void aLongBodyThatNoBackendGotAnythingOfGoesToAnother() throws Exception {
        keepBodies();
        ServerSocket down = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        down.close(); // its port is nobody's now
        discovery.push(FakeDiscovery.listJson(3, true, Fakes.entryJson("s-2", down.getLocalPort(), "active")));
        discovery.push(FakeDiscovery.listJson(4, false, Fakes.entryJson("s-1", backend.port(), "active")));
        for (int i = 0; i < 8; i++) {
            try (FakeClient client = new FakeClient(proxy)) {
                client.send(post("Content-Length: " + LONG.length + "\r\n"));
                client.socket.getOutputStream().write(LONG);
                assertEquals(200, client.readStatus());
            }
        }
        assertEquals(8, bodies.size());
    }

    @Test
    void aBodyThatBreaksOffNeverReachesABackendAsAWholeOne() throws Exception {
        CountDownLatch ended = new CountDownLatch(2);
        backend.serving = connection -> {
            try {
                bodies.add(body(connection.getInputStream(), head(connection.getInputStream())));
            } finally {
                ended.countDown();
            }
        };
        try (FakeClient client = new FakeClient(proxy)) {
            client.send(post("Transfer-Encoding: chunked\r\n"));
            chunked(client.socket.getOutputStream(), LONG, 9_000);
            client.send("no size\r\n");
            assertEquals(400, client.readStatus());
        }
        try (FakeClient client = new FakeClient(proxy)) {
            client.send(post("Content-Length: " + 2 * LONG.length + "\r\n"));
            client.socket.getOutputStream().write(LONG);
        }
        ended.await();
        assertEquals(0, bodies.size());
    }

    @ParameterizedTest
    @ValueSource(strings = {"Content-Length", "Transfer-Encoding"})
    void aLongAnswerIsPassedOnBeforeItsEndAndUnchanged(String framing) throws Exception {
        CountDownLatch firstBytes = new CountDownLatch(1);
        boolean chunks = framing.startsWith("T");
        backend.serving = connection -> {
            while (true) {
                head(connection.getInputStream());
                OutputStream out = connection.getOutputStream();
                write(connection, "HTTP/1.1 200 OK\r\n" + framing + ": " + (chunks ? "chunked" : LONG.length)
                    + "\r\n\r\n");
                byte[] first = Arrays.copyOf(LONG, 100_000);
                byte[] rest = Arrays.copyOfRange(LONG, 100_000, LONG.length);
                if (chunks) {
                    chunked(out, first, 10_000);
                } else {
                    out.write(first);
                }
                try {
                    firstBytes.await();
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
                if (chunks) {
                    chunked(out, rest, 10_000);
                    write(connection, "0\r\n\r\n");
                } else {
                    out.write(rest);
                }
            }
        };
        try (FakeClient client = new FakeClient(proxy)) {
            InputStream in = client.socket.getInputStream();
            String head = head(client.send(FakeClient.postRequest("put", "4.0")).socket.getInputStream());
            assertTrue(head.startsWith("http/1.1 200"), head);
            firstBytes.countDown();
            assertArrayEquals(LONG, body(in, head));
            long since = System.nanoTime();
            Fakes.await("it is settled", () -> System.nanoTime() - since > BackendConnectionPool.SETTLED_NANOS);
            head = head(client.send(FakeClient.postRequest("put", "4.0")).socket.getInputStream());
            assertArrayEquals(LONG, body(in, head));
        }
        assertEquals(1, backend.openConnections.size(), "both went over one connection");
    }

    /** The client can tell, and what may have run is not sent again. */
    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 1048577", "Transfer-Encoding: chunked"})
    void aLongAnswerThatBreaksOffIsNotWhole(String framing) throws Exception {
        List<String> asked = new CopyOnWriteArrayList<>();
        backend.serving = connection -> {
            asked.add(head(connection.getInputStream()));
            write(connection, "HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n");
            if (framing.startsWith("T")) {
                chunked(connection.getOutputStream(), LONG, 10_000);
            } else {
                connection.getOutputStream().write(LONG);
            }
        };
        try (FakeClient client = new FakeClient(proxy)) {
            InputStream in = client.socket.getInputStream();
            String head = head(client.send(FakeClient.getRequest("4.0")).socket.getInputStream());
            assertThrows(IOException.class, () -> body(in, head));
        }
        assertEquals(1, asked.size());
    }

    /** Where the head says so, the end of the connection is the body's; a reset is none. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void anAnswerUntilTheEndOfItsConnectionIsWholeUnlessItIsReset(boolean reset) throws Exception {
        backend.serving = connection -> {
            head(connection.getInputStream());
            write(connection, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nuntil the end");
            if (reset) {
                connection.setSoLinger(true, 0);
            }
        };
        try (FakeClient client = new FakeClient(proxy)) {
            String answer = client.send(FakeClient.postRequest("put", "4.0")).readResponse();
            assertTrue(answer.startsWith(reset ? "HTTP/1.1 502" : "HTTP/1.1 200"), answer);
            assertEquals(!reset, answer.endsWith("\r\n\r\nuntil the end"), answer);
        }
    }

    /** One that is no good answer is not passed on, however long. */
    @Test
    void aLongErrorIsAFailedAttempt() throws Exception {
        backend.serving = connection -> {
            head(connection.getInputStream());
            write(connection, "HTTP/1.1 500 Oops\r\nContent-Length: " + LONG.length + "\r\n\r\n");
            connection.getOutputStream().write(LONG);
        };
        try (FakeClient client = new FakeClient(proxy)) {
            assertEquals(502, client.send(FakeClient.postRequest("put", "4.0")).readStatus());
        }
    }

    @Test
    void theAbsoluteFormIsUnderstood() throws Exception {
        List<String> asked = new CopyOnWriteArrayList<>();
        backend.serving = connection -> {
            asked.add(head(connection.getInputStream()));
            write(connection, Fakes.httpResponse("200 OK", "", "a rate"));
        };
        try (FakeClient client = new FakeClient(proxy)) {
            String request = FakeClient.getRequest("4.0").replace("GET /look", "GET http://app.svc/look");
            assertEquals(200, client.send(request).readStatus());
        }
        assertTrue(asked.get(0).startsWith("get /look/thing http/1.1"), asked.get(0));
    }

    private static HttpContent part(String text) {
        return new DefaultHttpContent(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    }

    /** A source that is told when to stop, and a sink that can take so much. */
    private static final class Ends implements Body.Source, Body.Sink {
        final List<Boolean> flows = new ArrayList<>();
        final StringBuilder got = new StringBuilder();

        @Override
        public void flow(boolean on) {
            flows.add(on);
        }

        @Override
        public void dropped() {
            got.append("[dropped]");
        }

        @Override
        public void part(HttpContent part) {
            got.append(part.content().toString(StandardCharsets.UTF_8));
            part.release();
        }

        @Override
        public void broken() {
            got.append("[broken]");
        }
    }

    @Test
    void aBodyWithoutASinkStopsItsSourceAndCanBeHadAnewUntilMoreWentOut() {
        Ends source = new Ends();
        Ends first = new Ends();
        Ends second = new Ends();
        Body body = new Body(source, 6);
        body.add(part("abc"));
        assertEquals(List.of(), source.flows);
        body.add(part("def"));
        assertEquals(List.of(false), source.flows);
        body.to(first);
        assertEquals(List.of(false, true), source.flows);
        body.leave(first);
        assertTrue(body.isReplayable());
        body.to(second);
        body.add(new DefaultLastHttpContent(Unpooled.copiedBuffer("g", StandardCharsets.UTF_8)));
        assertTrue(!body.isReplayable() && body.isWhole());
        body.fail();
        assertEquals("abcdef", first.got.toString());
        assertEquals("abcdefg", second.got.toString());
    }

    @Test
    void aBodyThatFailsTellsItsSinkAndOneThatNobodyWantsItsSource() {
        Ends source = new Ends();
        Ends sink = new Ends();
        Body failed = new Body(source, 6);
        failed.to(sink);
        failed.add(part("a"));
        failed.fail();
        assertEquals("a[broken]", sink.got.toString());
        new Body(source, 6).drop();
        assertEquals("[dropped]", source.got.toString());
    }
}
