package dockrelay.lab.world;

import dockrelay.lab.plan.Plan.Figures;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * A planner node as a pure state machine: cores shared evenly by what runs in its slots, a waiting room,
 * crowding,
 * a cold start that can be pushed over. Times are microseconds and never go back; work is in microseconds of
 * a
 * standard core.
 */
public final class NodeModel {
    /** Warmth and crowding are looked at so often while they change. */
    private static final long STEP = 20_000;
    /** Warm by requests: once it has done the work of so much of its cold time; at its end in any case. */
    private static final double WARM_WORK = 0.5;
    /** Chance is not to push a node over: one window may hold so much more. */
    private static final double FALL_SLACK = 1.1;
    private static final long NEVER = Long.MAX_VALUE;

    private static final class Job {
        final long id;
        final double work;
        final boolean slot;
        double start, finish;
        boolean running;

        Job(long id, double work, boolean slot) {
            this.id = id;
            this.work = work;
            this.slot = slot;
        }
    }

    private record Pressure(long at, double work) {
    }

    private final Figures figures;
    private final PriorityQueue<Job> running = new PriorityQueue<>((a, b) ->
        a.finish != b.finish ? Double.compare(a.finish, b.finish) : Long.compare(a.id, b.id));
    private final Deque<Job> waiting = new ArrayDeque<>();
    private final Map<Long, Job> jobs = new HashMap<>();
    private final Deque<Pressure> pressure = new ArrayDeque<>();
    private long at, startedAt;
    private double attained, done, pressed;
    private int slotsTaken, connections;
    private boolean cold, choked, fallen;
    private long overSince = -1, restSince = -1, chokedAt;
    private double slower = 1, stolen;
    private long overheads = -1;

    public NodeModel(Figures figures, long now, boolean cold) {
        this.figures = figures;
        this.at = now;
        this.startedAt = now;
        this.cold = cold && figures.coldTime() > 0;
    }

    /** Takes a job and says so, or turns it away where slots and waiting room are full. */
    public boolean offer(long now, long id, double work, List<Long> ended) {
        advance(now, ended);
        press(work);
        if (fallen || slotsTaken >= figures.slots() && waiting.size() >= figures.queue()) {
            return false;
        }
        Job job = new Job(id, work, true);
        jobs.put(id, job);
        if (slotsTaken < figures.slots()) {
            run(job);
        } else {
            waiting.add(job);
        }
        crowd(now);
        return true;
    }

    /** Work that takes no slot: handshakes and probes. */
    public void overhead(long now, double work, List<Long> ended) {
        advance(now, ended);
        if (work > 0 && !fallen) {
            Job job = new Job(overheads--, work, false);
            jobs.put(job.id, job);
            run(job);
        }
    }

    /**
     * Stops a job, if it is still there, and tells how much work it has had; below 0 where it is not there.
     */
    public double cancel(long now, long id, List<Long> ended) {
        advance(now, ended);
        Job job = jobs.remove(id);
        if (job == null) {
            return -1;
        }
        double had = 0;
        if (job.running) {
            had = Math.min(job.work, Math.max(0, attained - job.start));
            running.remove(job);
            leave(job);
        } else {
            waiting.remove(job);
        }
        crowd(now);
        return had;
    }

    /** Carries time on; what has ended by then is added to the list, in order. */
    public void advance(long now, List<Long> ended) {
        while (at < now) {
            long step = settling() ? Math.min(now, at + STEP) : now;
            double rate = rate();
            Job head = running.peek();
            if (head != null && rate > 0) {
                long finish = at + (long) Math.ceil((head.finish - attained) / rate);
                if (finish <= step) {
                    spend(Math.max(finish, at), rate);
                    attained = Math.max(attained, head.finish);
                    running.poll();
                    jobs.remove(head.id);
                    leave(head);
                    if (head.slot) {
                        ended.add(head.id);
                    }
                    crowd(at);
                    continue;
                }
            }
            spend(step, rate);
            crowd(at);
            warm();
        }
    }

