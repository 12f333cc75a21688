package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.proxy.Fakes.FakeClient;
import dockrelay.proxy.Fakes.FakeDiscovery;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A planned restart cut long answers to requests that the process took after SIGTERM. */
class AnswerCutByRestartTest {
    /** SIGKILL comes no sooner than the longest deadline plus 0.7 s after SIGTERM. */
    private static final long LONGEST_DEADLINE_MILLIS = 1_000, KILL_MILLIS = LONGEST_DEADLINE_MILLIS + 700;
    /** Requests that come later than this after SIGTERM are lost if SIGKILL finds them unanswered. */
    private static final long OWED_AFTER_MILLIS = 700;
    private static final int SLOW_READ_BYTES = 4_096;

    private final FakeDiscovery discovery = new FakeDiscovery();
    private final PacedBackend backend = new PacedBackend();
    private final ExecutorService clients = Executors.newCachedThreadPool();
    @TempDir
    private Path folder;
    private ProxyProcess proxy;

    /** How an answer ended: its status, 0 if the connection was closed first, and whether it was whole. */
    private record Answer(int status, boolean whole) {
        boolean isLost() {
            return status != 0 && !whole;
        }
    }

    AnswerCutByRestartTest() throws IOException {
        // the backend opens a socket
    }

    @BeforeEach
    void start() throws Exception {
        String entry = Fakes.entryJson("s-1", backend.port(), "active");
        discovery.setFirstList(FakeDiscovery.listJson(2, true, entry));
        proxy = new ProxyProcess(folder);
        proxy.configure(discovery.port(), entry, "");
        proxy.configure(proxy.configuration().replace("\"HardLimit\":5.0", "\"HardLimit\":1.0"));
        proxy.start();
        proxy.awaitServing();
    }

    @AfterEach
    void tearDown() throws Exception {
        clients.shutdownNow();
        proxy.close();
        backend.close();
        discovery.close();
    }

    /** Asks for an answer of this length, and reads it without a limit or slowly (bytes per second). */
    private Answer read(FakeClient client, int length, long bytesPerSecond) throws IOException {
        client.send(FakeClient.getRequest("1.0").replace("/look/thing", "/look/long-" + length));
        InputStream in = client.socket.getInputStream();
        StringBuilder head = new StringBuilder();
        byte[] buffer = new byte[bytesPerSecond == 0 ? 65_536 : SLOW_READ_BYTES];
        long startNanos = System.nanoTime();
        long count = 0;
        try {
            while (head.indexOf("\r\n\r\n") < 0) {
                int next = in.read();
                if (next < 0) {
                    return new Answer(0, false);
                }
                head.append((char) next);
            }
            int status = Integer.parseInt(head.substring(9, 12));
            int expected = status == 200 ? length : 0;
            int read = 0;
            while (count < expected && read >= 0) {
                count += read;
                while (bytesPerSecond > 0 && System.nanoTime() - startNanos
                    < count * TimeUnit.SECONDS.toNanos(1) / bytesPerSecond) {
                    Thread.onSpinWait();
                }
                read = count < expected ? in.read(buffer) : 0;
            }
            return new Answer(status, count >= expected);
        } catch (IOException e) {
            return new Answer(head.length() < 12 ? 0 : Integer.parseInt(head.substring(9, 12)), false);
        }
    }

    /** Sends a request on each of some open connections, from 0.75 s after SIGTERM on, and kills in time. */
    private List<Answer> restart(int length, long bytesPerSecond) throws Exception {
        List<FakeClient> connections = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            FakeClient client = proxy.connectClient();
            assertEquals(200, client.send(FakeClient.getRequest("1.0")).readStatus());
            connections.add(client);
        }
        long stoppedNanos = System.nanoTime();
        proxy.signal("TERM");
        List<Future<Answer>> answers = new ArrayList<>();
        for (int i = 0; i < connections.size(); i++) {
            long sendMillis = OWED_AFTER_MILLIS + 50 + 100L * i;
            FakeClient client = connections.get(i);
            answers.add(clients.submit(() -> {
                Thread.sleep(sendMillis - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - stoppedNanos));
                return read(client, length, bytesPerSecond);
            }));
        }
        Thread.sleep(KILL_MILLIS - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - stoppedNanos) + 1);
        proxy.signal("KILL");
        List<Answer> ended = new ArrayList<>();
        for (Future<Answer> answer : answers) {
            ended.add(answer.get());
        }
        for (FakeClient client : connections) {
            client.close();
        }
        return ended;
    }

    @Test
    void noLongAnswerIsBegunThatTheKillCuts() throws Exception {
        backend.answerBytesPerSecond = 400_000;
        List<Answer> answers = restart(1_000_000, 0);
        assertEquals(List.of(), answers.stream().filter(Answer::isLost).toList());
        assertTrue(answers.stream().anyMatch(answer -> answer.status > 0), "no connection was kept open");
    }

    @Test
    void answerOfModerateLengthIsPassedOnThoughItsClientReadsSlowly() throws Exception {
        List<Answer> answers = restart(150_000, 100_000);
        assertEquals(List.of(), answers.stream().filter(Answer::isLost).toList());
        assertTrue(answers.stream().filter(answer -> answer.status == 200).count() >= 4, answers.toString());
    }

    @Test
    void longAnswerIsNotBegunForAClientThatReadsSlowly() throws Exception {
        List<Answer> answers = restart(8_000_000, 100_000);
        assertEquals(List.of(), answers.stream().filter(Answer::isLost).toList());
        assertTrue(answers.stream().anyMatch(answer -> answer.status > 0), "no connection was kept open");
    }
}
