package dockrelay.lab.starvation;

import dockrelay.lab.starvation.LoadSample.ProcessSample;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * Decides whether the machine gave the lab and the proxies enough CPU time for a play to be valid, so that
 * violations can be attributed to the proxies. The decision uses load samples only and ignores violations, so
 * that a play with violations is no more likely to be void than one without. docs/lab.md derives the bounds.
 */
public final class StarvationDetector {
    /** Latencies of a play are void if the 99.9th percentile of the lab's lateness is above this. */
    static final long MAX_LATENESS_MICROS = 20_000;
    /** The minimum length of the window of samples over which waits and lateness are added up. */
    static final long WINDOW_MICROS = 100_000;
    /**
     * The use of cores is attributed to processes over the window above, and over this longer one, since the
     * system counts core time in units of 10 ms; the result that attributes more to the process itself holds.
     */
    private static final long ATTRIBUTION_WINDOW_MICROS = 1_000_000;
    private static final long MICROS_PER_MILLI = 1_000;
    private static final double LATENESS_PERCENTILE = 99.9;

    /** The longest delay of one proxy in one window: its wait for cores and the lateness of the lab. */
    public record Delay(String proxy, long atMicros, long windowMicros, long waitedMicros,
        long labLatenessMicros) {
        long totalMicros() {
            return waitedMicros + labLatenessMicros;
        }
    }

    private final long maxDelayMicros;
    private final double coresPerProxy;
    private final Histogram generatorLateness = new Histogram(3), emulatorLateness = new Histogram(3);
    private final Deque<LoadSample> recentSamples = new ArrayDeque<>();
    private final Deque<Map<Long, Double>> waitsInWindow = new ArrayDeque<>();
    private final Map<Long, Double> waitedByPid = new HashMap<>();
    private final Map<String, Double> waitedByProxy = new LinkedHashMap<>();
    private Delay longestDelay = new Delay("", 0, 0, 0, 0);
    private String exceededLimit;
    private boolean judging;
    private long judgedSamples;

    /**
     * Takes the delay of a response that the referee tolerates, in microseconds, and the number of cores that
     * a proxy may use.
     */
    public StarvationDetector(long maxDelayMicros, double coresPerProxy) {
        this.maxDelayMicros = maxDelayMicros;
        this.coresPerProxy = coresPerProxy;
    }

    /**
     * Enables judging from when the clients start until all requests are answered, as only then a response
     * can be late.
     */
    public synchronized void setJudging(boolean enabled) {
        judging = enabled;
        waitsInWindow.clear();
    }

    /** Adds the next sample, and evaluates the window that ends with it while judging is enabled. */
    public synchronized void add(LoadSample sample) {
        recentSamples.addLast(sample);
        while (recentSamples.size() > 1 && recentSamples.stream().skip(1)
            .mapToLong(LoadSample::lengthMicros).sum() >= ATTRIBUTION_WINDOW_MICROS) {
            recentSamples.removeFirst();
        }
        // Lateness of the lab that proxies caused by exceeding their cores does not excuse them.
        boolean causedByProxies = proxiesExceededCores(newestSamples(WINDOW_MICROS))
            || proxiesExceededCores(recentSamples);
        if (judging && !causedByProxies) {
            generatorLateness.add(sample.generatorLateness());
            emulatorLateness.add(sample.emulatorLateness());
        }
        Map<Long, Double> waitsByPid = new HashMap<>();
        for (ProcessSample process : sample.processes()) {
            double waitMicros = waitCausedByOthers(process, sample.lengthMicros());
            waitedByPid.merge(process.pid(), waitMicros, Double::sum);
            waitedByProxy.merge(process.proxy(), waitMicros, Double::sum);
            if (process.ready()) {
                waitsByPid.put(process.pid(), waitMicros);
            }
        }
        if (judging) {
            judgedSamples++;
            waitsInWindow.addLast(waitsByPid);
            evaluateWindow(sample, causedByProxies);
        }
    }

