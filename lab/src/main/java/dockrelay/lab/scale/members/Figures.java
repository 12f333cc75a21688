package dockrelay.lab.scale.members;

import dockrelay.lab.scale.Figure;
import java.util.ArrayList;
import java.util.List;

/** Collects the figures of one play in the order of their recording. */
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

    /**
     * Adds the 50th and 99th percentile of these times, and the share of members that never reached the
     * state.
     *
     * @param never number of members that did not reach the state; they count in the percentiles
     */
    void addTimes(String name, List<Double> seconds, int unconverged) {
        List<Double> sorted = new ArrayList<>(seconds);
        sorted.sort(null);
        int total = sorted.size() + unconverged;
        for (int percentile : new int[] {50, 99}) {
            int position = Math.max(0, (int) Math.ceil(total * percentile / 100.0) - 1);
            if (position < sorted.size()) { // otherwise this percentile was not reached and is omitted
                add(name + ", p" + percentile, "s", sorted.get(position));
            }
        }
        add(name + ", not within the time looked at", "share", total == 0 ? 0 : (double) unconverged / total);
    }

    /** Appends figures that were collected elsewhere. */
    void addAll(List<Figure> additional) {
        figures.addAll(additional);
    }

    List<Figure> asList() {
        return figures;
    }
}
