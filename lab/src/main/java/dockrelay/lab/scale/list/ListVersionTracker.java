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
 * shows that the update is complete. The recorded time is about 1 ms late, never early. The proxy
 * limits its log lines, so not every version of a fast series is seen. Thread-safe.
 */
public final class ListVersionTracker implements AutoCloseable {
    private static final Pattern VERSION_LINE =
        Pattern.compile("discovery: (?:list of|changes to) version (\\d+),.*");
    private static final Pattern COUNTERS_LINE =
        Pattern.compile("counters: .*loop-late-ms=(\\d+).*heap-mb=(\\d+).*");

    private final ProxyUnderTest proxy;
    private final TreeMap<Long, Long> acceptedAtNanos = new TreeMap<>(), appliedAtNanos = new TreeMap<>();
    private final ExecutorService healthChecker = Executors.newSingleThreadExecutor(task -> {
        Thread thread = new Thread(task, "in force");
        thread.setDaemon(true);
        return thread;
    });
    private ProxyUnderTest.HealthConnection connection;
    private long maxLatenessMillis, heapMiB, counterReports;

    public ListVersionTracker(ProxyUnderTest proxy) {
        this.proxy = proxy;
    }

    /** Evaluates a line of the proxy's log; called on the thread that reads the log. */
    public void onLogLine(LogTail.Line line) {
        Matcher matcher = VERSION_LINE.matcher(line.text());
        if (matcher.matches()) {
            long version = Long.parseLong(matcher.group(1));
            synchronized (this) {
                acceptedAtNanos.put(version, line.readAtNanos());
                notifyAll();
                if (!healthChecker.isShutdown()) {
                    healthChecker.execute(() -> recordApplied(version));
                }
            }
        }
        matcher = COUNTERS_LINE.matcher(line.text());
        if (matcher.matches()) {
            synchronized (this) {
                maxLatenessMillis = Math.max(maxLatenessMillis, Long.parseLong(matcher.group(1)));
                heapMiB = Long.parseLong(matcher.group(2));
                counterReports++;
                notifyAll();
            }
        }
    }

    /** Records the time at which a health check sent after this version is answered. */
    private void recordApplied(long version) {
        try {
            if (connection == null) {
                connection = proxy.openHealthConnection();
            }
            connection.isHealthy();
            synchronized (this) {
                appliedAtNanos.put(version, System.nanoTime());
                notifyAll();
            }
        } catch (IOException e) {
            connection = null; // the proxy does not listen yet, or no longer
        }
    }

    /** Time (nanoseconds) at which the log reported this version or a later one; 0 if not within the time. */
    public synchronized long awaitAccepted(long version, long timeoutMillis) throws InterruptedException {
        return awaitVersion(acceptedAtNanos, version, timeoutMillis);
    }

    /** Time (nanoseconds) at which this version or a later one was applied; 0 if not seen within the time. */
    public synchronized long awaitApplied(long version, long timeoutMillis) throws InterruptedException {
        return awaitVersion(appliedAtNanos, version, timeoutMillis);
    }

    /** Time at which exactly this version was applied, without waiting; 0 if its log line was omitted. */
    public synchronized long appliedAt(long version) {
        return appliedAtNanos.getOrDefault(version, 0L);
    }

    private long awaitVersion(TreeMap<Long, Long> timesByVersion, long version, long timeoutMillis)
        throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        while (true) {
            Map.Entry<Long, Long> entry = timesByVersion.ceilingEntry(version);
            if (entry != null) {
                return entry.getValue();
            }
            long remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
            if (remainingMillis <= 0 || !proxy.isAlive()) {
                return 0;
            }
            wait(Math.min(remainingMillis, 100));
        }
    }

    /**
     * Waits for the proxy's next counters and returns the largest loop lateness (milliseconds) reported since
     * the last call; -1 if no counters came within the time.
     */
    public synchronized long awaitMaxLatenessMillis(long timeoutMillis) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis),
            expectedReports = counterReports + 1;
        while (counterReports < expectedReports && System.nanoTime() < deadlineNanos && proxy.isAlive()) {
            wait(100);
        }
        long maxMillis = maxLatenessMillis;
        maxLatenessMillis = 0;
        return counterReports < expectedReports ? -1 : maxMillis;
    }

    /** Heap use from the proxy's most recent counters. */
    public synchronized long heapMiB() {
        return heapMiB;
    }

    @Override
    public void close() throws IOException {
        synchronized (this) {
            healthChecker.shutdownNow(); // the log of an ending process may still cause health checks
        }
        if (connection != null) {
            connection.close();
        }
    }
}
