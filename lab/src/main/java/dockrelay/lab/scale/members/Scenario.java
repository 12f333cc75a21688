package dockrelay.lab.scale.members;

import dockrelay.fleet.MembershipSnapshot;
import dockrelay.fleet.MembershipSnapshot.Agreement;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * Scenarios on a virtual fleet. Each starts a fresh fleet with a seed of its own; times are virtual. The
 * constants' names in lower case are the keys of experiment files.
 */
enum Scenario {
    /** Heap of a member; nothing else may run in this JVM meanwhile. */
    HEAP {
        @Override
        void play(ScenarioPlay play, Figures figures) {
            VirtualFleet[] fleet = {play.startedFleet(play.durationMicros("warm") / 2)};
            int memberCount = fleet[0].memberCount();
            long heapWithFleet = usedHeapBytes();
            fleet[0] = null; // classes and shared objects are in both measurements and cancel out
            figures.add("heap of a member", "kB", (heapWithFleet - usedHeapBytes()) / 1e3 / memberCount);
        }
    },
    /** No faults: CPU, traffic and the share of a budget that is handed out. */
    QUIET {
        @Override
        void play(ScenarioPlay play, Figures figures) {
            VirtualFleet fleet = play.warmedUpFleet(0);
            int memberCount = fleet.memberCount();
            ThreadMXBean threads = ManagementFactory.getThreadMXBean();
            long cpuNanosBefore = threads.getCurrentThreadCpuTime(),
                durationMicros = play.durationMicros("quiet");
            fleet.runUntil(fleet.now() + durationMicros);
            double seconds = (double) durationMicros / VirtualFleet.MICROS_PER_SECOND;
            figures.add("processor of a member, with the virtual network's", "% of a core",
                (threads.getCurrentThreadCpuTime() - cpuNanosBefore) / 1e9 / seconds / memberCount * 100);
            for (boolean outbound : new boolean[] {true, false}) {
                Traffic traffic = outbound ? fleet.sentTraffic : fleet.receivedTraffic;
                String label = outbound ? "bytes sent" : "bytes received";
                figures.add(label + ", mean of all members", "B/s",
                    traffic.totalBytes() / seconds / memberCount);
                figures.add(label + ", busiest member", "B/s", traffic.maxMemberBytes() / seconds);
                figures.add(label + ", most in any 10 s", "B/s", traffic.peakBytesPerSecond());
            }
            figures.add("datagrams sent by a member", "1/s",
                fleet.sentTraffic.totalDatagrams() / seconds / memberCount);
            figures.add("longest datagram", "B", fleet.longestDatagramBytes());
            double minTotalShare = Double.MAX_VALUE, shareSum = 0;
            for (int sample = 0; sample < SAMPLES; sample++) {
                fleet.runUntil(fleet.now() + VirtualFleet.MICROS_PER_SECOND / 2);
                double totalShare = 0;
                for (int i = 0; i < memberCount; i++) {
                    totalShare += fleet.snapshot(i).budgetShare();
                }
                minTotalShare = Math.min(minTotalShare, totalShare);
                shareSum += totalShare;
            }
            figures.add("share of a budget given out on a quiet day, mean", "share", shareSum / SAMPLES);
            figures.add("share of a budget given out on a quiet day, least", "share", minTotalShare);
            ConvergenceSampler sampler = new ConvergenceSampler(fleet, 2 * VirtualFleet.MICROS_PER_SECOND,
                true, i -> true, i -> agreesOnCount(fleet, i, memberCount));
            fleet.runUntil(fleet.now() + 3 * VirtualFleet.MICROS_PER_SECOND);
            figures.add("members that know that all agree on a quiet day", "share", 1 - (double) sampler
                .unconvergedCount() / memberCount);
            figures.add("false deaths on a quiet day", "deaths", fleet.falseDeaths());
        }
    },
    /** Single members die, one after the other. */
    DEATHS {
        @Override
        void play(ScenarioPlay play, Figures figures) {
            VirtualFleet fleet = play.warmedUpFleet(0);
            List<Double> groupDetectionSeconds = new ArrayList<>(), fleetDetectionSeconds = new ArrayList<>();
            int undetected = 0, unconverged = 0, deathCount = play.count("deaths");
            for (int death = 0; death < deathCount; death++) {
                int victim = randomMember(fleet);
                long killedAt = fleet.now();
                int group = play.groupOf(victim, fleet);
                Set<Integer> unaware = new HashSet<>();
                for (int i = 0; i < fleet.memberCount(); i++) {
                    if (i != victim && fleet.isRunning(i) && play.groupOf(i, fleet) == group) {
                        unaware.add(i);
                    }
                }
                fleet.setDeathListener((observer, member, now) -> {
                    if (member == victim && unaware.remove(observer)) {
                        groupDetectionSeconds.add((double) (now - killedAt) / VirtualFleet.MICROS_PER_SECOND);
                    }
                });
                fleet.kill(victim);
                int expectedCount = runningCount(fleet);
                ConvergenceSampler sampler = new ConvergenceSampler(fleet, play.durationMicros("gap"), true,
                    i -> true, i -> fleet.snapshot(i).countedMembers() == expectedCount);
                fleet.runUntil(killedAt + play.durationMicros("gap"));
                undetected += unaware.size();
                fleetDetectionSeconds.addAll(sampler.convergenceSeconds());
                unconverged += sampler.unconvergedCount();
            }
            figures.addTimes("a death, held gone in its group", groupDetectionSeconds, undetected);
            figures.addTimes("a death, counted by all", fleetDetectionSeconds, unconverged);
        }
    },
    /** A seventh of all members, chosen at random, dies at once. */
    SEVENTH {
        @Override
        void play(ScenarioPlay play, Figures figures) {
            VirtualFleet fleet = play.warmedUpFleet(0);
            List<Integer> shuffled = shuffledRunning(fleet);
            killAndMeasure(play, fleet, figures, new HashSet<>(shuffled.subList(0, shuffled.size() / 7)),
                "a seventh lost");
        }
    },
    /** The zone with a seventh of all members fails. */
    ZONE {
        @Override
        void play(ScenarioPlay play, Figures figures) {
            VirtualFleet fleet = play.warmedUpFleet(0);
            Set<Integer> victims = new HashSet<>();
            for (int i = 0; i < fleet.memberCount(); i++) {
                if (Layout.zoneOf(fleet.nameOf(i)).equals(Layout.SEVENTH_ZONE)) {
                    victims.add(i);
                }
            }
            killAndMeasure(play, fleet, figures, victims, "a zone lost");
        }
    },
    /** A region is partitioned from the others, then reconnected. */
    REGION {
        @Override
        void play(ScenarioPlay play, Figures figures) {
            VirtualFleet fleet = play.warmedUpFleet(0);
            int memberCount = fleet.memberCount();
            Set<Integer> isolated = new HashSet<>();
            for (int i = 0; i < memberCount; i++) {
                if (Layout.regionOf(fleet.nameOf(i)).equals(Layout.CUT_OFF_REGION)) {
                    fleet.setPartition(i, 1);
                    isolated.add(i);
                }
            }
            long partitionMicros = play.durationMicros("cut_for");
            ConvergenceSampler partitionSampler = new ConvergenceSampler(fleet,
                Math.min(partitionMicros, play.durationMicros("look")), true, i -> !isolated.contains(i),
                i -> fleet.snapshot(i).countedMembers() == memberCount - isolated.size());
            fleet.runUntil(fleet.now() + partitionMicros);
            figures.addTimes("a region cut off, counted by all others", partitionSampler.convergenceSeconds(),
                partitionSampler.unconvergedCount());
            isolated.forEach(i -> fleet.setPartition(i, 0));
            ConvergenceSampler returnSampler = new ConvergenceSampler(fleet, play.durationMicros("look"),
                true, i -> true, i -> agreesOnCount(fleet, i, memberCount));
            fleet.runUntil(fleet.now() + play.durationMicros("look"));
            figures.addTimes("a region back, all agree", returnSampler.convergenceSeconds(),
                returnSampler.unconvergedCount());
            addPeakTraffic(fleet, figures, "a region cut off and back");
        }
    },
    /** One datagram in a hundred is lost, and no member dies. */
    LOSS {
        @Override
        void play(ScenarioPlay play, Figures figures) {
            VirtualFleet fleet = play.warmedUpFleet(0);
            fleet.setLossProbability(LOSS_PROBABILITY);
            long durationMicros = Math.min(play.durationMicros("loss_for"),
                play.durationMicros("loss_member_minutes") * 60 * VirtualFleet.MICROS_PER_SECOND
                / fleet.memberCount());
            long deathsBefore = fleet.falseDeaths();
            fleet.runUntil(fleet.now() + durationMicros);
            figures.add("false deaths at 1% loss", "deaths", fleet.falseDeaths() - deathsBefore);
            figures.add("member-minutes at 1% loss", "min",
                (double) durationMicros / VirtualFleet.MICROS_PER_SECOND / 60 * fleet.memberCount());
            addPeakTraffic(fleet, figures, "1% loss");
        }
    },
    /** Ordinary restarts, the loss of a rack, a change of the member list and the return of the rack. */
    BUSY {
        @Override
        void play(ScenarioPlay play, Figures figures) {
            new BusyDay(play, play.warmedUpFleet(BusyDay.CHANGED_NAMES), figures).run();
        }
    };

