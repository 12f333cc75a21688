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
public final class BackendModel {
    /** Warmth and crowding are looked at so often while they change. */
    private static final long STEP_MICROS = 20_000;
    /** Warm by requests: once it has done the work of so much of its cold time; at its end in any case. */
    private static final double WARM_UP_WORK_SHARE = 0.5;
    /** Chance is not to push a node over: one window may hold so much more. */
    private static final double CRASH_TOLERANCE = 1.1;
    private static final long NEVER = Long.MAX_VALUE;

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

    /** Takes a job and says so, or turns it away where slots and waiting room are full. */
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

    /** Work that takes no slot: handshakes and probes. */
    public void addOverhead(long now, double workMicros, List<Long> endedJobs) {
        advance(now, endedJobs);
        if (workMicros > 0 && !crashed) {
            Job job = new Job(nextOverheadId--, workMicros, false);
            jobs.put(job.id, job);
            startJob(job);
        }
    }

    /**
     * Stops a job, if it is still there, and tells how much work it has had; below 0 where it is not there.
     */
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

    /** Carries time on; what has ended by then is added to the list, in order. */
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

    /** What one job gets in a microsecond. */
    private double ratePerJob() {
        return runningJobs.isEmpty() ? 0 : figures.speed() * speedShare() * Math.min(1,
            (double) figures.cores() / runningJobs.size());
    }

    /** The share of its speed that it has at present. */
    private double speedShare() {
        double connectionLoad = Math.min(1, (double) openConnections / figures.connections());
        return warmUpShare() / (overloaded ? figures.chokeSlower()
            : 1) / slowdown * (1 - stolenCpuShare) * (1 - figures.fullTax() * connectionLoad);
    }

    /** From the share it starts with up to 1. */
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

    /** A cold node that is sent a multiple of what it can do, for a while, falls over and stays down. */
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

    /** Crowded for long enough it turns slower, until it has been mostly idle for a while, or for long. */
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

    /** When it has to be looked at again, at the latest; Long.MAX_VALUE where nothing is to come. */
    public long nextEventAt() {
        double rate = ratePerJob();
        Job nextToFinish = runningJobs.peek();
        long finishAt = nextToFinish == null || rate <= 0 ? NEVER : currentTime
            + (long) Math.ceil((nextToFinish.attainedAtFinish - attainedWorkPerJob) / rate);
        return needsStepping() ? Math.min(finishAt, currentTime + STEP_MICROS) : finishAt;
    }

    /** Slower by this factor, and with this share of its cores taken by another program. */
    public void setSlowdown(long now, double slowdownFactor, double cpuShareTaken, List<Long> endedJobs) {
        advance(now, endedJobs);
        slowdown = slowdownFactor;
        stolenCpuShare = cpuShareTaken;
    }

    public void setConnections(long now, int count, List<Long> endedJobs) {
        advance(now, endedJobs);
        openConnections = count;
    }

    /** Requests that it holds, running or waiting. */
    public int requestCount() {
        return usedSlots + queuedJobs.size();
    }

    public boolean isOverloaded() {
        return overloaded;
    }

    public boolean isCold() {
        return cold;
    }

    /** Whether it was pushed over while cold. */
    public boolean isCrashed() {
        return crashed;
    }

    /** Work done since its start, of requests and of all else. */
    public double workDone() {
        return workDone;
    }

    /** The ids of what it holds, for whoever ends it. */
    public List<Long> jobIds() {
        return new ArrayList<>(jobs.keySet());
    }
}
