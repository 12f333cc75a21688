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
 * The capacity model of a backend, a state machine without clock or I/O: processor sharing of the cores among
 * the jobs in its slots, a bounded queue, a slowdown under sustained overload, and a cold start during which
 * too much work crashes it. Times are microseconds and must not decrease; work is in microseconds of a
 * standard core.
 */
public final class BackendModel {
    /** How often warm-up and overload are re-evaluated while they change. */
    private static final long STEP_MICROS = 20_000;
    /**
     * A backend that warms up by requests is warm once it has done the work that it could do at full capacity
     * in this share of its warm-up time, and at the end of that time in any case.
     */
    private static final double WARM_UP_WORK_SHARE = 0.5;
    /** Tolerance for random peaks, so that chance alone does not crash a cold backend. */
    private static final double CRASH_TOLERANCE = 1.1;
    private static final long NEVER = Long.MAX_VALUE;

    /** A request or a piece of overhead; the attained work at its start and finish defines its progress. */
    private static final class Job {
        final long id;
        final double workMicros;
        final boolean needsSlot;
        double attainedAtStart, attainedAtFinish;
        boolean running;

        Job(long id, double workMicros, boolean needsSlot) {
            this.id = id;
            this.workMicros = workMicros;
            this.needsSlot = needsSlot;
        }
    }

    /** Work that was offered to a cold backend at a given time. */
    private record OfferedWork(long offeredAt, double workMicros) {
    }

    private final Figures figures;
    private final PriorityQueue<Job> runningJobs = new PriorityQueue<>((a, b) ->
        a.attainedAtFinish != b.attainedAtFinish ? Double.compare(a.attainedAtFinish, b.attainedAtFinish)
            : Long.compare(a.id, b.id));
    private final Deque<Job> queuedJobs = new ArrayDeque<>();
    private final Map<Long, Job> jobs = new HashMap<>();
    private final Deque<OfferedWork> coldWorkWindow = new ArrayDeque<>();
    private long currentTime, startedAt;
    private double attainedWorkPerJob, workDone, coldWorkSum;
    private int usedSlots, openConnections;
    private boolean cold, overloaded, crashed;
    private long overloadSince = -1, lowLoadSince = -1, overloadedAt;
    private double slowdown = 1, stolenCpuShare;
    private long nextOverheadId = -1;

    public BackendModel(Figures figures, long now, boolean cold) {
        this.figures = figures;
        this.currentTime = now;
        this.startedAt = now;
        this.cold = cold && figures.coldTime() > 0;
    }

    /**
     * Offers a request. Returns whether it was accepted; it is rejected if all slots and the queue are full,
     * or if the backend has crashed. As in all methods with {@code endedJobs}, ids of requests that end by
     * {@code now} are added to that list.
     */
    public boolean offer(long now, long id, double workMicros, List<Long> endedJobs) {
        advance(now, endedJobs);
        recordColdWork(workMicros);
        if (crashed || usedSlots >= figures.slots() && queuedJobs.size() >= figures.queue()) {
            return false;
        }
        Job job = new Job(id, workMicros, true);
        jobs.put(id, job);
        if (usedSlots < figures.slots()) {
            startJob(job);
        } else {
            queuedJobs.add(job);
        }
        updateOverload(now);
        return true;
    }

    /** Adds work that occupies no slot: handshakes and probes. */
    public void addOverhead(long now, double workMicros, List<Long> endedJobs) {
        advance(now, endedJobs);
        if (workMicros > 0 && !crashed) {
            Job job = new Job(nextOverheadId--, workMicros, false);
            jobs.put(job.id, job);
            startJob(job);
        }
    }

    /** Cancels a job and returns the work already done on it; -1 if the job does not exist. */
    public double cancel(long now, long id, List<Long> endedJobs) {
        advance(now, endedJobs);
        Job job = jobs.remove(id);
        if (job == null) {
            return -1;
        }
        double workReceived = 0;
        if (job.running) {
            workReceived = Math.min(job.workMicros, Math.max(0, attainedWorkPerJob - job.attainedAtStart));
            runningJobs.remove(job);
            releaseSlot(job);
        } else {
            queuedJobs.remove(job);
        }
        updateOverload(now);
        return workReceived;
    }

    /** Advances the model to the given time; ended requests are added to the list in order of their end. */
    public void advance(long now, List<Long> endedJobs) {
        while (currentTime < now) {
            long stepEnd = needsStepping() ? Math.min(now, currentTime + STEP_MICROS) : now;
            double rate = ratePerJob();
            Job nextToFinish = runningJobs.peek();
            if (nextToFinish != null && rate > 0) {
                long finishAt = currentTime
                    + (long) Math.ceil((nextToFinish.attainedAtFinish - attainedWorkPerJob) / rate);
                if (finishAt <= stepEnd) {
                    accrueWork(Math.max(finishAt, currentTime), rate);
                    attainedWorkPerJob = Math.max(attainedWorkPerJob, nextToFinish.attainedAtFinish);
                    runningJobs.poll();
                    jobs.remove(nextToFinish.id);
                    releaseSlot(nextToFinish);
                    if (nextToFinish.needsSlot) {
                        endedJobs.add(nextToFinish.id);
                    }
                    updateOverload(currentTime);
                    continue;
                }
            }
            accrueWork(stepEnd, rate);
            updateOverload(currentTime);
            updateWarmUp();
        }
    }