    private static final int SAMPLES = 10;
    private static final double LOSS_PROBABILITY = 0.01;

    /** Plays this scenario and records its figures. */
    abstract void play(ScenarioPlay play, Figures figures);

    /** The key of this scenario in experiment files. */
    String key() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Kills the victims and measures how the others notice. */
    private static void killAndMeasure(ScenarioPlay play, VirtualFleet fleet, Figures figures,
        Set<Integer> victims, String label) {
        victims.forEach(fleet::kill);
        int expectedCount = runningCount(fleet);
        ConvergenceSampler sampler = new ConvergenceSampler(fleet, play.durationMicros("look"), true,
            i -> true, i -> fleet.snapshot(i).countedMembers() == expectedCount);
        fleet.runUntil(fleet.now() + play.durationMicros("look"));
        figures.addTimes(label + ", counted by all", sampler.convergenceSeconds(),
            sampler.unconvergedCount());
        addPeakTraffic(fleet, figures, label);
    }

    /** Records the peak traffic of any member over ten seconds. */
    static void addPeakTraffic(VirtualFleet fleet, Figures figures, String label) {
        figures.add("bytes sent, most in any 10 s, " + label, "B/s", fleet.sentTraffic.peakBytesPerSecond());
        figures.add("bytes received, most in any 10 s, " + label, "B/s",
            fleet.receivedTraffic.peakBytesPerSecond());
    }

    /** Whether the member counts this many members and knows that all agree. */
    static boolean agreesOnCount(VirtualFleet fleet, int member, int count) {
        MembershipSnapshot snapshot = fleet.snapshot(member);
        return snapshot.agreement() == Agreement.ALL && snapshot.countedMembers() == count;
    }

    /** Number of running members. */
    static int runningCount(VirtualFleet fleet) {
        int result = 0;
        for (int i = 0; i < fleet.memberCount(); i++) {
            result += fleet.isRunning(i) ? 1 : 0;
        }
        return result;
    }

    /** Indexes of the running members in a random order that the seed determines. */
    static List<Integer> shuffledRunning(VirtualFleet fleet) {
        List<Integer> result = new ArrayList<>();
        for (int i = 0; i < fleet.memberCount(); i++) {
            if (fleet.isRunning(i)) {
                result.add(i);
            }
        }
        result.sort(Comparator.naturalOrder());
        Collections.shuffle(result, fleet.random);
        return result;
    }

    private static int randomMember(VirtualFleet fleet) {
        return shuffledRunning(fleet).get(0);
    }

    /** Used heap after garbage collection, in bytes. */
    private static long usedHeapBytes() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
