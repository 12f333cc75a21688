package dockrelay.lab.scale.list;

import dockrelay.lab.scale.load.LogTail;
import dockrelay.lab.scale.load.ProxyUnderTest;
import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Tracks when a proxy has applied a version of the backend list. The proxy logs when it accepts a version;
 * its balancer is updated in the same iteration of the event loop, so the answer to a health check sent then
 * shows that the update is complete. The time found is up to about a millisecond late, never early. The proxy
 * limits its log lines, so not every version of a fast series is seen. Thread-safe.
 */
public final class ListVersionTracker implements AutoCloseable {
    private static final Pattern TAKEN =
        Pattern.compile("discovery: (?:list of|changes to) version (\\d+),.*");
    private static final Pattern COUNTED =
        Pattern.compile("counters: .*loop-late-ms=(\\d+).*heap-mb=(\\d+).*");

    private final ProxyUnderTest proxy;
    private final TreeMap<Long, Long> taken = new TreeMap<>(), since = new TreeMap<>();
    private final ExecutorService asker = Executors.newSingleThreadExecutor(task -> {
        Thread thread = new Thread(task, "in force");
        thread.setDaemon(true);
        return thread;
    });
    private ProxyUnderTest.Talk talk;
    private long late, heapMiB, counted;

    public ListVersionTracker(ProxyUnderTest proxy) {
        this.proxy = proxy;
    }

    /** Evaluates a line of the proxy's log; called on the thread that reads the log. */
    public void onLogLine(LogTail.Line line) {
        Matcher matcher = TAKEN.matcher(line.text());
        if (matcher.matches()) {
            long version = Long.parseLong(matcher.group(1));
            synchronized (this) {
                taken.put(version, line.at());
                notifyAll();
                if (!asker.isShutdown()) {
                    asker.execute(() -> ask(version));
                }
            }
        }
        matcher = COUNTED.matcher(line.text());
        if (matcher.matches()) {
            synchronized (this) {
                late = Math.max(late, Long.parseLong(matcher.group(1)));
                heapMiB = Long.parseLong(matcher.group(2));
                counted++;
                notifyAll();
            }
        }
    }

    private void ask(long version) {
        try {
            if (talk == null) {
                talk = proxy.talk();
            }
            talk.healthy();
            synchronized (this) {
                since.put(version, System.nanoTime());
                notifyAll();
            }
        } catch (IOException e) {
            talk = null; // the proxy does not listen yet, or no longer
        }
    }

    /** Time (nanoseconds) at which the log reported this version or a later one; 0 if not within the time. */
    public synchronized long taken(long version, long withinMillis) throws InterruptedException {
        return await(taken, version, withinMillis);
    }

    /** Time (nanoseconds) at which this version or a later one was applied; 0 if not seen within the time. */
    public synchronized long awaitApplied(long version, long withinMillis) throws InterruptedException {
        return await(since, version, withinMillis);
    }

    /** Time at which exactly this version was applied, without waiting; 0 if its log line was omitted. */
    public synchronized long sinceExactly(long version) {
        return since.getOrDefault(version, 0L);
    }

    private long await(TreeMap<Long, Long> times, long version, long withinMillis)
        throws InterruptedException {
        long by = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(withinMillis);
        while (true) {
            Map.Entry<Long, Long> found = times.ceilingEntry(version);
            if (found != null) {
                return found.getValue();
            }
            long left = TimeUnit.NANOSECONDS.toMillis(by - System.nanoTime());
            if (left <= 0 || !proxy.isAlive()) {
                return 0;
            }
            wait(Math.min(left, 100));
        }
    }

    /**
     * Waits for the proxy's next counters and returns the largest loop lateness (milliseconds) reported since
     * the last call; -1 if no counters came within the time.
     */
    public synchronized long lateMillis(long withinMillis) throws InterruptedException {
        long by = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(withinMillis), wanted = counted + 1;
        while (counted < wanted && System.nanoTime() < by && proxy.isAlive()) {
            wait(100);
        }
        long most = late;
        late = 0;
        return counted < wanted ? -1 : most;
    }

    /** Heap use from the proxy's most recent counters. */
    public synchronized long heapMiB() {
        return heapMiB;
    }

    @Override
    public void close() throws IOException {
        synchronized (this) {
            asker.shutdownNow(); // the log of an ending process may still cause health checks
        }
        if (talk != null) {
            talk.close();
        }
    }
}