    /** Evaluates the window that ends with this sample. */
    private void evaluateWindow(LoadSample sample, boolean causedByProxies) {
        List<LoadSample> window = newestSamples(WINDOW_MICROS);
        while (waitsInWindow.size() > window.size()) {
            waitsInWindow.removeFirst();
        }
        // samples from before the clients started do not count
        window = window.subList(0, waitsInWindow.size());
        Map<Long, Double> waitsByPid = new HashMap<>();
        waitsInWindow.forEach(sampleWaits -> sampleWaits.forEach(
            (pid, waitMicros) -> waitsByPid.merge(pid, waitMicros, Double::sum)));
        long windowMicros = window.stream().mapToLong(LoadSample::lengthMicros).sum();
        long labLatenessMicros = causedByProxies ? 0 : window.stream()
            .mapToLong(LoadSample::maxLoopLatenessMicros).max().orElse(0);
        if (labLatenessMicros > longestDelay.totalMicros()) {
            longestDelay = new Delay("", sample.atMicros(), windowMicros, 0, labLatenessMicros);
        }
        for (ProcessSample process : sample.processes()) {
            Delay delay = new Delay(process.proxy(), sample.atMicros(), windowMicros,
                Math.round(waitsByPid.getOrDefault(process.pid(), 0.0)), labLatenessMicros);
            if (delay.waitedMicros > 0 && delay.totalMicros() > longestDelay.totalMicros()) {
                longestDelay = delay;
            }
        }
    }

    /** The latest samples, newest first, that together last at least this long. */
    private List<LoadSample> newestSamples(long minMicros) {
        List<LoadSample> samples = new ArrayList<>();
        long lengthMicros = 0;
        for (Iterator<LoadSample> iterator = recentSamples.descendingIterator();
            iterator.hasNext() && lengthMicros < minMicros;) {
            LoadSample sample = iterator.next();
            samples.add(sample);
            lengthMicros += sample.lengthMicros();
        }
        return samples;
    }

    /**
     * The part of a process's wait that was caused by others' use of its cores. Excluded are waits of its own
     * threads for one another and use by proxies beyond their permitted cores. Steal time is included.
     */
    private double waitCausedByOthers(ProcessSample process, long sampleMicros) {
        double ownShare = 0, stolenShare = 0;
        for (Collection<LoadSample> window : List.of(newestSamples(WINDOW_MICROS), recentSamples)) {
            CoreTime coreTime = CoreTime.ZERO;
            long ranMicros = 0;
            for (LoadSample sample : window) {
                for (ProcessSample candidate : sample.processes()) {
                    if (candidate.pid() == process.pid()) {
                        coreTime = coreTime.plus(candidate.cores());
                        ranMicros += candidate.processorTime().ranMicros();
                    }
                }
            }
            double totalMicros = Math.max(coreTime.busyMicros() + coreTime.stolenMicros(), 1);
            ownShare = Math.max(ownShare,
                Math.min(1, (ranMicros + excessMicros(window, process.pid())) / totalMicros));
            stolenShare = Math.max(stolenShare, coreTime.stolenMicros() / totalMicros);
        }
        return process.processorTime().maxSequentialWaitMicros(sampleMicros) * (1 - ownShare)
            + Math.min(process.processorTime().ranMicros(), sampleMicros) * stolenShare;
    }

    /** Whether proxies' use beyond their permitted cores was at least half of all use of the cores. */
    private boolean proxiesExceededCores(Collection<LoadSample> samples) {
        double excessMicros = excessMicros(samples, 0);
        return excessMicros > 0 && 2 * excessMicros >= samples.stream()
            .mapToLong(sample -> sample.cores().busyMicros()).sum();
    }