    private void spend(long until, double rate) {
        attained += rate * (until - at);
        done += rate * running.size() * (until - at);
        at = until;
    }

    private void run(Job job) {
        job.running = true;
        job.start = attained;
        job.finish = attained + job.work;
        running.add(job);
        if (job.slot) {
            slotsTaken++;
        }
    }

    private void leave(Job job) {
        if (job.slot) {
            slotsTaken--;
            Job next = waiting.poll();
            if (next != null) {
                run(next);
            }
        }
    }

    /** What one job gets in a microsecond. */
    private double rate() {
        return running.isEmpty() ? 0 : figures.speed() * health() * Math.min(1,
            (double) figures.cores() / running.size());
    }

    /** The share of its speed that it has at present. */
    private double health() {
        double full = Math.min(1, (double) connections / figures.connections());
        return warmth() / (choked ? figures.chokeSlower()
            : 1) / slower * (1 - stolen) * (1 - figures.fullTax() * full);
    }

    /** From the share it starts with up to 1. */
    public double warmth() {
        if (!cold) {
            return 1;
        }
        double share = figures.warmByRequests() ? done / (figures.capacity() * figures.coldTime() * WARM_WORK)
            : (double) (at - startedAt) / figures.coldTime();
        return figures.coldFrom() + (1 - figures.coldFrom()) * Math.min(1, share);
    }

    private void warm() {
        if (cold && (at - startedAt >= figures.coldTime() || warmth() >= 1)) {
            cold = false;
            pressure.clear();
        }
    }

    /** A cold node that is sent a multiple of what it can do, for a while, falls over and stays down. */
    private void press(double work) {
        if (!cold) {
            return;
        }
        pressure.add(new Pressure(at, work));
        pressed += work;
        while (pressure.peek().at() <= at - figures.fallTime()) {
            pressed -= pressure.poll().work();
        }
        double can = figures.capacity() * warmth() * figures.fallTime();
        fallen = fallen || pressed > figures.fallMultiple() * FALL_SLACK * can;
    }

    /** Crowded for long enough it turns slower, until it has been mostly idle for a while, or for long. */
    private void crowd(long now) {
        int held = held();
        if (choked) {
            if (held > figures.chokeBelow() * figures.cores()) {
                restSince = -1;
            } else if (restSince < 0) {
                restSince = now;
            }
            if (restSince >= 0 && now - restSince >= figures.chokeRest()
                || now - chokedAt >= figures.chokeMost()) {
                choked = false;
                overSince = -1;
            }
        } else if (held < figures.chokeAt() * figures.cores()) {
            overSince = -1;
        } else if (overSince < 0) {
            overSince = now;
        } else if (now - overSince >= figures.chokeOver()) {
            choked = true;
            chokedAt = now;
            restSince = -1;
        }
    }

    private boolean settling() {
        return cold || choked || overSince >= 0;
    }

    /** When it has to be looked at again, at the latest; Long.MAX_VALUE where nothing is to come. */
    public long next() {
        double rate = rate();
        Job head = running.peek();
        long finish = head == null || rate <= 0 ? NEVER : at
            + (long) Math.ceil((head.finish - attained) / rate);
        return settling() ? Math.min(finish, at + STEP) : finish;
    }

    /** Slower by this factor, and with this share of its cores taken by another program. */
    public void trouble(long now, double factor, double share, List<Long> ended) {
        advance(now, ended);
        slower = factor;
        stolen = share;
    }

    public void connections(long now, int open, List<Long> ended) {
        advance(now, ended);
        connections = open;
    }

    /** Requests that it holds, running or waiting. */
    public int held() {
        return slotsTaken + waiting.size();
    }

    public boolean choked() {
        return choked;
    }

    public boolean cold() {
        return cold;
    }

    /** Whether it was pushed over while cold. */
    public boolean fallen() {
        return fallen;
    }

    /** Work done since its start, of requests and of all else. */
    public double done() {
        return done;
    }

    /** The ids of what it holds, for whoever ends it. */
    public List<Long> holds() {
        return new ArrayList<>(jobs.keySet());
    }
}
