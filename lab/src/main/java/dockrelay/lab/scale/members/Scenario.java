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

/** What befalls a virtual fleet, each from a fresh start and a seed of its own; times are virtual. */
enum Scenario {
    /** What the members hold; nothing else may run in this JVM meanwhile. */
    HEAP {
        @Override
        void play(Play play, Figures figures) {
            VirtualFleet[] fleet = {play.started(play.time("warm") / 2)};
            int members = fleet[0].count();
            long with = heap();
            fleet[0] = null; // what is loaded and kept once is in both
            figures.add("heap of a member", "kB", (with - heap()) / 1e3 / members);
        }
    },
    /** Nothing at all: what it costs, and what of a budget is given out. */
    QUIET {
        @Override
        void play(Play play, Figures figures) {
            VirtualFleet fleet = play.warm(0);
            int n = fleet.count();
            ThreadMXBean threads = ManagementFactory.getThreadMXBean();
            long cpu = threads.getCurrentThreadCpuTime(), span = play.time("quiet");
            fleet.runUntil(fleet.now() + span);
            double seconds = (double) span / VirtualFleet.SECOND;
            figures.add("processor of a member, with the virtual network's", "% of a core",
                (threads.getCurrentThreadCpuTime() - cpu) / 1e9 / seconds / n * 100);
            for (boolean sent : new boolean[] {true, false}) {
                Traffic way = sent ? fleet.out : fleet.in;
                String what = sent ? "bytes sent" : "bytes received";
                figures.add(what + ", mean of all members", "B/s", way.bytes() / seconds / n);
                figures.add(what + ", busiest member", "B/s", way.mostOfOne() / seconds);
                figures.add(what + ", most in any 10 s", "B/s", way.mostInTenSeconds());
            }
            figures.add("datagrams sent by a member", "1/s", fleet.out.datagrams() / seconds / n);
            figures.add("longest datagram", "B", fleet.longest());
            double least = Double.MAX_VALUE, sum = 0;
            for (int look = 0; look < LOOKS; look++) {
                fleet.runUntil(fleet.now() + VirtualFleet.SECOND / 2);
                double shares = 0;
                for (int i = 0; i < n; i++) {
                    shares += fleet.standing(i).budgetShare();
                }
                least = Math.min(least, shares);
                sum += shares;
            }
            figures.add("share of a budget given out on a quiet day, mean", "share", sum / LOOKS);
            figures.add("share of a budget given out on a quiet day, least", "share", least);
            Watch watch = new Watch(fleet, 2 * VirtualFleet.SECOND, true, i -> true,
                i -> settled(fleet, i, n));
            fleet.runUntil(fleet.now() + 3 * VirtualFleet.SECOND);
            figures.add("members that know that all agree on a quiet day", "share", 1 - (double) watch
                .unsettled() / n);
            figures.add("false deaths on a quiet day", "deaths", fleet.falseDeaths());
        }
    },
    /** Single ones die, one after the other. */
    DEATHS {
        @Override
        void play(Play play, Figures figures) {
            VirtualFleet fleet = play.warm(0);
            List<Double> inGroup = new ArrayList<>(), byAll = new ArrayList<>();
            int missed = 0, never = 0, count = play.count("deaths");
            for (int death = 0; death < count; death++) {
                int victim = any(fleet);
                long at = fleet.now();
                int group = play.group(victim, fleet);
                Set<Integer> hearing = new HashSet<>();
                for (int i = 0; i < fleet.count(); i++) {
                    if (i != victim && fleet.lives(i) && play.group(i, fleet) == group) {
                        hearing.add(i);
                    }
                }
                fleet.tellDeaths((observer, member, now) -> {
                    if (member == victim && hearing.remove(observer)) {
                        inGroup.add((double) (now - at) / VirtualFleet.SECOND);
                    }
                });
                fleet.kill(victim);
                int live = living(fleet);
                Watch watch = new Watch(fleet, play.time("gap"), true, i -> true,
                    i -> fleet.standing(i).countedMembers() == live);
                fleet.runUntil(at + play.time("gap"));
                missed += hearing.size();
                byAll.addAll(watch.times());
                never += watch.unsettled();
            }
            figures.times("a death, held gone in its group", inGroup, missed);
            figures.times("a death, counted by all", byAll, never);
        }
    },
    /** A seventh of all, drawn evenly. */
    SEVENTH {
        @Override
        void play(Play play, Figures figures) {
            VirtualFleet fleet = play.warm(0);
            List<Integer> all = drawn(fleet);
            lose(play, fleet, figures, new HashSet<>(all.subList(0, all.size() / 7)), "a seventh lost");
        }
    },
    /** The zone that has a seventh of all. */
    ZONE {
        @Override
        void play(Play play, Figures figures) {
            VirtualFleet fleet = play.warm(0);
            Set<Integer> victims = new HashSet<>();
            for (int i = 0; i < fleet.count(); i++) {
                if (Layout.zone(fleet.name(i)).equals(Layout.SEVENTH)) {
                    victims.add(i);
                }
            }
            lose(play, fleet, figures, victims, "a zone lost");
        }
    },
    /** A region is cut off from the others, and comes back. */
    REGION {
        @Override
        void play(Play play, Figures figures) {
            VirtualFleet fleet = play.warm(0);
            int n = fleet.count();
            Set<Integer> off = new HashSet<>();
            for (int i = 0; i < n; i++) {
                if (Layout.region(fleet.name(i)).equals(Layout.REGION)) {
                    fleet.side(i, 1);
                    off.add(i);
                }
            }
            long cut = play.time("cut_for");
            Watch away = new Watch(fleet, Math.min(cut, play.time("look")), true, i -> !off.contains(i),
                i -> fleet.standing(i).countedMembers() == n - off.size());
            fleet.runUntil(fleet.now() + cut);
            figures.times("a region cut off, counted by all others", away.times(), away.unsettled());
            off.forEach(i -> fleet.side(i, 0));
            Watch back = new Watch(fleet, play.time("look"), true, i -> true, i -> settled(fleet, i, n));
            fleet.runUntil(fleet.now() + play.time("look"));
            figures.times("a region back, all agree", back.times(), back.unsettled());
            most(fleet, figures, "a region cut off and back");
        }
    },
    /** One datagram in a hundred is lost, and nobody dies. */
    LOSS {
        @Override
        void play(Play play, Figures figures) {
            VirtualFleet fleet = play.warm(0);
            fleet.lose(LOSS_SHARE);
            long lasts = Math.min(play.time("loss_for"), play.time("loss_member_minutes") * 60
                * VirtualFleet.SECOND / fleet.count());
            long before = fleet.falseDeaths();
            fleet.runUntil(fleet.now() + lasts);
            figures.add("false deaths at 1% loss", "deaths", fleet.falseDeaths() - before);
            figures.add("member-minutes at 1% loss", "min", (double) lasts / VirtualFleet.SECOND / 60
                * fleet.count());
            most(fleet, figures, "1% loss");
        }
    },
    /** Restarts as on any day, a rack dies, the list changes, and the rack comes back. */
    BUSY {
        @Override
        void play(Play play, Figures figures) {
            new BusyDay(play, play.warm(BusyDay.CHANGED), figures).run();
        }
    };