    /** CPU time that proxies other than this process used beyond their permitted cores. */
    private double excessMicros(Collection<LoadSample> samples, long excludedPid) {
        Map<Long, Double> excessByPid = new HashMap<>();
        for (LoadSample sample : samples) {
            for (ProcessSample process : sample.processes()) {
                excessByPid.merge(process.pid(),
                    process.processorTime().ranMicros() - coresPerProxy * sample.lengthMicros(), Double::sum);
            }
        }
        return excessByPid.entrySet().stream().filter(entry -> entry.getKey() != excludedPid)
            .mapToDouble(entry -> Math.max(0, entry.getValue())).sum();
    }

    /** How long a process has waited for cores in use by others since its start, in microseconds. */
    public synchronized long waitedMicros(long pid) {
        return Math.round(waitedByPid.getOrDefault(pid, 0.0));
    }

    /** Records that a time limit was exceeded only due to the wait for a core; times in microseconds. */
    public synchronized void limitExceededByWaiting(String action, long elapsedMicros, long waitMicros) {
        if (exceededLimit == null) {
            exceededLimit = String.format(Locale.ROOT,
                "%s took %.1f s, of which it waited %.1f s for a core", action,
                elapsedMicros / 1e6, waitMicros / 1e6);
        }
    }

    /** Why the play's latencies are void, in one line; null if they are valid. */
    public synchronized String latenciesVoidReason() {
        if (generatorLateness.getValueAtPercentile(LATENESS_PERCENTILE) > MAX_LATENESS_MICROS) {
            return latenessReason("generator", generatorLateness);
        }
        return emulatorLateness.getValueAtPercentile(LATENESS_PERCENTILE) > MAX_LATENESS_MICROS
            ? latenessReason("emulator's loop", emulatorLateness) : null;
    }

    /** Why the referee's verdicts of this play are void, in one line; null if they are valid. */
    public synchronized String rulesVoidReason() {
        if (longestDelay.totalMicros() > maxDelayMicros) {
            return String.format(Locale.ROOT, "%sthe lab was %d ms late, within %d ms at %.1f s after its "
                + "start (limit %d ms in total)", longestDelay.waitedMicros < MICROS_PER_MILLI ? ""
                : longestDelay.proxy + " waited "
                + longestDelay.waitedMicros / MICROS_PER_MILLI + " ms for cores in use by others and ",
                longestDelay.labLatenessMicros / MICROS_PER_MILLI,
                longestDelay.windowMicros / MICROS_PER_MILLI, longestDelay.atMicros / 1e6,
                maxDelayMicros / MICROS_PER_MILLI);
        }
        return exceededLimit;
    }

    private static String latenessReason(String component, Histogram lateness) {
        return "the " + component + " was late: " + lateness.getValueAtPercentile(LATENESS_PERCENTILE) / 1000
            + " ms at p99.9, limit " + MAX_LATENESS_MICROS / 1000;
    }

    /**
     * The fields for the result file: the window with the longest delay, and each proxy's total wait for
     * cores; {@code statsAvailable} tells whether the system provides these counts.
     */
    public synchronized Map<String, Object> toResult(boolean statsAvailable) {
        Map<String, Object> result = new LinkedHashMap<>();
        result.put("counted", statsAvailable);
        result.put("looks", judgedSamples);
        result.put("bound_ms", maxDelayMicros / 1e3);
        result.put("worst_ms", longestDelay.totalMicros() / 1e3);
        result.put("worst_waited_ms", longestDelay.waitedMicros / 1e3);
        result.put("worst_lab_late_ms", longestDelay.labLatenessMicros / 1e3);
        result.put("worst_proxy", longestDelay.proxy);
        result.put("worst_at_s", longestDelay.atMicros / 1e6);
        Map<String, Object> waitedMillis = new LinkedHashMap<>();
        waitedByProxy.forEach((proxy, micros) -> waitedMillis.put(proxy, Math.round(micros / 1e3)));
        result.put("waited_ms", waitedMillis);
        return result;
    }
}
