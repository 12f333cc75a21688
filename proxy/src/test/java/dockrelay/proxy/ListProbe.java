package dockrelay.proxy;

import dockrelay.Balancer;
import dockrelay.Balancer.ListUpdateType;
import dockrelay.Balancer.Outcome;
import dockrelay.Balancer.Request;
import dockrelay.RiqBalancer;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Locale;

/**
 * Measures the cost of a list of backends for one proxy: parsing, applying, and passing it to the
 * connection pool and the balancer, on one thread. Not a test: prints the CPU time of that thread, the
 * maximum CPU time of one event loop turn (the pause), garbage collection time, and memory.
 */
final class ListProbe implements Balancer.Actions, ListApplier.Sink {
    private static final int FEED = 8192;
    private static final int CHANGES = 2_000;
    private static final int PROXIES = 5_700;
    private static final int REQUESTS = 20_000;

    private record Sent(String request, int attempt, long backend, long at) {
    }

    private final BackendRegistry listing = new BackendRegistry(new OperatorOverrides(null));
    private final RequestTable table;
    private final RiqBalancer module;
    private final Deque<Runnable> turns = new ArrayDeque<>();
    private final ListApplier applier = new ListApplier(listing, turns::add, this);
    private final ListParser parser = new ListParser(listing::read, applier::apply);
    private final Deque<Sent> sent = new ArrayDeque<>();
    private String last;
    private int attempt, requests;
    private long worst;

    private ListProbe(EventLoop loop) {
        Config config = Fakes.parseConfig(Fakes.configJson(0, 1, 1024, "",
            "\"Balancers\":" + PROXIES + ",\"Me\":" + PROXIES / 3 + ",\"Obligations\":{\"ColdTime\":10.0},"));
        BackendConnectionPool pool = new BackendConnectionPool(new Bootstrap().group(loop).channel(NioSocketChannel.class), loop,
            100, 250_000, 15_000_000, new Counters(), new BufferLimit(() -> 0, 144));
        table = new RequestTable(loop, pool, () -> System.nanoTime() / 1000, config, new Counters());
        module = new RiqBalancer(config.settings(), 7, this);
        table.attachBalancer(module, () -> { }, message -> { });
    }

    @Override
    public void tell(ListUpdateType scope, List<RequestTable.ListedBackend> members) {
        table.updateBackends(scope, members);
    }

    @Override
    public void applied(ListParser.Update update) {
    }

    @Override
    public void idle() {
    }

    /**
     * Records the CPU time of one turn: the first one parses bytes, the others apply the parsed entries.
     */
    private long turn(long before) {
        long took = processor() - before;
        worst = Math.max(worst, took);
        return took;
    }

    private static String entry(int number, String state, long startedMillis) {
        return String.format(Locale.ROOT, "{\"id\":\"s-%08x\",\"addr\":\"10.%d.%d.%d:8080\",\"zone\":\"z%d\","
            + "\"kind\":\"m%d\",\"cell\":%d,\"state\":\"%s\",\"weight\":1.0,\"started_ms\":%d}",
            number * 0x9E3779B9, number >> 16 & 255, number >> 8 & 255, number & 255, number % 7, number % 3,
            number % 40, state, startedMillis);
    }

    /** Generates and feeds entries; the time to generate them is not counted. */
    private long feed(boolean full, int from, int count, int step, String state, long startedMillis)
        throws IOException {
        long spent = 0;
        StringBuilder text = new StringBuilder("{\"version\":1,\"full\":" + full + ",\"servers\":[");
        for (int i = 0; i < count; i++) {
            text.append(i > 0 ? "," : "").append(entry(from + i * step, state, startedMillis));
            if (text.length() > FEED || i == count - 1) {
                text.append(i == count - 1 ? "]}\n" : "");
                byte[] bytes = text.toString().getBytes(StandardCharsets.UTF_8);
                long before = processor();
                parser.feed(bytes, bytes.length);
                spent += turn(before) + turnsLeft();
                text.setLength(0);
            }
        }
        return spent;
    }

    private long turnsLeft() {
        long spent = 0;
        for (Runnable next = turns.poll(); next != null; next = turns.poll()) {
            long before = processor();
            next.run();
            spent += turn(before);
        }
        return spent;
    }

