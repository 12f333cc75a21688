package dockrelay.lab.scale.list;

import dockrelay.lab.process.Build;
import dockrelay.lab.scale.ScaleSpec;
import dockrelay.lab.spec.TomlSection;
import java.util.List;

/** Settings of the role {@code list}, with their defaults. Times are in microseconds, rates per second. */
record ListSpec(List<String> manners, double rate, long quiet, long restartEvery, int restarts,
    double fastRate,
                long fast, long afterLoss, long lossBound, long readyWithin, int heapMiB,
                boolean counters) {
    static final int PROXIES = 5_700, BACKENDS = 86_000;
    private static final long SECOND = 1_000_000, MINUTE = 60 * SECOND;
    private static final List<String> MANNERS = List.of("push", "ask");

    static ListSpec of(ScaleSpec spec) {
        TomlSection own = spec.roleSection();
        List<String> manners = own.readTexts("manners");
        if (!MANNERS.containsAll(manners)) {
            throw own.invalidValue("manners", "a list of " + String.join(", ", MANNERS));
        }
        return new ListSpec(manners.isEmpty() ? MANNERS : manners,
            own.readNumber("rate", 93, 1, 10_000),
            own.readMicros("quiet", 5 * SECOND, SECOND, 10 * MINUTE),
            own.readMicros("restart_every", Math.round(7.6 * SECOND), SECOND, 10 * MINUTE),
            own.readCount("restarts", spec.quick() ? 1 : 2, 1, 1_000),
            own.readNumber("fast_rate", 10, 0.1, 1_000),
            own.readMicros("fast", 10 * SECOND, SECOND, 10 * MINUTE),
            own.readMicros("after_loss", 3 * SECOND, SECOND, 10 * MINUTE),
            own.readMicros("loss_bound", MINUTE, SECOND, 60 * MINUTE),
            own.readMicros("ready_within", 3 * MINUTE, SECOND, 60 * MINUTE),
            own.readCount("heap_mb", 0, 0, 1_024), own.readBoolean("counters", true));
    }

    /** Number of proxies for a list, with the ratio of the design size: 86,000 backends to 5,700 proxies. */
    static int proxies(int backends) {
        return Math.max(1, (int) Math.round((double) PROXIES * backends / BACKENDS));
    }

    /** The build with the configured heap size, or unchanged if none is set. */
    Build build(Build build) {
        return heapMiB == 0 ? build : new Build(build.root(), build.startCommand()
            .replaceAll("-Xm([sx])\\d+m", "-Xm$1" + heapMiB + "m"));
    }
}
