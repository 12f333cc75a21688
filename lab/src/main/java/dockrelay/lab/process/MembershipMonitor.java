package dockrelay.lab.process;

import dockrelay.lab.link.Passage.Mode;
import dockrelay.lab.plan.Plan;
import dockrelay.lab.plan.Plan.Break;
import dockrelay.lab.spec.Experiment.FaultKind;
import dockrelay.lab.world.Clock;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What the proxies hold of each other while an experiment runs: asked at their consoles for whether they
 * agree,
 * and read in their logs for when each held another one gone. Times count from when clients come.
 */
public final class MembershipMonitor implements AutoCloseable {
    private static final long LEAST_MILLIS = 250, EACH_MILLIS = 15;
    /** A death is looked for so long, and what a fault leaves behind may show so much later. */
    private static final long LOOKED_FOR = 20_000_000, AFTER = 4_000_000;
    private static final Pattern ANSWER = Pattern.compile(
        "200 present=(\\d+) of=(\\d+) agreement=(\\w+) agreeing=\\d+ digest=(\\w+) counted=(\\d+) "
        + "share=([\\d.]+)(?:.* age=([\\d.]+)s groups=(\\d+) group=(\\S+) speaker=(\\w+))?.*");
    private static final String HEADINGS =
        "at_s,proxy,present,of,agreement,counted,share,age_s,groups,group,speaker";
    private static final Pattern NEWS = Pattern.compile("at (\\d+) (\\S+) is gone");

    /** One round of questions: whether all that are there say that all agree, and what they may spend in
     * all. */
    private record Round(long at, int answered, boolean agreed, double shares) {
    }

    /** What one proxy said of the fleet in a round. */
    private record Said(long at, String proxy, int present, int of, String agreement, String digest,
                        int counted, double share, double age, int groups, String group, String speaker) {
        static Said of(long at, String proxy, Matcher answer) {
            boolean grouped = answer.group(7) != null; // builds before there were groups do not say
            return new Said(at, proxy, Integer.parseInt(answer.group(1)), Integer.parseInt(answer.group(2)),
                answer.group(3), answer.group(4), Integer.parseInt(answer.group(5)),
                Double.parseDouble(answer.group(6)), grouped ? Double.parseDouble(answer.group(7)) : 0,
                grouped ? Integer.parseInt(answer.group(8)) : 1, grouped ? answer.group(9) : "1",
                grouped ? answer.group(10) : "no");
        }

        String row(long zero) {
            return String.format(Locale.ROOT, "%.3f,%s,%d,%d,%s,%d,%.6f,%.1f,%d,%s,%s", (at - zero) / 1e6,
                proxy, present, of, agreement, counted, share, age, groups, group, speaker);
        }
    }

    /** One process held another one gone. */
    private record Gone(String observer, String member, long at) {
    }

    private final Plan plan;
    private final ProxyFleet proxies;
    private final Clock clock;
    private final List<Round> rounds = new ArrayList<>();
    private final List<Said> all = new ArrayList<>();
    private final ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor(
        new DefaultThreadFactory("members", true));

    public MembershipMonitor(Plan plan, ProxyFleet proxies, Clock clock) {
        this.plan = plan;
        this.proxies = proxies;
        this.clock = clock;
    }

    public void start() {
        long every = Math.max(LEAST_MILLIS, EACH_MILLIS * plan.experiment().proxies().count());
        thread.scheduleWithFixedDelay(this::ask, every, every, TimeUnit.MILLISECONDS);
    }

    private void ask() {
        long at = clock.nowMicros();
        List<Said> said = new ArrayList<>();
        proxies.consoles().forEach((proxy, console) -> {
            List<String> answer = ConsoleClient.call(console, "MEMBERS");
            Matcher first = answer.isEmpty() ? null : ANSWER.matcher(answer.get(0));
            if (first != null && first.matches()) {
                said.add(Said.of(clock.nowMicros(), proxy, first));
            }
        });
        Map<String, Set<String>> digests = new HashMap<>(); // a group's members see the same ones of it
        said.forEach(one -> digests.computeIfAbsent(one.group, g -> new HashSet<>()).add(one.digest));
        boolean agreed = !said.isEmpty() && digests.values().stream().allMatch(group -> group.size() == 1)
            && said.stream().allMatch(one -> one.agreement.equals("all") && one.present == said.size());
        synchronized (rounds) {
            if (thread.isShutdown()) {
                return; // half of them were not asked
            }
            rounds.add(new Round(at, said.size(), agreed, said.stream().mapToDouble(Said::share).sum()));
            all.addAll(said);
        }
    }

