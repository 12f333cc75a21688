package dockrelay.lab.scale.list;

import dockrelay.lab.process.Build;
import dockrelay.lab.scale.ScaleSpec;
import dockrelay.lab.spec.TomlSection;
import java.util.List;

/** Settings of the role {@code list}, with their defaults. Times are in microseconds, rates per second. */
record ListSpec(List<String> discoveryModes, double requestsPerSecond, long quietMicros,
                long restartIntervalMicros, int restartCount, double fastChangesPerSecond,
                long fastDurationMicros, long afterLossMicros, long applyTimeoutMicros,
                long readyTimeoutMicros, int heapMiB, boolean readsCounters) {
    static final int DESIGN_PROXIES = 5_700, DESIGN_BACKENDS = 86_000;
    private static final long MICROS_PER_SECOND = 1_000_000, MICROS_PER_MINUTE = 60 * MICROS_PER_SECOND;
    private static final List<String> DISCOVERY_MODES = List.of("push", "ask");

    /** Reads the role's section; throws a SpecException for an invalid value. */
    static ListSpec of(ScaleSpec spec) {
        TomlSection section = spec.roleSection();
        List<String> discoveryModes = section.readTexts("manners");
        if (!DISCOVERY_MODES.containsAll(discoveryModes)) {
            throw section.invalidValue("manners", "a list of " + String.join(", ", DISCOVERY_MODES));
        }
        return new ListSpec(discoveryModes.isEmpty() ? DISCOVERY_MODES : discoveryModes,
            section.readNumber("rate", 93, 1, 10_000),
            section.readMicros("quiet", 5 * MICROS_PER_SECOND, MICROS_PER_SECOND, 10 * MICROS_PER_MINUTE),
            section.readMicros("restart_every", Math.round(7.6 * MICROS_PER_SECOND), MICROS_PER_SECOND,
                10 * MICROS_PER_MINUTE),
            section.readCount("restarts", spec.quick() ? 1 : 2, 1, 1_000),
            section.readNumber("fast_rate", 10, 0.1, 1_000),
            section.readMicros("fast", 10 * MICROS_PER_SECOND, MICROS_PER_SECOND, 10 * MICROS_PER_MINUTE),
            section.readMicros("after_loss", 3 * MICROS_PER_SECOND, MICROS_PER_SECOND,
                10 * MICROS_PER_MINUTE),
            section.readMicros("loss_bound", MICROS_PER_MINUTE, MICROS_PER_SECOND, 60 * MICROS_PER_MINUTE),
            section.readMicros("ready_within", 3 * MICROS_PER_MINUTE, MICROS_PER_SECOND,
                60 * MICROS_PER_MINUTE),
            section.readCount("heap_mb", 0, 0, 1_024), section.readBoolean("counters", true));
    }

    /** Number of proxies for a list, with the ratio of the design size: 86,000 backends to 5,700 proxies. */
    static int proxyCount(int backends) {
        return Math.max(1, (int) Math.round((double) DESIGN_PROXIES * backends / DESIGN_BACKENDS));
    }

    /** The build with the configured heap size, or unchanged if none is set. */
    Build withHeap(Build build) {
        return heapMiB == 0 ? build : new Build(build.root(), build.startCommand()
            .replaceAll("-Xm([sx])\\d+m", "-Xm$1" + heapMiB + "m"));
    }
}
