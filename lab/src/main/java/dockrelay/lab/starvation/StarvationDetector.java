package dockrelay.lab.starvation;

import dockrelay.lab.starvation.Look.Share;
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
    static final long MOST_LATE = 20_000;
    /** A stretch is as long as the looks in it together, at the least. Waits and lateness add up in it. */
    static final long STRETCH = 100_000;
    /**
     * Who had the cores is told over a stretch, and over this as the system counts cores by the hundredth of
     * a second: whichever says more of the process itself.
     */
    private static final long OVER = 1_000_000;
    private static final long MILLI = 1_000;
    private static final double PER_MILLE = 99.9;

    /** The worst that befell one proxy in one stretch. */
    public record Worst(String proxy, long at, long length, long waited, long late) {
        long together() {
            return waited + late;
        }
    }

    private final long most;
    private final double cores;
    private final Histogram generator = new Histogram(3), world = new Histogram(3);
    private final Deque<Look> recent = new ArrayDeque<>();
    private final Deque<Map<Long, Double>> waits = new ArrayDeque<>();
    private final Map<Long, Double> waited = new HashMap<>();
    private final Map<String, Double> all = new LinkedHashMap<>();
    private Worst worst = new Worst("", 0, 0, 0, 0);
    private String limit;
    private boolean judging;
    private long looks;

    /** How much later than its time the referee lets an answer be, and how many cores a proxy may use. */
    public StarvationDetector(long most, double cores) {
        this.most = most;
        this.cores = cores;
    }

    /** From when clients come until all are served, answers can be late. */
    public synchronized void setJudging(boolean now) {
        judging = now;
        waits.clear();
    }

    public synchronized void add(Look look) {
        recent.addLast(look);
        while (recent.size() > 1 && recent.stream().skip(1).mapToLong(Look::length).sum() >= OVER) {
            recent.removeFirst();
        }
        // A lab that is late as proxies took more than theirs is no excuse for them.
        boolean proxiesDoing = proxiesHad(newest(STRETCH)) || proxiesHad(recent);
        if (judging && !proxiesDoing) {
            generator.add(look.generator());
            world.add(look.world());
        }
        Map<Long, Double> now = new HashMap<>();
        for (Share share : look.shares()) {
            double wait = byOthers(share, look.length());
            waited.merge(share.process(), wait, Double::sum);
            all.merge(share.proxy(), wait, Double::sum);
            if (share.serves()) {
                now.put(share.process(), wait);
            }
        }
        if (judging) {
            looks++;
            waits.addLast(now);
            judge(look, proxiesDoing);
        }
    }

    /** Looks at the stretch that ends now. */
    private void judge(Look look, boolean proxiesDoing) {
        List<Look> stretch = newest(STRETCH);
        while (waits.size() > stretch.size()) {
            waits.removeFirst();
        }
        stretch = stretch.subList(0, waits.size()); // what was before the clients came does not count
        Map<Long, Double> sums = new HashMap<>();
        waits.forEach(each -> each.forEach((process, wait) -> sums.merge(process, wait, Double::sum)));
        long length = stretch.stream().mapToLong(Look::length).sum();
        long late = proxiesDoing ? 0 : stretch.stream().mapToLong(Look::late).max().orElse(0);
        if (late > worst.together()) {
            worst = new Worst("", look.at(), length, 0, late);
        }
        for (Share share : look.shares()) {
            Worst one = new Worst(share.proxy(), look.at(), length,
                Math.round(sums.getOrDefault(share.process(), 0.0)), late);
            if (one.waited > 0 && one.together() > worst.together()) {
                worst = one;
            }
        }
    }

    /** The looks that end now and last so long together, at the least. */
    private List<Look> newest(long atLeast) {
        List<Look> result = new ArrayList<>();
        long length = 0;
        for (Iterator<Look> each = recent.descendingIterator(); each.hasNext() && length < atLeast;) {
            Look one = each.next();
            result.add(one);
            length += one.length();
        }
        return result;
    }

    /**
     * Of a process's wait, the part that others' use of its cores accounts for: not its own threads, which
     * wait for one another, and not what proxies take beyond their own. What the host took counts too.
     */
    private double byOthers(Share share, long length) {
        double own = 0, taken = 0;
        for (Collection<Look> looks : List.of(newest(STRETCH), recent)) {
            CoreTime had = CoreTime.NONE;
            long ran = 0;
            for (Look look : looks) {
                for (Share one : look.shares()) {
                    if (one.process() == share.process()) {
                        had = had.and(one.cores());
                        ran += one.time().ran();
                    }
                }
            }
            double whole = Math.max(had.busy() + had.stolen(), 1);
            own = Math.max(own, Math.min(1, (ran + excess(looks, share.process())) / whole));
            taken = Math.max(taken, had.stolen() / whole);
        }
        return share.time().inARow(length) * (1 - own) + Math.min(share.time().ran(), length) * taken;
    }

    /** Whether most of the cores' use was by proxies beyond what they may use. */
    private boolean proxiesHad(Collection<Look> looks) {
        double excess = excess(looks, 0);
        return excess > 0 && 2 * excess >= looks.stream().mapToLong(one -> one.cores().busy()).sum();
    }

    /** What proxies but this process took beyond the cores that they may use. */
    private double excess(Collection<Look> looks, long but) {
        Map<Long, Double> over = new HashMap<>();
        for (Look look : looks) {
            for (Share share : look.shares()) {
                over.merge(share.process(), share.time().ran() - cores * look.length(), Double::sum);
            }
        }
        return over.entrySet().stream().filter(one -> one.getKey() != but)
            .mapToDouble(one -> Math.max(0, one.getValue())).sum();
    }

    /** How long a process has waited for a core since its start, by others' doing. */
    public synchronized long waited(long process) {
        return Math.round(waited.getOrDefault(process, 0.0));
    }

    /** A limit of elapsed time was passed, but would not have been without the wait for a core. */
    public synchronized void passed(String what, long took, long itWaited) {
        if (limit == null) {
            limit = String.format(Locale.ROOT, "%s took %.1f s, of which it waited %.1f s for a core", what,
                took / 1e6, itWaited / 1e6);
        }
    }

    /** Why the play's latencies say nothing of the proxies, in a line; null where they do. */
    public synchronized String latenciesVoidReason() {
        if (generator.getValueAtPercentile(PER_MILLE) > MOST_LATE) {
            return late("generator", generator);
        }
        return world.getValueAtPercentile(PER_MILLE) > MOST_LATE ? late("world's loop", world) : null;
    }

    /** Why the referee cannot judge by this play, in a line; null where it can. */
    public synchronized String rulesVoidReason() {
        if (worst.together() > most) {
            return String.format(Locale.ROOT, "%sthe lab was %d ms late, in %d ms at %.1f s after its start "
                + "(bound %d ms together)", worst.waited < MILLI ? "" : worst.proxy + " waited "
                + worst.waited / MILLI + " ms for cores that others had and ", worst.late / MILLI,
                worst.length / MILLI, worst.at / 1e6, most / MILLI);
        }
        return limit;
    }

    private static String late(String what, Histogram by) {
        return "the " + what + " was late: " + by.getValueAtPercentile(PER_MILLE) / 1000 + " ms at p99.9, of "
            + MOST_LATE / 1000;
    }

    /** For the result: the worst stretch, and what each proxy waited for in all. */
    public synchronized Map<String, Object> toResult(boolean counted) {
        Map<String, Object> result = new LinkedHashMap<>();
        result.put("counted", counted);
        result.put("looks", looks);
        result.put("bound_ms", most / 1e3);
        result.put("worst_ms", worst.together() / 1e3);
        result.put("worst_waited_ms", worst.waited / 1e3);
        result.put("worst_lab_late_ms", worst.late / 1e3);
        result.put("worst_proxy", worst.proxy);
        result.put("worst_at_s", worst.at / 1e6);
        Map<String, Object> each = new LinkedHashMap<>();
        all.forEach((proxy, sum) -> each.put(proxy, Math.round(sum / 1e3)));
        result.put("waited_ms", each);
        return result;
    }
}