    private static final int LOOKS = 10;
    private static final double LOSS_SHARE = 0.01;

    abstract void play(Play play, Figures figures);

    String word() {
        return name().toLowerCase(Locale.ROOT);
    }

    private static void lose(Play play, VirtualFleet fleet, Figures figures, Set<Integer> victims,
                             String what) {
        victims.forEach(fleet::kill);
        int live = living(fleet);
        Watch watch = new Watch(fleet, play.time("look"), true, i -> true,
            i -> fleet.standing(i).countedMembers() == live);
        fleet.runUntil(fleet.now() + play.time("look"));
        figures.times(what + ", counted by all", watch.times(), watch.unsettled());
        most(fleet, figures, what);
    }

    static void most(VirtualFleet fleet, Figures figures, String what) {
        figures.add("bytes sent, most in any 10 s, " + what, "B/s", fleet.out.mostInTenSeconds());
        figures.add("bytes received, most in any 10 s, " + what, "B/s", fleet.in.mostInTenSeconds());
    }

    static boolean settled(VirtualFleet fleet, int member, int count) {
        MembershipSnapshot standing = fleet.standing(member);
        return standing.agreement() == Agreement.ALL && standing.countedMembers() == count;
    }

    static int living(VirtualFleet fleet) {
        int result = 0;
        for (int i = 0; i < fleet.count(); i++) {
            result += fleet.lives(i) ? 1 : 0;
        }
        return result;
    }

    /** Those that live, in an order that the seed draws. */
    static List<Integer> drawn(VirtualFleet fleet) {
        List<Integer> result = new ArrayList<>();
        for (int i = 0; i < fleet.count(); i++) {
            if (fleet.lives(i)) {
                result.add(i);
            }
        }
        result.sort(Comparator.naturalOrder());
        Collections.shuffle(result, fleet.random);
        return result;
    }

    private static int any(VirtualFleet fleet) {
        return drawn(fleet).get(0);
    }

    /** What is held after all that nobody needs is gone. */
    private static long heap() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
