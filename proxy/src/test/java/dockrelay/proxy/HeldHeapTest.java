package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.proxy.Fakes.FakeDiscovery;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The account of what clients hold let go of memory that was still held, so that the heap filled unseen. */
class HeldHeapTest {
    /** The estimate may be under the truth by this share of the truth, and by this much besides. */
    private static final double MAX_SHARE_MISSED = 0.25;
    private static final long MAX_KILOBYTES_MISSED = 1_024;
    private static final int CLIENTS = 500, FIELDS = 92, BODY_BYTES = 400_000, SENT_BYTES = 1_000;
    private static final Path CHECKOUT = Path.of("").toAbsolutePath().getParent();
    private static final Pattern HELD_FIELD = Pattern.compile("held-kb=(\\d+)"),
        HISTOGRAM_TOTAL = Pattern.compile("(?m)^Total +\\d+ +(\\d+)");

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final List<CrowdClient> clients = new ArrayList<>();

    /** Crowds that hold memory for some seconds, or that come and go. */
    enum Crowd {
        IDLE(new CrowdSpec(CrowdKind.HALF_HEAD, CLIENTS, 0, 0, 0, 1, false, 1)),
        HALF_HEADS(new CrowdSpec(CrowdKind.HALF_HEAD, CLIENTS, FIELDS, 0, 0, 1, false, 1)),
        HALF_BODIES(new CrowdSpec(CrowdKind.HALF_BODY, CLIENTS, FIELDS, BODY_BYTES, SENT_BYTES, 1, false, 1)),
        HASTY_HALF_BODIES(
            new CrowdSpec(CrowdKind.HALF_BODY, CLIENTS, FIELDS, BODY_BYTES, SENT_BYTES, 1, true, 5)),
        PIPELINED(new CrowdSpec(CrowdKind.PIPELINED, CLIENTS, 5, 0, 0, 1, false, 5)),
        TINY_CHUNKS(new CrowdSpec(CrowdKind.TINY_CHUNKS, CLIENTS, 5, 0, 0, 20, false, 5)),
        LEAVING(new CrowdSpec(CrowdKind.LEAVE_BEFORE_ANSWER, CLIENTS, FIELDS, 0, 0, 1, true, 5)),
        ANSWERS_OF_MANY_FIELDS(
            new CrowdSpec(CrowdKind.ANSWER_OF_MANY_FIELDS, CLIENTS, FIELDS, 0, 0, 1, false, 5));

        private final CrowdSpec spec;

        Crowd(CrowdSpec spec) {
            this.spec = spec;
        }
    }

    @ParameterizedTest
    @EnumSource
    void estimateCoversLiveHeap(Crowd crowd, @TempDir Path folder) throws Exception {
        try (CrowdBackend backend = new CrowdBackend(group); FakeDiscovery discovery = new FakeDiscovery();
             ProxyProcess process = new ProxyProcess(folder)) {
            String entry = Fakes.entryJson("s-1", backend.port(), "active");
            discovery.setFirstList(FakeDiscovery.listJson(2, true, entry));
            process.configure(discovery.port(), entry, "");
            process.startByRunLine(CHECKOUT, false);
            process.awaitServing();
            long quietKilobytes = liveKilobytes(process);
            AtomicLong connects = new AtomicLong();
            for (int i = 0; i < CLIENTS; i++) {
                clients.add(new CrowdClient(crowd.spec, process.address(), group, connects));
            }
            clients.forEach(CrowdClient::connect);
            Fakes.await("the crowd to connect", () -> connects.get() >= CLIENTS);
            long heldKilobytes = lastHeldKilobytes(awaitCounterLine(process, process.readLog()));
            long crowdKilobytes = liveKilobytes(process) - quietKilobytes;
            String figures = "estimated " + heldKilobytes + " kB, live " + crowdKilobytes + " kB";
            System.out.println(crowd + ": " + figures);
            double leastKilobytes = crowdKilobytes * (1 - MAX_SHARE_MISSED) - MAX_KILOBYTES_MISSED;
            assertTrue(heldKilobytes >= leastKilobytes, figures);
        } finally {
            clients.forEach(CrowdClient::stop);
            group.shutdownGracefully(0, 1_000, TimeUnit.MILLISECONDS);
        }
    }

    /** Waits for the next counter line; returns the log with it. */
    private static String awaitCounterLine(ProxyProcess process, String logBefore) {
        Fakes.await("a counter line", () -> HELD_FIELD.matcher(process.readLog()).results().count()
            > HELD_FIELD.matcher(logBefore).results().count());
        return process.readLog();
    }

    private static long lastHeldKilobytes(String log) {
        return HELD_FIELD.matcher(log).results().reduce((first, second) -> second)
            .map(match -> Long.parseLong(match.group(1))).orElseThrow();
    }

    /** What is live in the heap of a process after a full collection. */
    private static long liveKilobytes(ProxyProcess process) throws IOException, InterruptedException {
        Path command = Path.of(System.getProperty("java.home"), "bin", "jcmd");
        Process histogram = new ProcessBuilder(command.toString(), Long.toString(process.pid()),
            "GC.class_histogram").start();
        String text = new String(histogram.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        histogram.waitFor();
        Matcher total = HISTOGRAM_TOTAL.matcher(text);
        assertTrue(total.find(), text);
        return Long.parseLong(total.group(1)) >> 10;
    }
}
