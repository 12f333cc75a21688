package dockrelay.lab.scale.members;

import dockrelay.lab.scale.Figure;
import java.util.ArrayList;
import java.util.List;

/** The figures of one play, as they come. */
final class Figures {
    private final String role, environment;
    private final int size, play;
    private final List<Figure> figures = new ArrayList<>();

    Figures(String role, int size, String environment, int play) {
        this.role = role;
        this.size = size;
        this.environment = environment;
        this.play = play;
    }

    void add(String name, String unit, double value) {
        figures.add(new Figure(role, name, size, unit, value, environment, play));
    }

    /** Half and 99 in 100 of these times, and which part of those asked never came to it. */
    void addTimes(String name, List<Double> seconds, int unconverged) {
        List<Double> sorted = new ArrayList<>(seconds);
        sorted.sort(null);
        int total = sorted.size() + unconverged;
        for (int percentile : new int[] {50, 99}) {
            int position = Math.max(0, (int) Math.ceil(total * percentile / 100.0) - 1);
            if (position < sorted.size()) { // else it was not reached: no time is told
                add(name + ", p" + percentile, "s", sorted.get(position));
            }
        }
        add(name + ", not within the time looked at", "share", total == 0 ? 0 : (double) unconverged / total);
    }

    /** Another part's figures after these. */
    void addAll(List<Figure> additional) {
        figures.addAll(additional);
    }

    List<Figure> asList() {
        return figures;
    }
}
