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

/** Hollow proxies: the machine that knows who is there, many to a process, over a virtual network. */
public final class MembersRole implements Role {
    private static final List<HollowMember.Kind> KINDS = List.of(FlatMember.KIND, GroupMember.KIND);
    /** They take minutes of the fleet's time. */
    private static final List<Scenario> LONGEST = List.of(Scenario.REGION, Scenario.LOSS, Scenario.BUSY);
    private static final long SECOND = VirtualFleet.SECOND;
    private static final int MOST_THREADS = 8, MOST_DEATHS = 100;
    /** What one holds at the most, by probes: of itself, and of each whom it knows singly. */
    private static final long BYTES_OF_ONE = 60_000, BYTES_EACH = 500, BYTES_OF_PROXY = 192L << 20;

    @Override
    public String name() {
        return "members";
    }

    private static HollowMember.Kind kind(ScaleSpec spec) {
        String word = spec.roleSection().readText("machine", KINDS.get(KINDS.size() - 1).name());
        return KINDS.stream().filter(kind -> kind.name().equals(word)).findFirst().orElseThrow(
            () -> spec.roleSection().invalidValue("machine", "one of " + String.join(", ", KINDS.stream()
                .map(HollowMember.Kind::name).toList())));
    }

    private static int threads(ScaleSpec spec) {
        return spec.roleSection().readCount("threads", 2, 1, MOST_THREADS);
    }

    private static int proxies(ScaleSpec spec) {
        return spec.roleSection().readCount("proxies", 4, 4, 20);
    }

    /** Sockets and processes, by the clock, or the virtual network. */
    private static boolean real(ScaleSpec spec) {
        String word = spec.roleSection().readText("network", "virtual");
        if (!word.equals("virtual") && !word.equals("loopback")) {
            throw spec.roleSection().invalidValue("network", "one of virtual, loopback");
        }
        return word.equals("loopback");
    }

    private static Map<String, Long> numbers(ScaleSpec spec) {
        TomlSection own = spec.roleSection();
        long hour = 3_600 * SECOND;
        Map<String, Long> result = new LinkedHashMap<>();
        result.put("warm", own.readMicros("warm", 30 * SECOND, 10 * SECOND, hour));
        result.put("quiet", own.readMicros("quiet", 30 * SECOND, 10 * SECOND, hour));
        result.put("gap", own.readMicros("gap", 12 * SECOND, 5 * SECOND, hour));
        result.put("look", own.readMicros("look", 30 * SECOND, 10 * SECOND, hour));
        result.put("cut_for", own.readMicros("cut_for", 180 * SECOND, 10 * SECOND, hour));
        result.put("loss_for", own.readMicros("loss_for", 120 * SECOND, 10 * SECOND, hour));
        result.put("loss_member_minutes", (long) own.readCount("loss_member_minutes", 1_000_000, 1, 1_000_000));
        result.put("long_up_to", (long) own.readCount("long_up_to", 1_000_000, 1, 1_000_000));
        result.put("deaths", (long) own.readCount("deaths", 5, 1, MOST_DEATHS));
        return result;
    }

    private static List<Scenario> scenarios(ScaleSpec spec) {
        List<String> words = spec.roleSection().readTexts("scenarios");
        List<Scenario> result = Arrays.stream(Scenario.values())
            .filter(one -> words.isEmpty() || words.contains(one.word())).toList();
        if (result.size() != words.size() && !words.isEmpty()) {
            throw spec.roleSection().invalidValue("scenarios", "some of " + String.join(", ",
                Arrays.stream(Scenario.values()).map(Scenario::word).toList()));
        }
        return result;
    }

    @Override
    public ResourceEstimate estimate(ScaleSpec spec, int size) {
        HollowMember.Kind kind = kind(spec);
        numbers(spec);
        scenarios(spec);
        boolean real = real(spec);
        int proxies = proxies(spec), threads = threads(spec);
        if (kind.refuses(Layout.of(size)) != null) {
            return new ResourceEstimate(0, 1); // nothing will be started
        }
        int known = kind == FlatMember.KIND ? size : Math.min(size, 200);
        long each = size * (BYTES_OF_ONE + BYTES_EACH * known);
        return real ? new ResourceEstimate(each + proxies * BYTES_OF_PROXY, 1 + proxies)
            : new ResourceEstimate(threads * each, 1);
    }

    @Override
    public List<Figure> play(ScaleSpec spec, int size, int play, ProgressLog progress) throws Exception {
        HollowMember.Kind kind = kind(spec);
        Layout layout = Layout.of(size);
        String refused = kind.refuses(layout);
        if (refused != null) {
            throw new SizeRefusedException(refused);
        }
        if (real(spec)) {
            Figures figures = new Figures(name(), size, "real", play);
            new RealPlay(kind, size, numbers(spec), proxies(spec), threads(spec), spec.seed() + play,
                Path.of(System.getProperty("stoatreel.root", ".")), figures).play();
            return figures.all();
        }
        Figures all = new Figures(name(), size, "virtual", play);
        List<Scenario> scenarios = new ArrayList<>(scenarios(spec));
        if (size > numbers(spec).get("long_up_to")) {
            scenarios.removeAll(LONGEST);
        }
        if (scenarios.remove(Scenario.HEAP)) { // first and alone: what it holds is measured
            all.addAll(one(spec, kind, layout, Scenario.HEAP, size, play, progress));
        }
        scenarios.sort(Comparator.comparing(scenario -> !LONGEST.contains(scenario)));
        ExecutorService threads = Executors.newFixedThreadPool(threads(spec));
        try {
            List<Future<List<Figure>>> each = new ArrayList<>();
            for (Scenario scenario : scenarios) {
                each.add(threads.submit(() -> one(spec, kind, layout, scenario, size, play, progress)));
            }
            for (Future<List<Figure>> one : each) {
                all.addAll(one.get());
            }
        } finally {
            threads.shutdownNow();
        }
        return all.all();
    }

    private List<Figure> one(ScaleSpec spec, HollowMember.Kind kind, Layout layout, Scenario scenario,
                             int size, int play, ProgressLog progress) {
        long began = System.nanoTime();
        Figures figures = new Figures(name(), size, "virtual", play);
        scenario.play(new Play(kind, layout, numbers(spec), spec.seed() * 1_000 + play * 10L
            + scenario.ordinal()), figures);
        progress.log(String.format(Locale.ROOT, "members %d: %s took %.1f s", size, scenario.word(),
            (System.nanoTime() - began) / 1e9));
        for (Figure figure : figures.all()) {
            progress.log(String.format(Locale.ROOT, "members %d: %s: %.4g %s", size, figure.name(),
                figure.value(), figure.unit()));
        }
        return figures.all();
    }
}
