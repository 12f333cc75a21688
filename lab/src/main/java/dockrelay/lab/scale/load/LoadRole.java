package dockrelay.lab.scale.load;

import dockrelay.lab.process.Build;
import dockrelay.lab.scale.ResourceEstimate;
import dockrelay.lab.scale.Figure;
import dockrelay.lab.scale.ProgressLog;
import dockrelay.lab.scale.Role;
import dockrelay.lab.scale.ScaleSpec;
import dockrelay.lab.spec.TomlSection;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Measures the latency that one proxy adds, by comparing requests through it with as many requests a second
 * that go directly to the same servers. If the generator was late, the latencies are void and the play is
 * repeated, up to a configured number of times; figures of CPU and memory hold nevertheless.
 */
public final class LoadRole implements Role {
    private static final long BYTES = 768L << 20, SECOND = 1_000_000, MINUTE = 60 * SECOND;

    /** Settings from the role's own section; times are in microseconds unless named otherwise. */
    record Keys(long warm, long length, double lateMillis, int again) {
        static Keys of(ScaleSpec spec) {
            TomlSection own = spec.roleSection();
            Keys keys = new Keys(own.readMicros("warm", 10 * SECOND, 0, 10 * MINUTE),
                own.readMicros("length", 30 * SECOND, SECOND, 60 * MINUTE),
                own.readMicros("late_most", 5_000, 100, SECOND) / 1e3, own.readCount("again", 2, 0, 20));
            return spec.quick() ? new Keys(Math.min(keys.warm, 2 * SECOND), Math.min(keys.length, 5 * SECOND),
                keys.lateMillis, keys.again) : keys;
        }
    }

    @Override
    public String name() {
        return "load";
    }

    @Override
    public ResourceEstimate estimate(ScaleSpec spec, int size) {
        Keys.of(spec);
        return new ResourceEstimate(BYTES, 1);
    }

    @Override
    public List<Figure> play(ScaleSpec spec, int size, int play, ProgressLog progress) throws Exception {
        Build build = Build.load(Path.of(System.getProperty("stoatreel.root", ".")));
        Keys keys = Keys.of(spec);
        List<Figure> figures = new ArrayList<>();
        FigureSink found = (unit, what, value) -> {
            figures.add(new Figure(name(), what, size, unit, value, "real", play));
            progress.log("  " + what + " " + value + " " + unit);
        };
        double late = 0;
        for (int i = 0; i <= keys.again; i++) {
            try (LoadPlay one = new LoadPlay(keys, build, size, spec.seed() + play, found)) {
                late = one.run();
            }
            if (late <= keys.lateMillis) {
                return figures;
            }
            progress.log("  void: the generator was " + late + " ms late at the 99th percentile");
            if (i < keys.again) {
                figures.clear();
            }
        }
        found.add(FigureSink.EVENT_UNIT, "latencies void each time, the generator was late", 1);
        return withoutLatencies(figures);
    }

    /** The figures that stay valid if the generator was late. */
    static List<Figure> withoutLatencies(List<Figure> figures) {
        return figures.stream().filter(figure -> LoadPlay.LATENCIES.stream()
            .noneMatch(figure.name()::startsWith)).toList();
    }
}