    private void request() {
        last = "r" + requests++;
        attempt = 0;
        long now = System.nanoTime() / 1000;
        module.onRequest(now, new Request(last, "look", null, null, 1_000_000, 0, false));
        while (sent.size() > 20) {
            Sent oldest = sent.poll();
            module.onOutcome(now, oldest.request, oldest.attempt, oldest.backend, Outcome.OK,
                now - oldest.at, true, null);
        }
    }

    private static double millis(long nanos) {
        return nanos / 1e6;
    }

    private static void print(String what, Object... figures) {
        System.out.println(String.format(Locale.ROOT, what, figures));
    }

    /**
     * CPU time of this thread; excludes the garbage collector, and includes JIT compilation in the
     * foreground.
     */
    private static long processor() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    private static long collected() {
        return ManagementFactory.getGarbageCollectorMXBeans().stream().mapToLong(each ->
            each.getCollectionTime()).sum();
    }

    private static double used() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return (Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory()) / 1048576.0;
    }

    private void run(int size) throws IOException {
        double before = used();
        long collected = collected();
        long spent = feed(true, 0, size, 1, "active", 0);
        print("size %d: full list %.0f ms, longest pause %.1f ms, collector %d ms", size, millis(spent),
            millis(worst), collected() - collected);
        double after = used();
        print("  heap %.1f MB before, %.1f MB after, %.0f bytes per backend", before, after,
            (after - before) * 1048576 / size);
        worst = 0;
        spent = feed(true, 0, size, 1, "active", 0);
        print("  full list again %.0f ms, longest pause %.1f ms", millis(spent), millis(worst));
        for (int round = 0; round < 2; round++) {
            collected = collected();
            worst = 0;
            spent = 0;
            for (int i = 0; i < CHANGES; i++) {
                int number = (int) (i * 7919L % size);
                String state = i % 3 == 0 ? "leaving" : i % 3 == 1 ? "left" : "active";
                spent += feed(false, number, 1, 1, state, i % 2 == 0 ? 0 : System.currentTimeMillis());
                if (i % 10 == 0) {
                    request();
                }
            }
            print("  single change: mean %.4f ms, worst %.3f ms, collector %d ms in total%s",
                millis(spent) / CHANGES, millis(worst), collected() - collected,
                round == 0 ? " (cold code)" : "");
        }
        worst = 0;
        spent = feed(false, 0, size / 7, 7, "left", 0);
        print("  a zone removed, %d backends in one change: %.1f ms, longest pause %.1f ms", size / 7,
            millis(spent), millis(worst));
        worst = 0;
        spent = feed(false, 0, size / 7, 7, "active", System.currentTimeMillis());
        print("  a zone restored, cold: %.1f ms, longest pause %.1f ms", millis(spent), millis(worst));
        for (String state : new String[] {"leaving", "left", "active"}) {
            worst = 0;
            spent = 0;
            for (int i = 0; i < size / 7; i++) {
                spent += feed(false, i * 7, 1, 1, state, System.currentTimeMillis());
                if (i % 10 == 0) {
                    request();
                }
            }
            print("  single changes to %s: %.1f ms in total, mean %.4f ms, worst %.3f ms", state,
                millis(spent),
                millis(spent) / (size / 7), millis(worst));
        }
        long start = processor();
        for (int i = 0; i < REQUESTS; i++) {
            request();
        }
        print("  one request %.2f us; status line %d characters; heap %.1f MB", (processor() - start)
            / 1e3 / REQUESTS, table.balancerStatus().length(), used());
    }

    /** Arguments: numbers of backends; each is best measured in a process of its own. */
    public static void main(String[] args) throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        for (String size : args) {
            group.submit(() -> {
                new ListProbe(group.next()).run(Integer.parseInt(size));
                return null;
            }).sync();
        }
        group.shutdownGracefully();
    }

    @Override
    public void send(String requestId, long backend, long timeout) {
        sent.add(new Sent(requestId, attempt++, backend, System.nanoTime() / 1000));
    }

    @Override
    public void cancel(String requestId, int number) {
    }

    @Override
    public void refuse(String requestId, long retryAfter) {
    }

    @Override
    public void fail(String requestId) {
    }

    @Override
    public void setTimer(long delay, long token) {
    }

    @Override
    public void probe(long backend) {
    }

    @Override
    public void closeIdleConnections(long backend) {
    }

    @Override
    public void subscribe() {
    }

    @Override
    public void broadcastToPeers(String message) {
    }
}