    private void accrueWork(long until, double rate) {
        attainedWorkPerJob += rate * (until - currentTime);
        workDone += rate * runningJobs.size() * (until - currentTime);
        currentTime = until;
    }

    private void startJob(Job job) {
        job.running = true;
        job.attainedAtStart = attainedWorkPerJob;
        job.attainedAtFinish = attainedWorkPerJob + job.workMicros;
        runningJobs.add(job);
        if (job.needsSlot) {
            usedSlots++;
        }
    }

    private void releaseSlot(Job job) {
        if (job.needsSlot) {
            usedSlots--;
            Job next = queuedJobs.poll();
            if (next != null) {
                startJob(next);
            }
        }
    }

    /** Returns the work per microsecond that each running job receives. */
    private double ratePerJob() {
        return runningJobs.isEmpty() ? 0 : figures.speed() * speedShare() * Math.min(1,
            (double) figures.cores() / runningJobs.size());
    }

    /** Returns the share of the nominal speed that is available now. */
    private double speedShare() {
        double connectionLoad = Math.min(1, (double) openConnections / figures.connections());
        return warmUpShare() / (overloaded ? figures.chokeSlower() : 1) / slowdown
            * (1 - stolenCpuShare) * (1 - figures.fullTax() * connectionLoad);
    }

    /** Returns the warm-up state: rises from the cold-start share of the nominal speed to 1. */
    public double warmUpShare() {
        if (!cold) {
            return 1;
        }
        double progress = figures.warmByRequests()
            ? workDone / (figures.capacity() * figures.coldTime() * WARM_UP_WORK_SHARE)
            : (double) (currentTime - startedAt) / figures.coldTime();
        return figures.coldFrom() + (1 - figures.coldFrom()) * Math.min(1, progress);
    }

    private void updateWarmUp() {
        if (cold && (currentTime - startedAt >= figures.coldTime() || warmUpShare() >= 1)) {
            cold = false;
            coldWorkWindow.clear();
        }
    }

    /**
     * Records work offered to a cold backend, and crashes it if the work in the window exceeds a multiple of
     * its current capacity. A crashed backend stays down until it is started anew.
     */
    private void recordColdWork(double workMicros) {
        if (!cold) {
            return;
        }
        coldWorkWindow.add(new OfferedWork(currentTime, workMicros));
        coldWorkSum += workMicros;
        while (coldWorkWindow.peek().offeredAt() <= currentTime - figures.fallTime()) {
            coldWorkSum -= coldWorkWindow.poll().workMicros();
        }
        double capacity = figures.capacity() * warmUpShare() * figures.fallTime();
        crashed = crashed || coldWorkSum > figures.fallMultiple() * CRASH_TOLERANCE * capacity;
    }

    /**
     * Enters the slow overloaded state after sustained overload; leaves it once load has been low for the
     * recovery time, or after the maximum duration.
     */
    private void updateOverload(long now) {
        int requests = requestCount();
        if (overloaded) {
            if (requests > figures.chokeBelow() * figures.cores()) {
                lowLoadSince = -1;
            } else if (lowLoadSince < 0) {
                lowLoadSince = now;
            }
            if (lowLoadSince >= 0 && now - lowLoadSince >= figures.chokeRest()
                || now - overloadedAt >= figures.chokeMost()) {
                overloaded = false;
                overloadSince = -1;
            }
        } else if (requests < figures.chokeAt() * figures.cores()) {
            overloadSince = -1;
        } else if (overloadSince < 0) {
            overloadSince = now;
        } else if (now - overloadSince >= figures.chokeOver()) {
            overloaded = true;
            overloadedAt = now;
            lowLoadSince = -1;
        }
    }

    private boolean needsStepping() {
        return cold || overloaded || overloadSince >= 0;
    }

    /** Returns the latest time of the next {@link #advance}; Long.MAX_VALUE if nothing is pending. */
    public long nextEventAt() {
        double rate = ratePerJob();
        Job nextToFinish = runningJobs.peek();
        long finishAt = nextToFinish == null || rate <= 0 ? NEVER : currentTime
            + (long) Math.ceil((nextToFinish.attainedAtFinish - attainedWorkPerJob) / rate);
        return needsStepping() ? Math.min(finishAt, currentTime + STEP_MICROS) : finishAt;
    }

    /** Sets the slowdown factor, and the share of the cores that another program takes. */
    public void setSlowdown(long now, double slowdownFactor, double cpuShareTaken, List<Long> endedJobs) {
        advance(now, endedJobs);
        slowdown = slowdownFactor;
        stolenCpuShare = cpuShareTaken;
    }

    /** Sets the number of open connections, which reduce the speed. */
    public void setConnections(long now, int count, List<Long> endedJobs) {
        advance(now, endedJobs);
        openConnections = count;
    }

    /** Returns the number of requests running or queued. */
    public int requestCount() {
        return usedSlots + queuedJobs.size();
    }

    /** Whether the backend is in the slow state that follows sustained overload. */
    public boolean isOverloaded() {
        return overloaded;
    }

    /** Whether the backend is still warming up after a cold start. */
    public boolean isCold() {
        return cold;
    }

    /** Whether too much work has crashed the backend while it was cold. */
    public boolean isCrashed() {
        return crashed;
    }

    /** Returns the work done since the start, including overhead. */
    public double workDone() {
        return workDone;
    }

    /** Returns the ids of all jobs. */
    public List<Long> jobIds() {
        return new ArrayList<>(jobs.keySet());
    }
}
