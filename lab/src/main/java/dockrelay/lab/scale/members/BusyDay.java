package dockrelay.lab.scale.members;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Ordinary restarts go on; a rack dies at once; a changed list is told to one after the other; the rack comes
 * back.
 */
final class BusyDay {
    /** Names that go and names that come with the change. */
    static final int CHANGED = 8;
    private static final int RACK = 40;
    private static final long SECOND = VirtualFleet.SECOND;
    /** One restart in 7.6 s among 5,700; among few as often as one in 15 s, so that there are some. */
    private static final double RESTARTS = 7.6 * 5_700, SELDOM = 15;
    private static final long GOODBYE = SECOND, DOWN = 2 * SECOND;
    private static final long RACK_AT = 20 * SECOND, LIST_AT = 30 * SECOND, TOLD_WITHIN = 6 * SECOND,
        QUIET_AT = 60 * SECOND, END = 90 * SECOND;
    /** A restart or two may be under way. */
    private static final int UNDER_WAY = 2;

    private final VirtualFleet fleet;
    private final Figures figures;
    private final Set<Integer> rack = new HashSet<>(), off = new HashSet<>(), down = new HashSet<>();
    private final Layout[] lists;
    private final long zero, every;
    private Layout layout;
    private int restarts, counted;
    private long countedAt = -1;

    BusyDay(Play play, VirtualFleet fleet, Figures figures) {
        this.fleet = fleet;
        this.figures = figures;
        this.layout = play.layout();
        this.zero = fleet.now();
        this.lists = new Layout[fleet.count() + CHANGED];
        java.util.Arrays.fill(lists, layout);
        this.every = (long) (Math.min(SELDOM, RESTARTS / layout.size()) * SECOND);
    }

    void run() {
        fleet.later(every, this::restart);
        fleet.runUntil(zero + RACK_AT);
        List<Integer> drawn = Scenario.drawn(fleet);
        drawn.removeAll(down);
        rack.addAll(drawn.subList(0, Math.min(RACK, layout.size() / 4)));
        rack.forEach(fleet::kill);
        Watch rackGone = new Watch(fleet, LIST_AT - RACK_AT - SECOND, false,
            i -> !down.contains(i), this::nearly);
        fleet.runUntil(zero + LIST_AT - SECOND / 2);
        figures.times("a rack lost among restarts, counted by all", rackGone.times(), rackGone.unsettled());
        change(drawn.subList(rack.size(), rack.size() + CHANGED));
        fleet.runUntil(fleet.now() + TOLD_WITHIN);
        Watch told = new Watch(fleet, zero + QUIET_AT - 2 * SECOND - fleet.now(), false,
            i -> !down.contains(i), this::nearly);
        fleet.runUntil(zero + QUIET_AT);
        figures.times("a list told among restarts, counted by all after the last was told", told.times(),
            told.unsettled());
        figures.add("members that count wrongly after a list was told, among restarts", "share of looks",
            told.wrong());
        rack.forEach(i -> fleet.start(i, lists[i]));
        rack.clear();
        int all = Scenario.living(fleet);
        Watch back = new Watch(fleet, END - QUIET_AT, true, i -> !off.contains(i),
            i -> Scenario.settled(fleet, i, all));
        fleet.runUntil(zero + END);
        figures.times("a rack back, all agree", back.times(), back.unsettled());
        figures.add("restarts on the busy day", "restarts", restarts);
        figures.add("false deaths on the busy day", "deaths", fleet.falseDeaths());
        Scenario.most(fleet, figures, "busy day");
    }

    private boolean nearly(int member) {
        if (countedAt != fleet.now()) {
            countedAt = fleet.now();
            counted = Scenario.living(fleet);
        }
        return Math.abs(fleet.standing(member).countedMembers() - counted) <= UNDER_WAY;
    }

    private void restart() {
        if (fleet.now() > zero + QUIET_AT - GOODBYE - DOWN - 2 * SECOND) {
            return;
        }
        fleet.later(every, this::restart);
        List<Integer> able = Scenario.drawn(fleet);
        able.removeAll(down);
        able.removeAll(off);
        int one = able.get(0);
        down.add(one);
        restarts++;
        fleet.leave(one);
        fleet.later(GOODBYE, () -> {
            fleet.kill(one);
            fleet.later(DOWN, () -> {
                down.remove(one);
                if (!rack.contains(one)) {
                    fleet.start(one, lists[one]);
                }
            });
        });
    }

    /** Some names go, who have ended before; some come; the rest is told within some seconds. */
    private void change(List<Integer> going) {
        List<String> names = new ArrayList<>();
        for (int i : going) {
            if (!down.contains(i) && fleet.lives(i)) {
                names.add(fleet.name(i));
                off.add(i);
                fleet.leave(i);
                fleet.later(GOODBYE, () -> fleet.kill(i));
            }
        }
        layout = layout.changed(names, CHANGED);
        for (int i = 0; i < fleet.count(); i++) {
            int member = i;
            if (!off.contains(i)) {
                fleet.later((long) (fleet.random.nextDouble() * TOLD_WITHIN), () -> {
                    lists[member] = layout;
                    if (fleet.lives(member)) {
                        fleet.configure(member, layout);
                    }
                });
            }
        }
        List<String> all = layout.names();
        for (String name : all.stream().filter(one -> one.contains("-new")).toList()) {
            int index = fleet.add(name);
            lists[index] = layout;
            fleet.later((long) (fleet.random.nextDouble() * TOLD_WITHIN), () -> fleet.start(index, layout));
        }
    }
}
