package dockrelay.lab.scale.tenants;

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
 * A real proxy with so many tenants in its settings, and services and routes in proportion, under skewed
 * demand.
 */
public final class TenantsRole implements Role {
    private static final long PROXY = 192L << 20, OWN = 512L << 20, EACH = 2_000, SECOND = 1_000_000,
        MINUTE = 60 * SECOND;
    private static final List<String> QUOTAS = List.of("with", "without");

    /** The role's own keys; times are in microseconds. */
    record Keys(List<String> quotas, double rate, double skew, long length, long readyWithin, int heapMiB) {
        static Keys of(ScaleSpec spec) {
            TomlSection own = spec.roleSection();
            List<String> quotas = own.readTexts("quotas");
            if (!QUOTAS.containsAll(quotas)) {
                throw own.invalidValue("quotas", "a list of " + String.join(", ", QUOTAS));
            }
            return new Keys(quotas.isEmpty() ? QUOTAS : quotas, own.readNumber("rate", 93, 1, 10_000),
                own.readNumber("skew", 1, 0, 4), own.readMicros("length", 15 * SECOND, SECOND, 60 * MINUTE),
                own.readMicros("ready_within", MINUTE, SECOND, 60 * MINUTE), own.readCount("heap_mb", 0, 0, 1_024));
        }
    }

    @Override
    public String name() {
        return "tenants";
    }

    @Override
    public ResourceEstimate estimate(ScaleSpec spec, int size) {
        return new ResourceEstimate(PROXY + ((long) Keys.of(spec).heapMiB << 20) + OWN + EACH * size, 1);
    }

    @Override
    public List<Figure> play(ScaleSpec spec, int size, int play, ProgressLog progress) throws Exception {
        Keys keys = Keys.of(spec);
        Build given = Build.load(Path.of(System.getProperty("stoatreel.root", ".")));
        Build build = keys.heapMiB == 0 ? given : new Build(given.root(), given.startCommand()
            .replaceAll("-Xm([sx])\\d+m", "-Xm$1" + keys.heapMiB + "m"));
        List<Figure> figures = new ArrayList<>();
        for (String quotas : keys.quotas) {
            try (TenantsPlay one = new TenantsPlay(keys, build, size, quotas.equals("with"),
                spec.seed() + play, (unit, what, value) -> {
                    figures.add(new Figure(name(), what + " (" + quotas + " quotas)", size, unit, value,
                        "real",
                        play));
                    progress.log("  " + quotas + " quotas: " + what + " " + value + " " + unit);
                }, progress)) {
                one.run();
            }
        }
        return figures;
    }
}
