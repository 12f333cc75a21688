package dockrelay.lab.scale.members;

import dockrelay.lab.scale.Figure;
import java.util.ArrayList;
import java.util.List;

/** The figures of one play, as they come. */
final class Figures {
    private final String role, how;
    private final int size, play;
    private final List<Figure> all = new ArrayList<>();

    Figures(String role, int size, String how, int play) {
        this.role = role;
        this.size = size;
        this.how = how;
        this.play = play;
    }

    void add(String name, String unit, double value) {
        all.add(new Figure(role, name, size, unit, value, how, play));
    }

    /** Half and 99 in 100 of these times, and which part of those asked never came to it. */
    void times(String name, List<Double> seconds, int never) {
        List<Double> sorted = new ArrayList<>(seconds);
        sorted.sort(null);
        int count = sorted.size() + never;
        for (int each : new int[] {50, 99}) {
            int at = Math.max(0, (int) Math.ceil(count * each / 100.0) - 1);
            if (at < sorted.size()) { // else it was not reached: no time is told
                add(name + ", p" + each, "s", sorted.get(at));
            }
        }
        add(name + ", not within the time looked at", "share", count == 0 ? 0 : (double) never / count);
    }

    /** Another part's figures after these. */
    void addAll(List<Figure> others) {
        all.addAll(others);
    }

    List<Figure> all() {
        return all;
    }
}
