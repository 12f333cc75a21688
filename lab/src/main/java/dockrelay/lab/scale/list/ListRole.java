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
    /** Estimated memory of the proxy (a configured heap is added), of the lab, and for each backend. */
    private static final long PROXY_BYTES = 192L << 20, LAB_BYTES = 512L << 20, BYTES_PER_BACKEND = 2_000;

    @Override
    public String name() {
        return "list";
    }

    @Override
    public ResourceEstimate estimate(ScaleSpec spec, int size) {
        int heapMiB = ListSpec.of(spec).heapMiB();
        return new ResourceEstimate(PROXY_BYTES + ((long) heapMiB << 20) + LAB_BYTES
            + BYTES_PER_BACKEND * size, 1);
    }

    @Override
    public List<Figure> play(ScaleSpec spec, int size, int play, ProgressLog progress) throws Exception {
        Build build = Build.load(Path.of(System.getProperty("stoatreel.root", ".")));
        ListSpec listSpec = ListSpec.of(spec);
        List<Figure> figures = new ArrayList<>();
        for (String discoveryMode : listSpec.discoveryModes()) {
            try (ListPlay listPlay = new ListPlay(listSpec, listSpec.withHeap(build), size, discoveryMode,
                spec.seed() + play, (unit, figureName, value) -> {
                    figures.add(new Figure(name(), figureName + " (" + discoveryMode + ")", size, unit,
                        value, "real", play));
                    progress.log("  " + discoveryMode + ": " + figureName + " " + value + " " + unit);
                }, progress)) {
                listPlay.run();
            }
        }
        return figures;
    }
}
