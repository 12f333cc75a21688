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
    private static final long MIN_PERIOD_MILLIS = 250, PERIOD_PER_PROXY_MILLIS = 15;
    /** A death is looked for so long, and what a fault leaves behind may show so much later. */
    private static final long MAX_DETECTION_MICROS = 20_000_000, FAULT_EFFECT_MICROS = 4_000_000;
    private static final Pattern MEMBERS_RESPONSE = Pattern.compile(
        "200 present=(\\d+) of=(\\d+) agreement=(\\w+) agreeing=\\d+ digest=(\\w+) counted=(\\d+) "
        + "share=([\\d.]+)(?:.* age=([\\d.]+)s groups=(\\d+) group=(\\S+) speaker=(\\w+))?.*");
    private static final String CSV_HEADER =
        "at_s,proxy,present,of,agreement,counted,share,age_s,groups,group,speaker";
    private static final Pattern GONE_MESSAGE = Pattern.compile("at (\\d+) (\\S+) is gone");

    /** One round of questions: whether all that are there say that all agree, and what they may spend in
     * all. */
    private record Poll(long atMicros, int responses, boolean allAgreed, double budgetShareSum) {
    }

    /** What one proxy said of the fleet in a round. */
    private record MemberReport(long atMicros, String proxy, int presentMembers, int knownMembers, String agreement, String digest,
                        int countedMembers, double budgetShare, double ageSeconds, int groupCount, String group, String representative) {
        static MemberReport parse(long atMicros, String proxy, Matcher matcher) {
            boolean hasGroupFields = matcher.group(7) != null; // builds before there were groups do not say
            return new MemberReport(atMicros, proxy, Integer.parseInt(matcher.group(1)), Integer.parseInt(matcher.group(2)),
                matcher.group(3), matcher.group(4), Integer.parseInt(matcher.group(5)),
                Double.parseDouble(matcher.group(6)), hasGroupFields ? Double.parseDouble(matcher.group(7)) : 0,
                hasGroupFields ? Integer.parseInt(matcher.group(8)) : 1, hasGroupFields ? matcher.group(9) : "1",
                hasGroupFields ? matcher.group(10) : "no");
        }

        String toCsvRow(long clientsStartMicros) {
            return String.format(Locale.ROOT, "%.3f,%s,%d,%d,%s,%d,%.6f,%.1f,%d,%s,%s", (atMicros - clientsStartMicros) / 1e6,
                proxy, presentMembers, knownMembers, agreement, countedMembers, budgetShare, ageSeconds, groupCount, group, representative);
        }
    }

    /** One process held another one gone. */
    private record GoneEvent(String observer, String member, long atMicros) {
    }

    private final Plan plan;
    private final ProxyFleet proxies;
    private final Clock clock;
    private final List<Poll> polls = new ArrayList<>();
    private final List<MemberReport> reports = new ArrayList<>();
    private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor(
        new DefaultThreadFactory("members", true));

    public MembershipMonitor(Plan plan, ProxyFleet proxies, Clock clock) {
        this.plan = plan;
        this.proxies = proxies;
        this.clock = clock;
    }

    public void start() {
        long periodMillis = Math.max(MIN_PERIOD_MILLIS, PERIOD_PER_PROXY_MILLIS * plan.experiment().proxies().count());
        executor.scheduleWithFixedDelay(this::pollConsoles, periodMillis, periodMillis, TimeUnit.MILLISECONDS);
    }

    private void pollConsoles() {
        long polledAtMicros = clock.nowMicros();
        List<MemberReport> responses = new ArrayList<>();
        proxies.consoleAddresses().forEach((proxy, console) -> {
            List<String> lines = ConsoleClient.call(console, "MEMBERS");
            Matcher matcher = lines.isEmpty() ? null : MEMBERS_RESPONSE.matcher(lines.get(0));
            if (matcher != null && matcher.matches()) {
                responses.add(MemberReport.parse(clock.nowMicros(), proxy, matcher));
            }
        });
        Map<String, Set<String>> digestsByGroup = new HashMap<>(); // a group's members see the same ones of it
        responses.forEach(report -> digestsByGroup.computeIfAbsent(report.group, g -> new HashSet<>()).add(report.digest));
        boolean allAgreed = !responses.isEmpty() && digestsByGroup.values().stream().allMatch(groupDigests -> groupDigests.size() == 1)
            && responses.stream().allMatch(report -> report.agreement.equals("all") && report.presentMembers == responses.size());
        synchronized (polls) {
            if (executor.isShutdown()) {
                return; // half of them were not asked
            }
            polls.add(new Poll(polledAtMicros, responses.size(), allAgreed, responses.stream().mapToDouble(MemberReport::budgetShare).sum()));
            reports.addAll(responses);
        }
    }

    /** The figures, once all has ended; empty where the proxies are no members. Beside the proxies' folders
     * stands what each said, a row an answer. */
    public Map<String, Object> collectResults(Path proxiesFolder, long clientsStartMicros) throws IOException {
        Map<String, Object> result = new LinkedHashMap<>();
        synchronized (polls) {
            if (polls.stream().allMatch(poll -> poll.responses == 0)) {
                return result;
            }
            List<String> rows = new ArrayList<>(List.of(CSV_HEADER));
            reports.forEach(event -> rows.add(event.toCsvRow(clientsStartMicros)));
            Files.write(proxiesFolder.resolveSibling("members.csv"), rows);
        }
        List<GoneEvent> goneEvents = readGoneEvents(proxiesFolder, clientsStartMicros);
        List<Long> detectionMicros = new ArrayList<>();
        long missed = 0;
        for (Break fault : plan.faults()) {
            if (fault.kind() == FaultKind.KILL || fault.kind() == FaultKind.PAUSE) {
                for (int victim : fault.victims()) {
                    for (int observer = 0; observer < plan.experiment().proxies().count(); observer++) {
                        if (affectedByFault(observer, fault.at() - FAULT_EFFECT_MICROS, fault.at() + FAULT_EFFECT_MICROS, true)
                            || !sameGroup(observer, victim)) {
                            continue;
                        }
                        String observerName = "n" + observer, memberName = "n" + victim;
                        long detectedAtMicros = goneEvents.stream().filter(event -> event.observer.equals(observerName)
                            && event.member.equals(memberName) && event.atMicros >= fault.at()
                            && event.atMicros <= Math.min(fault.endAt() + FAULT_EFFECT_MICROS, fault.at() + MAX_DETECTION_MICROS))
                            .mapToLong(GoneEvent::atMicros).min().orElse(-1);
                        if (detectedAtMicros >= 0) {
                            detectionMicros.add(detectedAtMicros - fault.at());
                        } else if (fault.lasts() > FAULT_EFFECT_MICROS) {
                            missed++;
                        }
                    }
                }
            }
        }
        detectionMicros.sort(null);
        List<String> falsePositives = goneEvents.stream().filter(event -> !explainedByFault(event))
            .map(event -> event.observer + " held " + event.member + " gone at " + event.atMicros / 1e6 + " s").toList();
        result.put("deaths_seen", detectionMicros.size());
        result.put("deaths_missed", missed);
        result.put("detected_s", detectionMicros.isEmpty() ? null : Map.of("p50", percentileSeconds(detectionMicros, 0.5), "p99",
            percentileSeconds(detectionMicros, 0.99), "max", percentileSeconds(detectionMicros, 1)));
        result.put("falsely_gone", falsePositives.size());
        result.put("falsely_gone_first", falsePositives.stream().limit(10).toList());
        result.put("agreed_after_s", agreementAfterFaults(clientsStartMicros));
        synchronized (polls) {
            result.put("agreed_share_of_time", polls.stream().filter(Poll::allAgreed).count()
                / (double) Math.max(1, polls.size()));
            result.put("shares_most", polls.stream().mapToDouble(Poll::budgetShareSum).max().orElse(0));
        }
        return result;
    }

    private static double percentileSeconds(List<Long> sortedMicros, double quantile) {
        return sortedMicros.get((int) Math.min(sortedMicros.size() - 1, Math.ceil(quantile * sortedMicros.size()) - 1)) / 1e6;
    }

    /** How long after the end of each fault of proxies or between them all agreed, or null. */
    private List<Map<String, Object>> agreementAfterFaults(long clientsStartMicros) {
        List<Map<String, Object>> result = new ArrayList<>();
        for (Break fault : plan.faults()) {
            if (!fault.kind().targetsProxies() && fault.kind() != FaultKind.LINK) {
                continue;
            }
            Map<String, Object> entry = new LinkedHashMap<>();
            entry.put("fault", fault.kind().name().toLowerCase(Locale.ROOT));
            entry.put("until_s", fault.endAt() / 1e6);
            entry.put("agreed_after_s", secondsUntilAgreement(clientsStartMicros, fault.endAt()));
            result.add(entry);
        }
        return result;
    }

    /** From when on all agreed, up to the next fault or the end; null where they did not. */
    private Double secondsUntilAgreement(long clientsStartMicros, long faultEndMicros) {
        long nextFaultMicros = plan.faults().stream().mapToLong(Break::at).filter(atMicros -> atMicros > faultEndMicros).min()
            .orElse(Long.MAX_VALUE);
        Double agreedAfterSeconds = null;
        synchronized (polls) {
            for (Poll poll : polls) {
                long atMicros = poll.atMicros - clientsStartMicros;
                if (atMicros >= faultEndMicros && atMicros < nextFaultMicros) {
                    agreedAfterSeconds = !poll.allAgreed ? null : agreedAfterSeconds == null ? (atMicros - faultEndMicros) / 1e6 : agreedAfterSeconds;
                }
            }
        }
        return agreedAfterSeconds;
    }

    /** Single members of other groups are not known. */
    private boolean sameGroup(int proxy, int otherProxy) {
        return plan.experiment().proxies().zoneOf(proxy).equals(plan.experiment().proxies().zoneOf(otherProxy));
    }

    private boolean affectedByFault(int proxy, long fromMicros, long untilMicros, boolean includeLinks) {
        return plan.faults().stream().anyMatch(fault -> fault.at() <= untilMicros && fault.endAt() >= fromMicros
            && (fault.kind().targetsProxies() ? fault.victims().contains(proxy)
                : includeLinks && fault.kind() == FaultKind.LINK && fault.link().passage().mode() != Mode.OPEN));
    }

    /** Whether a fault of either, or a cut somewhere, made it so. */
    private boolean explainedByFault(GoneEvent event) {
        int member = Integer.parseInt(event.member.substring(1)), observer = Integer.parseInt(event.observer
            .substring(1));
        return affectedByFault(member, event.atMicros - FAULT_EFFECT_MICROS, event.atMicros, true) || affectedByFault(observer, event.atMicros - FAULT_EFFECT_MICROS, event.atMicros, true);
    }

    private List<GoneEvent> readGoneEvents(Path proxiesFolder, long clientsStartMicros) throws IOException {
        List<GoneEvent> result = new ArrayList<>();
        try (DirectoryStream<Path> processFolders = Files.newDirectoryStream(proxiesFolder)) {
            for (Path processFolder : processFolders) {
                String folderName = processFolder.getFileName().toString();
                Path logFile = processFolder.resolve("log");
                if (!Files.exists(logFile)) {
                    continue;
                }
                for (String line : Files.readAllLines(logFile, StandardCharsets.ISO_8859_1)) {
                    Matcher goneMatcher = line.startsWith("members: ") ? GONE_MESSAGE.matcher(line) : null;
                    while (goneMatcher != null && goneMatcher.find()) {
                        result.add(new GoneEvent(folderName.substring(0, folderName.indexOf('.')), goneMatcher.group(2),
                            (Long.parseLong(goneMatcher.group(1)) - clock.unixMillis(clientsStartMicros)) * 1000));
                    }
                }
            }
        }
        return result;
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
