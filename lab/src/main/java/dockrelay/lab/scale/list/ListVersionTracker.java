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
 * When a version of the list is in force at a proxy. Its log says when it takes one up; the module hears of
 * it in the same turn of the loop that serves, so the answer to a question that is put then (healthz) comes
 * when the turn is over. That is late by a millisecond or so, never early. Log lines are bounded: not every
 * version of a fast series is seen.
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
            talk = null; // it does not listen yet, or no more
        }
    }

    /** When the log said that this version or a later one was taken up; 0 where it never did in time. */
    public synchronized long taken(long version, long withinMillis) throws InterruptedException {
        return await(taken, version, withinMillis);
    }

    /** When this version or a later one was in force; 0 where that was not seen in time. */
    public synchronized long awaitApplied(long version, long withinMillis) throws InterruptedException {
        return await(since, version, withinMillis);
    }

    /** The same of this very version, without waiting; 0 where its line was left out. */
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

    /** The most that the proxy's loop was late since this was asked last, by its own next counters. */
    public synchronized long lateMillis(long withinMillis) throws InterruptedException {
        long by = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(withinMillis), wanted = counted + 1;
        while (counted < wanted && System.nanoTime() < by && proxy.isAlive()) {
            wait(100);
        }
        long most = late;
        late = 0;
        return counted < wanted ? -1 : most;
    }

    /** What it said of its heap at last. */
    public synchronized long heapMiB() {
        return heapMiB;
    }

    @Override
    public void close() throws IOException {
        synchronized (this) {
            asker.shutdownNow(); // a process that ends may still say something
        }
        if (talk != null) {
            talk.close();
        }
    }
}
