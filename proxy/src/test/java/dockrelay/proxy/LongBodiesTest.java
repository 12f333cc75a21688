package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dockrelay.proxy.Fakes.FakeClient;
import dockrelay.proxy.Fakes.FakeDiscovery;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Bodies that were read ahead filled the memory, so that answers that had begun stood still and were cut. */
class LongBodiesTest {
    private static final int MEMORY_MEGABYTES = 32;
    private static final int UPLOAD_COUNT = 40, UPLOAD_BYTES = 3_000_000;
    private static final int ANSWER_BYTES = 6_000_000, ANSWER_BYTES_PER_SECOND = 2_000_000;
    /** Holding back the rest of an answer for so long loses the request. */
    private static final long MAX_GAP_MILLIS = 2_000;
    private static final int PATIENCE_MILLIS = 15_000;
    private static final int MODERATE_BYTES = 250_000;
    private static final double BUDGET_SECONDS = 2.0, TOLD_SLACK_SECONDS = 0.15;
    /** Longer than the time for which a client counts as present. */
    private static final long BLOCKED_MILLIS = 150;

    private final FakeDiscovery discovery = new FakeDiscovery();
    private final PacedBackend backend = new PacedBackend();
    private final ExecutorService clients = Executors.newCachedThreadPool();
    private Proxy proxy;

    LongBodiesTest() throws IOException {
        // the backend opens a socket
    }

    @AfterEach
    void tearDown() throws Exception {
        clients.shutdownNow();
        backend.close();
        proxy.stop();
        discovery.close();
    }

    private void start() throws Exception {
        discovery.setFirstList(FakeDiscovery.listJson(2, true,
            Fakes.entryJson("s-1", backend.port(), "active")));
        proxy = new Proxy(Fakes.parseConfig(Fakes.configJson(0, discovery.port(), 1024, "", "")
            .replace("\"sockets\":1024", "\"sockets\":1024,\"memory_mb\":" + MEMORY_MEGABYTES)));
        Fakes.awaitReady(proxy);
    }

    /** Reads a long answer; returns its bytes and its longest pause in milliseconds. */
    private long[] download() throws IOException {
        try (FakeClient client = new FakeClient(proxy)) {
            client.send(FakeClient.getRequest("4.0").replace("/look/thing", "/look/long-" + ANSWER_BYTES));
            InputStream in = client.socket.getInputStream();
            byte[] buffer = new byte[65_536];
            long count = 0, longestGapNanos = 0, lastNanos = System.nanoTime();
            int read = in.read(buffer);
            while (count < ANSWER_BYTES && read >= 0) {
                count += read;
                longestGapNanos = Math.max(longestGapNanos, System.nanoTime() - lastNanos);
                lastNanos = System.nanoTime();
                read = count < ANSWER_BYTES ? in.read(buffer) : 0;
            }
            return new long[] {count, TimeUnit.NANOSECONDS.toMillis(longestGapNanos)};
        }
    }

    /** Writes a long body without a pause; returns the status of the answer, or 0 without one. */
    private int upload(Socket connected) throws IOException {
        try (FakeClient client = new FakeClient(connected, PATIENCE_MILLIS)) {
            Future<?> writer = clients.submit(() -> client.send(FakeClient.request("POST", "save",
                "X-Timeout: 2.0\r\nIdempotency-Key: k\r\nContent-Length: " + UPLOAD_BYTES + "\r\n")
                + "x".repeat(UPLOAD_BYTES)));
            int status = client.readStatus();
            writer.cancel(true);
            return status;
        }
    }

    /** Writes a body that the kernels hold, notes when that was done, and reads the answer. */
    private void uploadAndNote(Socket connected, Map<String, Long> writtenNanos) throws IOException {
        String head = FakeClient.request("POST", "save", "X-Timeout: " + BUDGET_SECONDS
            + "\r\nIdempotency-Key: k\r\nContent-Length: " + MODERATE_BYTES + "\r\n");
        int start = head.indexOf("X-Request-ID: ") + 14;
        try (FakeClient client = new FakeClient(connected, PATIENCE_MILLIS)) {
            client.send(head + "x".repeat(MODERATE_BYTES));
            writtenNanos.put(head.substring(start, head.indexOf('\r', start)), System.nanoTime());
            client.readStatus();
        }
    }

    /** An attempt that had waited for memory told its backend the time that was left before that. */
    @Test
    void attemptThatWaitedForMemoryTellsTheTimeThatIsLeft() throws Exception {
        start();
        backend.bytesPerSecond = MODERATE_BYTES;
        Map<String, Long> writtenNanos = new ConcurrentHashMap<>();
        List<Future<?>> uploads = new ArrayList<>();
        Fakes.whileBlocked(proxy.eventLoop(), () -> { }, () -> {
            for (int i = 0; i < UPLOAD_COUNT; i++) {
                Socket socket = new Socket(InetAddress.getLoopbackAddress(), proxy.listenAddress().getPort());
                Callable<Void> upload = () -> {
                    uploadAndNote(socket, writtenNanos);
                    return null;
                };
                uploads.add(clients.submit(upload));
            }
            Thread.sleep(BLOCKED_MILLIS);
        });
        for (Future<?> upload : uploads) {
            upload.get(PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
        }
        List<String> wrong = backend.received.stream()
            .filter(attempt -> writtenNanos.containsKey(attempt.requestId))
            .filter(attempt -> attempt.timeoutSeconds > TOLD_SLACK_SECONDS + BUDGET_SECONDS
                - (attempt.firstByteNanos - writtenNanos.get(attempt.requestId)) / 1e9)
            .map(attempt -> attempt.requestId + " told " + attempt.timeoutSeconds).toList();
        assertEquals(List.of(), wrong);
        assertEquals(false, backend.received.isEmpty(), "no attempt was sent");
    }

    /** The event loop is held up, so that it isn't known of any upload whether its client is still there. */
    @Test
    void answerThatHasBegunIsPassedOnWhileBodiesAreReadAhead() throws Exception {
        start();
        backend.answerBytesPerSecond = ANSWER_BYTES_PER_SECOND;
        Future<long[]> answer = clients.submit(this::download);
        Fakes.await("the answer to begin", () -> !backend.received.isEmpty());
        Thread.sleep(BLOCKED_MILLIS);
        List<Future<Integer>> uploads = new ArrayList<>();
        Fakes.whileBlocked(proxy.eventLoop(), () -> { }, () -> {
            for (int i = 0; i < UPLOAD_COUNT; i++) {
                Socket socket = new Socket(InetAddress.getLoopbackAddress(), proxy.listenAddress().getPort());
                Callable<Integer> upload = () -> upload(socket);
                uploads.add(clients.submit(upload));
            }
            Thread.sleep(BLOCKED_MILLIS);
        });
        long[] bytesAndGap = answer.get(PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
        assertEquals(List.of(true, true),
            List.of(bytesAndGap[0] >= ANSWER_BYTES, bytesAndGap[1] < MAX_GAP_MILLIS),
            bytesAndGap[0] + " bytes, longest pause " + bytesAndGap[1] + " ms");
        for (Future<Integer> upload : uploads) {
            assertEquals(true, upload.get(PATIENCE_MILLIS, TimeUnit.MILLISECONDS) >= 200, "an answer");
        }
    }
}
