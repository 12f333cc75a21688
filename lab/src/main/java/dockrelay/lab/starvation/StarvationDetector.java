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
 * Whether the machine gave the lab and the proxies the cores that they asked for, so that what the referee
 * saw is the proxies' own doing. It decides by what was counted alone, whatever the referee saw: a play that
 * broke a rule is no sooner void than one that kept all. docs/lab.md derives the bounds.
 */
public final class StarvationDetector {
    /** A play in which more than one in a thousand of the lab's acts was later says nothing of latencies. */
    static final long MAX_LATENESS_MICROS = 20_000;
    /** A stretch is as long as the looks in it together, at the least. Waits and lateness add up in it. */
    static final long WINDOW_MICROS = 100_000;
    /**
     * Who had the cores is told over a stretch, and over this as the system counts cores by the hundredth of
     * a second: whichever says more of the process itself.
     */
    private static final long ATTRIBUTION_WINDOW_MICROS = 1_000_000;
    private static final long MICROS_PER_MILLI = 1_000;
    private static final double LATENESS_PERCENTILE = 99.9;

    /** The worst that befell one proxy in one stretch. */
    public record Delay(String proxy, long atMicros, long windowMicros, long waitedMicros, long labLatenessMicros) {
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

    /** How much later than its time the referee lets an answer be, and how many cores a proxy may use. */
    public StarvationDetector(long maxDelayMicros, double coresPerProxy) {
        this.maxDelayMicros = maxDelayMicros;
        this.coresPerProxy = coresPerProxy;
    }

    /** From when clients come until all are served, answers can be late. */
    public synchronized void setJudging(boolean enabled) {
        judging = enabled;
        waitsInWindow.clear();
    }

    public synchronized void add(LoadSample sample) {
        recentSamples.addLast(sample);
        while (recentSamples.size() > 1 && recentSamples.stream().skip(1).mapToLong(LoadSample::lengthMicros).sum() >= ATTRIBUTION_WINDOW_MICROS) {
            recentSamples.removeFirst();
        }
        // A lab that is late as proxies took more than theirs is no excuse for them.
        boolean causedByProxies = proxiesExceededCores(newestSamples(WINDOW_MICROS)) || proxiesExceededCores(recentSamples);
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

    /** Looks at the stretch that ends now. */
    private void evaluateWindow(LoadSample sample, boolean causedByProxies) {
        List<LoadSample> window = newestSamples(WINDOW_MICROS);
        while (waitsInWindow.size() > window.size()) {
            waitsInWindow.removeFirst();
        }
        window = window.subList(0, waitsInWindow.size()); // what was before the clients came does not count
        Map<Long, Double> waitsByPid = new HashMap<>();
        waitsInWindow.forEach(sampleWaits -> sampleWaits.forEach((pid, waitMicros) -> waitsByPid.merge(pid, waitMicros, Double::sum)));
        long windowMicros = window.stream().mapToLong(LoadSample::lengthMicros).sum();
        long labLatenessMicros = causedByProxies ? 0 : window.stream().mapToLong(LoadSample::maxLoopLatenessMicros).max().orElse(0);
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

    /** The looks that end now and last so long together, at the least. */
    private List<LoadSample> newestSamples(long minMicros) {
        List<LoadSample> samples = new ArrayList<>();
        long lengthMicros = 0;
        for (Iterator<LoadSample> iterator = recentSamples.descendingIterator(); iterator.hasNext() && lengthMicros < minMicros;) {
            LoadSample sample = iterator.next();
            samples.add(sample);
            lengthMicros += sample.lengthMicros();
        }
        return samples;
    }

    /**
     * Of a process's wait, the part that others' use of its cores accounts for: not its own threads, which
     * wait for one another, and not what proxies take beyond their own. What the host took counts too.
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
            ownShare = Math.max(ownShare, Math.min(1, (ranMicros + excessMicros(window, process.pid())) / totalMicros));
            stolenShare = Math.max(stolenShare, coreTime.stolenMicros() / totalMicros);
        }
        return process.processorTime().maxSequentialWaitMicros(sampleMicros) * (1 - ownShare) + Math.min(process.processorTime().ranMicros(), sampleMicros) * stolenShare;
    }

    /** Whether most of the cores' use was by proxies beyond what they may use. */
    private boolean proxiesExceededCores(Collection<LoadSample> samples) {
        double excessMicros = excessMicros(samples, 0);
        return excessMicros > 0 && 2 * excessMicros >= samples.stream().mapToLong(sample -> sample.cores().busyMicros()).sum();
    }

    /** What proxies but this process took beyond the cores that they may use. */
    private double excessMicros(Collection<LoadSample> samples, long excludedPid) {
        Map<Long, Double> excessByPid = new HashMap<>();
        for (LoadSample sample : samples) {
            for (ProcessSample process : sample.processes()) {
                excessByPid.merge(process.pid(), process.processorTime().ranMicros() - coresPerProxy * sample.lengthMicros(), Double::sum);
            }
        }
        return excessByPid.entrySet().stream().filter(entry -> entry.getKey() != excludedPid)
            .mapToDouble(entry -> Math.max(0, entry.getValue())).sum();
    }

    /** How long a process has waited for a core since its start, by others' doing. */
    public synchronized long waitedMicros(long pid) {
        return Math.round(waitedByPid.getOrDefault(pid, 0.0));
    }

    /** A limit of elapsed time was passed, but would not have been without the wait for a core. */
    public synchronized void limitExceededByWaiting(String action, long elapsedMicros, long waitMicros) {
        if (exceededLimit == null) {
            exceededLimit = String.format(Locale.ROOT, "%s took %.1f s, of which it waited %.1f s for a core", action,
                elapsedMicros / 1e6, waitMicros / 1e6);
        }
    }

    /** Why the play's latencies say nothing of the proxies, in a line; null where they do. */
    public synchronized String latenciesVoidReason() {
        if (generatorLateness.getValueAtPercentile(LATENESS_PERCENTILE) > MAX_LATENESS_MICROS) {
            return latenessReason("generator", generatorLateness);
        }
        return emulatorLateness.getValueAtPercentile(LATENESS_PERCENTILE) > MAX_LATENESS_MICROS ? latenessReason("world's loop", emulatorLateness) : null;
    }

    /** Why the referee cannot judge by this play, in a line; null where it can. */
    public synchronized String rulesVoidReason() {
        if (longestDelay.totalMicros() > maxDelayMicros) {
            return String.format(Locale.ROOT, "%sthe lab was %d ms late, in %d ms at %.1f s after its start "
                + "(bound %d ms together)", longestDelay.waitedMicros < MICROS_PER_MILLI ? "" : longestDelay.proxy + " waited "
                + longestDelay.waitedMicros / MICROS_PER_MILLI + " ms for cores that others had and ", longestDelay.labLatenessMicros / MICROS_PER_MILLI,
                longestDelay.windowMicros / MICROS_PER_MILLI, longestDelay.atMicros / 1e6, maxDelayMicros / MICROS_PER_MILLI);
        }
        return exceededLimit;
    }

    private static String latenessReason(String component, Histogram lateness) {
        return "the " + component + " was late: " + lateness.getValueAtPercentile(LATENESS_PERCENTILE) / 1000 + " ms at p99.9, of "
            + MAX_LATENESS_MICROS / 1000;
    }

    /** For the result: the worst stretch, and what each proxy waited for in all. */
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
