package dockrelay.lab.scale.members;

import dockrelay.lab.scale.ResourceEstimate;
import dockrelay.lab.scale.Figure;
import dockrelay.lab.scale.ProgressLog;
import dockrelay.lab.scale.SizeRefusedException;
import dockrelay.lab.scale.Role;
import dockrelay.lab.scale.ScaleSpec;
import dockrelay.lab.spec.TomlSection;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Measures the membership state machine with many hollow proxies in one process, over a virtual network or,
 * beside real proxies, over loopback sockets.
 */
public final class MembersRole implements Role {
    private static final List<HollowMember.Variant> VARIANTS =
        List.of(FlatMember.VARIANT, GroupMember.VARIANT);
    /**
     * Scenarios that take minutes of virtual time: started first, and skipped above the size in "long_up_to".
     */
    private static final List<Scenario> LONG_SCENARIOS =
        List.of(Scenario.REGION, Scenario.LOSS, Scenario.BUSY);
    private static final long MICROS_PER_SECOND = VirtualFleet.MICROS_PER_SECOND;
    private static final int MAX_THREADS = 8, MAX_DEATHS = 100;
    /** Upper bounds of memory: for a member, for each peer it tracks, and for a real proxy. */
    private static final long BYTES_PER_MEMBER = 60_000, BYTES_PER_PEER = 500, BYTES_PER_PROXY = 192L << 20;

    @Override
    public String name() {
        return "members";
    }

    /** The state machine variant that the experiment selects. */
    private static HollowMember.Variant variant(ScaleSpec spec) {
        String name = spec.roleSection().readText("machine", VARIANTS.get(VARIANTS.size() - 1).name());
        return VARIANTS.stream().filter(variant -> variant.name().equals(name)).findFirst().orElseThrow(
            () -> spec.roleSection().invalidValue("machine", "one of " + String.join(", ", VARIANTS.stream()
                .map(HollowMember.Variant::name).toList())));
    }

    private static int threadCount(ScaleSpec spec) {
        return spec.roleSection().readCount("threads", 2, 1, MAX_THREADS);
    }

    private static int proxyCount(ScaleSpec spec) {
        return spec.roleSection().readCount("proxies", 4, 4, 20);
    }

    /** Whether the experiment asks for sockets and processes in real time instead of the virtual network. */
    private static boolean usesLoopback(ScaleSpec spec) {
        String network = spec.roleSection().readText("network", "virtual");
        if (!network.equals("virtual") && !network.equals("loopback")) {
            throw spec.roleSection().invalidValue("network", "one of virtual, loopback");
        }
        return network.equals("loopback");
    }

    /** The numeric keys of the role with their values; times are in microseconds. */
    private static Map<String, Long> numericSettings(ScaleSpec spec) {
        TomlSection section = spec.roleSection();
        long hourMicros = 3_600 * MICROS_PER_SECOND;
        Map<String, Long> result = new LinkedHashMap<>();
        result.put("warm", section.readMicros("warm", 30 * MICROS_PER_SECOND, 10 * MICROS_PER_SECOND,
            hourMicros));
        result.put("quiet", section.readMicros("quiet", 30 * MICROS_PER_SECOND, 10 * MICROS_PER_SECOND,
            hourMicros));
        result.put("gap", section.readMicros("gap", 12 * MICROS_PER_SECOND, 5 * MICROS_PER_SECOND,
            hourMicros));
        result.put("look", section.readMicros("look", 30 * MICROS_PER_SECOND, 10 * MICROS_PER_SECOND,
            hourMicros));
        result.put("cut_for", section.readMicros("cut_for", 180 * MICROS_PER_SECOND, 10 * MICROS_PER_SECOND,
            hourMicros));
        result.put("loss_for", section.readMicros("loss_for", 120 * MICROS_PER_SECOND, 10 * MICROS_PER_SECOND,
            hourMicros));
        result.put("loss_member_minutes", (long) section.readCount("loss_member_minutes", 1_000_000, 1,
            1_000_000));
        result.put("long_up_to", (long) section.readCount("long_up_to", 1_000_000, 1, 1_000_000));
        result.put("deaths", (long) section.readCount("deaths", 5, 1, MAX_DEATHS));
        return result;
    }

