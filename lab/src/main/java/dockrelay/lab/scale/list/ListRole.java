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
 * Discovery tells a real proxy of so many backends, all hollow but for the nodes that answer for them. The
 * proxy takes the list in whole, then lives through changes while requests flow.
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
