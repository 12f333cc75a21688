package dockrelay.lab.scale.list;

import dockrelay.lab.process.Build;
import dockrelay.lab.scale.ResourceEstimate;
import dockrelay.lab.scale.Figure;
import dockrelay.lab.scale.ProgressLog;
import dockrelay.lab.scale.Role;
import dockrelay.lab.scale.ScaleSpec;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Measures a real proxy with a list of synthetic backends that share a few emulated servers: the proxy loads
 * the full list, then applies changes of it while it serves requests.
 */
public final class ListRole implements Role {
    private static final long PROXY = 192L << 20, OWN = 512L << 20, ENTRY = 2_000;

    @Override
    public String name() {
        return "list";
    }

    @Override
    public ResourceEstimate estimate(ScaleSpec spec, int size) {
        int heap = ListSpec.of(spec).heapMiB();
        return new ResourceEstimate(PROXY + ((long) heap << 20) + OWN + ENTRY * size, 1);
    }

    @Override
    public List<Figure> play(ScaleSpec spec, int size, int play, ProgressLog progress) throws Exception {
        Build build = Build.load(Path.of(System.getProperty("stoatreel.root", ".")));
        ListSpec own = ListSpec.of(spec);
        List<Figure> figures = new ArrayList<>();
        for (String manner : own.manners()) {
            try (ListPlay one = new ListPlay(own, own.build(build), size, manner, spec.seed() + play,
                (unit, what, value) -> {
                    figures.add(new Figure(name(), what + " (" + manner + ")", size, unit, value, "real",
                        play));
                    progress.log("  " + manner + ": " + what + " " + value + " " + unit);
                }, progress)) {
                one.run();
            }
        }
        return figures;
    }
}