    /** The selected scenarios; all of them by default. */
    private static List<Scenario> scenarios(ScaleSpec spec) {
        List<String> keys = spec.roleSection().readTexts("scenarios");
        List<Scenario> result = Arrays.stream(Scenario.values())
            .filter(scenario -> keys.isEmpty() || keys.contains(scenario.key())).toList();
        if (result.size() != keys.size() && !keys.isEmpty()) {
            throw spec.roleSection().invalidValue("scenarios", "some of " + String.join(", ",
                Arrays.stream(Scenario.values()).map(Scenario::key).toList()));
        }
        return result;
    }

    @Override
    public ResourceEstimate estimate(ScaleSpec spec, int size) {
        HollowMember.Variant variant = variant(spec);
        numericSettings(spec);
        scenarios(spec);
        boolean loopback = usesLoopback(spec);
        int proxyCount = proxyCount(spec), threadCount = threadCount(spec);
        if (variant.refusalReason(Layout.of(size)) != null) {
            return new ResourceEstimate(0, 1); // the layout is refused, so nothing will be started
        }
        int trackedPeers = variant == FlatMember.VARIANT ? size : Math.min(size, 200);
        long totalBytes = size * (BYTES_PER_MEMBER + BYTES_PER_PEER * trackedPeers);
        return loopback ? new ResourceEstimate(totalBytes + proxyCount * BYTES_PER_PROXY, 1 + proxyCount)
            : new ResourceEstimate(threadCount * totalBytes, 1);
    }

    @Override
    public List<Figure> play(ScaleSpec spec, int size, int play, ProgressLog progress) throws Exception {
        HollowMember.Variant variant = variant(spec);
        Layout layout = Layout.of(size);
        String refusal = variant.refusalReason(layout);
        if (refusal != null) {
            throw new SizeRefusedException(refusal);
        }
        if (usesLoopback(spec)) {
            Figures figures = new Figures(name(), size, "real", play);
            new LoopbackPlay(variant, size, numericSettings(spec), proxyCount(spec), threadCount(spec),
                spec.seed() + play, Path.of(System.getProperty("stoatreel.root", ".")), figures).play();
            return figures.asList();
        }
        Figures allFigures = new Figures(name(), size, "virtual", play);
        List<Scenario> scenarios = new ArrayList<>(scenarios(spec));
        if (size > numericSettings(spec).get("long_up_to")) {
            scenarios.removeAll(LONG_SCENARIOS);
        }
        if (scenarios.remove(Scenario.HEAP)) { // first and alone, as it measures the heap of this JVM
            allFigures.addAll(playScenario(spec, variant, layout, Scenario.HEAP, size, play, progress));
        }
        scenarios.sort(Comparator.comparing(scenario -> !LONG_SCENARIOS.contains(scenario)));
        ExecutorService executor = Executors.newFixedThreadPool(threadCount(spec));
        try {
            List<Future<List<Figure>>> futures = new ArrayList<>();
            for (Scenario scenario : scenarios) {
                futures.add(executor.submit(() -> playScenario(spec, variant, layout, scenario, size, play,
                    progress)));
            }
            for (Future<List<Figure>> future : futures) {
                allFigures.addAll(future.get());
            }
        } finally {
            executor.shutdownNow();
        }
        return allFigures.asList();
    }

    /** Plays one scenario and reports its figures as progress. */
    private List<Figure> playScenario(ScaleSpec spec, HollowMember.Variant variant, Layout layout,
        Scenario scenario, int size, int play, ProgressLog progress) {
        long startedNanos = System.nanoTime();
        Figures figures = new Figures(name(), size, "virtual", play);
        scenario.play(new ScenarioPlay(variant, layout, numericSettings(spec),
            spec.seed() * 1_000 + play * 10L + scenario.ordinal()), figures);
        progress.log(String.format(Locale.ROOT, "members %d: %s took %.1f s", size, scenario.key(),
            (System.nanoTime() - startedNanos) / 1e9));
        for (Figure figure : figures.asList()) {
            progress.log(String.format(Locale.ROOT, "members %d: %s: %.4g %s", size, figure.name(),
                figure.value(), figure.unit()));
        }
        return figures.asList();
    }
}
