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
 * Measures a real proxy with a given number of tenants in its settings, services and routes in proportion,
 * and skewed demand.
 */
public final class TenantsRole implements Role {
    private static final long PROXY_BYTES = 192L << 20, LAB_BYTES = 512L << 20,
        BYTES_PER_TENANT = 2_000, MICROS_PER_SECOND = 1_000_000, MICROS_PER_MINUTE = 60 * MICROS_PER_SECOND;
    private static final List<String> QUOTA_MODES = List.of("with", "without");

    /** The role's own keys; times are in microseconds. */
    record Settings(List<String> quotaModes, double requestsPerSecond, double skew, long lengthMicros,
        long readyTimeoutMicros, int heapMiB) {
        static Settings of(ScaleSpec spec) {
            TomlSection section = spec.roleSection();
            List<String> quotaModes = section.readTexts("quotas");
            if (!QUOTA_MODES.containsAll(quotaModes)) {
                throw section.invalidValue("quotas", "a list of " + String.join(", ", QUOTA_MODES));
            }
            return new Settings(quotaModes.isEmpty() ? QUOTA_MODES : quotaModes,
                section.readNumber("rate", 93, 1, 10_000), section.readNumber("skew", 1, 0, 4),
                section.readMicros("length", 15 * MICROS_PER_SECOND, MICROS_PER_SECOND,
                    60 * MICROS_PER_MINUTE),
                section.readMicros("ready_within", MICROS_PER_MINUTE, MICROS_PER_SECOND,
                    60 * MICROS_PER_MINUTE),
                section.readCount("heap_mb", 0, 0, 1_024));
        }
    }

    @Override
    public String name() {
        return "tenants";
    }

    @Override
    public ResourceEstimate estimate(ScaleSpec spec, int size) {
        return new ResourceEstimate(PROXY_BYTES + ((long) Settings.of(spec).heapMiB << 20) + LAB_BYTES
            + BYTES_PER_TENANT * size, 1);
    }

    @Override
    public List<Figure> play(ScaleSpec spec, int size, int play, ProgressLog progress) throws Exception {
        Settings settings = Settings.of(spec);
        Build installedBuild = Build.load(Path.of(System.getProperty("stoatreel.root", ".")));
        Build build = settings.heapMiB == 0 ? installedBuild
            : new Build(installedBuild.root(), installedBuild.startCommand()
                .replaceAll("-Xm([sx])\\d+m", "-Xm$1" + settings.heapMiB + "m"));
        List<Figure> figures = new ArrayList<>();
        for (String quotaMode : settings.quotaModes) {
            try (TenantsPlay tenantsPlay = new TenantsPlay(settings, build, size, quotaMode.equals("with"),
                spec.seed() + play, (unit, figureName, value) -> {
                    figures.add(new Figure(name(), figureName + " (" + quotaMode + " quotas)", size, unit,
                        value, "real", play));
                    progress.log("  " + quotaMode + " quotas: " + figureName + " " + value + " " + unit);
                }, progress)) {
                tenantsPlay.run();
            }
        }
        return figures;
    }
}