    /** The figures, once all has ended; empty where the proxies are no members. Beside the proxies' folders
     * stands what each said, a row an answer. */
    public Map<String, Object> collectResults(Path folder, long zero) throws IOException {
        Map<String, Object> result = new LinkedHashMap<>();
        synchronized (rounds) {
            if (rounds.stream().allMatch(round -> round.answered == 0)) {
                return result;
            }
            List<String> rows = new ArrayList<>(List.of(HEADINGS));
            all.forEach(one -> rows.add(one.row(zero)));
            Files.write(folder.resolveSibling("members.csv"), rows);
        }
        List<Gone> gone = read(folder, zero);
        List<Long> detected = new ArrayList<>();
        long missed = 0;
        for (Break fault : plan.faults()) {
            if (fault.kind() == FaultKind.KILL || fault.kind() == FaultKind.PAUSE) {
                for (int victim : fault.victims()) {
                    for (int observer = 0; observer < plan.experiment().proxies().count(); observer++) {
                        if (struck(observer, fault.at() - AFTER, fault.at() + AFTER, true)
                            || !grouped(observer, victim)) {
                            continue;
                        }
                        String name = "n" + observer, member = "n" + victim;
                        long first = gone.stream().filter(one -> one.observer.equals(name)
                            && one.member.equals(member) && one.at >= fault.at()
                            && one.at <= Math.min(fault.endAt() + AFTER, fault.at() + LOOKED_FOR))
                            .mapToLong(Gone::at).min().orElse(-1);
                        if (first >= 0) {
                            detected.add(first - fault.at());
                        } else if (fault.lasts() > AFTER) {
                            missed++;
                        }
                    }
                }
            }
        }
        detected.sort(null);
        List<String> wrong = gone.stream().filter(one -> !excused(one))
            .map(one -> one.observer + " held " + one.member + " gone at " + one.at / 1e6 + " s").toList();
        result.put("deaths_seen", detected.size());
        result.put("deaths_missed", missed);
        result.put("detected_s", detected.isEmpty() ? null : Map.of("p50", seconds(detected, 0.5), "p99",
            seconds(detected, 0.99), "max", seconds(detected, 1)));
        result.put("falsely_gone", wrong.size());
        result.put("falsely_gone_first", wrong.stream().limit(10).toList());
        result.put("agreed_after_s", agreements(zero));
        synchronized (rounds) {
            result.put("agreed_share_of_time", rounds.stream().filter(Round::agreed).count()
                / (double) Math.max(1, rounds.size()));
            result.put("shares_most", rounds.stream().mapToDouble(Round::shares).max().orElse(0));
        }
        return result;
    }

    private static double seconds(List<Long> sorted, double part) {
        return sorted.get((int) Math.min(sorted.size() - 1, Math.ceil(part * sorted.size()) - 1)) / 1e6;
    }

    /** How long after the end of each fault of proxies or between them all agreed, or null. */
    private List<Map<String, Object>> agreements(long zero) {
        List<Map<String, Object>> result = new ArrayList<>();
        for (Break fault : plan.faults()) {
            if (!fault.kind().targetsProxies() && fault.kind() != FaultKind.LINK) {
                continue;
            }
            Map<String, Object> one = new LinkedHashMap<>();
            one.put("fault", fault.kind().name().toLowerCase(Locale.ROOT));
            one.put("until_s", fault.endAt() / 1e6);
            one.put("agreed_after_s", agreedAfter(zero, fault.endAt()));
            result.add(one);
        }
        return result;
    }

    /** From when on all agreed, up to the next fault or the end; null where they did not. */
    private Double agreedAfter(long zero, long end) {
        long next = plan.faults().stream().mapToLong(Break::at).filter(at -> at > end).min()
            .orElse(Long.MAX_VALUE);
        Double since = null;
        synchronized (rounds) {
            for (Round round : rounds) {
                long at = round.at - zero;
                if (at >= end && at < next) {
                    since = !round.agreed ? null : since == null ? (at - end) / 1e6 : since;
                }
            }
        }
        return since;
    }

    /** Single members of other groups are not known. */
    private boolean grouped(int one, int other) {
        return plan.experiment().proxies().zoneOf(one).equals(plan.experiment().proxies().zoneOf(other));
    }

    private boolean struck(int proxy, long from, long until, boolean links) {
        return plan.faults().stream().anyMatch(fault -> fault.at() <= until && fault.endAt() >= from
            && (fault.kind().targetsProxies() ? fault.victims().contains(proxy)
                : links && fault.kind() == FaultKind.LINK && fault.link().passage().mode() != Mode.OPEN));
    }

    /** Whether a fault of either, or a cut somewhere, made it so. */
    private boolean excused(Gone one) {
        int member = Integer.parseInt(one.member.substring(1)), observer = Integer.parseInt(one.observer
            .substring(1));
        return struck(member, one.at - AFTER, one.at, true) || struck(observer, one.at - AFTER, one.at, true);
    }

    private List<Gone> read(Path folder, long zero) throws IOException {
        List<Gone> result = new ArrayList<>();
        try (DirectoryStream<Path> homes = Files.newDirectoryStream(folder)) {
            for (Path home : homes) {
                String name = home.getFileName().toString();
                Path log = home.resolve("log");
                if (!Files.exists(log)) {
                    continue;
                }
                for (String line : Files.readAllLines(log, StandardCharsets.ISO_8859_1)) {
                    Matcher news = line.startsWith("members: ") ? NEWS.matcher(line) : null;
                    while (news != null && news.find()) {
                        result.add(new Gone(name.substring(0, name.indexOf('.')), news.group(2),
                            (Long.parseLong(news.group(1)) - clock.unixMillis(zero)) * 1000));
                    }
                }
            }
        }
        return result;
    }

    @Override
    public void close() {
        thread.shutdownNow();
    }
}
