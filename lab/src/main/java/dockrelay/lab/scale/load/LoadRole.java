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
    private static final long ESTIMATED_BYTES = 768L << 20, MICROS_PER_SECOND = 1_000_000,
        MICROS_PER_MINUTE = 60 * MICROS_PER_SECOND;

    /** Settings from the role's own section; times are in microseconds unless named otherwise. */
    record Settings(long warmUpMicros, long durationMicros, double maxLatenessMillis, int maxRepeats) {
        static Settings of(ScaleSpec spec) {
            TomlSection section = spec.roleSection();
            Settings settings = new Settings(
                section.readMicros("warm", 10 * MICROS_PER_SECOND, 0, 10 * MICROS_PER_MINUTE),
                section.readMicros("length", 30 * MICROS_PER_SECOND, MICROS_PER_SECOND,
                    60 * MICROS_PER_MINUTE),
                section.readMicros("late_most", 5_000, 100, MICROS_PER_SECOND) / 1e3,
                section.readCount("again", 2, 0, 20));
            return spec.quick() ? new Settings(Math.min(settings.warmUpMicros, 2 * MICROS_PER_SECOND),
                Math.min(settings.durationMicros, 5 * MICROS_PER_SECOND),
                settings.maxLatenessMillis, settings.maxRepeats) : settings;
        }
    }

    @Override
    public String name() {
        return "load";
    }

    @Override
    public ResourceEstimate estimate(ScaleSpec spec, int size) {
        Settings.of(spec);
        return new ResourceEstimate(ESTIMATED_BYTES, 1);
    }

    @Override
    public List<Figure> play(ScaleSpec spec, int size, int play, ProgressLog progress) throws Exception {
        Build build = Build.load(Path.of(System.getProperty("stoatreel.root", ".")));
        Settings settings = Settings.of(spec);
        List<Figure> figures = new ArrayList<>();
        FigureSink figureSink = (unit, figureName, value) -> {
            figures.add(new Figure(name(), figureName, size, unit, value, "real", play));
            progress.log("  " + figureName + " " + value + " " + unit);
        };
        double latenessMillis = 0;
        for (int i = 0; i <= settings.maxRepeats; i++) {
            try (LoadPlay loadPlay = new LoadPlay(settings, build, size, spec.seed() + play, figureSink)) {
                latenessMillis = loadPlay.run();
            }
            if (latenessMillis <= settings.maxLatenessMillis) {
                return figures;
            }
            progress.log("  void: the generator was " + latenessMillis + " ms late at the 99th percentile");
            if (i < settings.maxRepeats) {
                figures.clear();
            }
        }
        figureSink.add(FigureSink.EVENT_UNIT, "latencies void each time, the generator was late", 1);
        return withoutLatencies(figures);
    }

    /** The figures that stay valid if the generator was late. */
    static List<Figure> withoutLatencies(List<Figure> figures) {
        return figures.stream().filter(figure -> LoadPlay.VOIDABLE_FIGURE_PREFIXES.stream()
            .noneMatch(figure.name()::startsWith)).toList();
    }
}
