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
 * Monitors the group membership of the proxies during an experiment. Their consoles are polled for whether
 * they agree on the members, and their logs are searched for when each declared another member gone. Times
 * in results are relative to the start of the clients.
 */
public final class MembershipMonitor implements AutoCloseable {
    private static final long MIN_PERIOD_MILLIS = 250, PERIOD_PER_PROXY_MILLIS = 15;
    /** How long a failure may take to be detected, and how long the effects of a fault may last. */
    private static final long MAX_DETECTION_MICROS = 20_000_000, FAULT_EFFECT_MICROS = 4_000_000;
    private static final Pattern MEMBERS_RESPONSE = Pattern.compile(
        "200 present=(\\d+) of=(\\d+) agreement=(\\w+) agreeing=\\d+ digest=(\\w+) counted=(\\d+) "
        + "share=([\\d.]+)(?:.* age=([\\d.]+)s groups=(\\d+) group=(\\S+) speaker=(\\w+))?.*");
    private static final String CSV_HEADER =
        "at_s,proxy,present,of,agreement,counted,share,age_s,groups,group,speaker";
    private static final Pattern GONE_MESSAGE = Pattern.compile("at (\\d+) (\\S+) is gone");

    /**
     * One poll of all consoles: whether all proxies that answered report agreement, and the sum of their
     * shares of the budget.
     */
    private record Poll(long atMicros, int responses, boolean allAgreed, double budgetShareSum) {
    }

    /** One proxy's response to MEMBERS. */
    private record MemberReport(long atMicros, String proxy, int presentMembers, int knownMembers,
                        String agreement, String digest, int countedMembers, double budgetShare,
                        double ageSeconds, int groupCount, String group, String representative) {
        static MemberReport parse(long atMicros, String proxy, Matcher matcher) {
            boolean hasGroupFields = matcher.group(7) != null; // builds that predate groups omit these fields
            return new MemberReport(atMicros, proxy, Integer.parseInt(matcher.group(1)),
                Integer.parseInt(matcher.group(2)), matcher.group(3), matcher.group(4),
                Integer.parseInt(matcher.group(5)),
                Double.parseDouble(matcher.group(6)),
                hasGroupFields ? Double.parseDouble(matcher.group(7)) : 0,
                hasGroupFields ? Integer.parseInt(matcher.group(8)) : 1,
                hasGroupFields ? matcher.group(9) : "1",
                hasGroupFields ? matcher.group(10) : "no");
        }

        String toCsvRow(long clientsStartMicros) {
            return String.format(Locale.ROOT, "%.3f,%s,%d,%d,%s,%d,%.6f,%.1f,%d,%s,%s",
                (atMicros - clientsStartMicros) / 1e6, proxy, presentMembers, knownMembers, agreement,
                countedMembers, budgetShare, ageSeconds, groupCount, group, representative);
        }
    }

    /** One proxy declared another member gone. */
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

    /** Starts polling; the period grows with the number of proxies. */
    public void start() {
        long periodMillis = Math.max(MIN_PERIOD_MILLIS,
            PERIOD_PER_PROXY_MILLIS * plan.experiment().proxies().count());
        executor.scheduleWithFixedDelay(this::pollConsoles, periodMillis, periodMillis,
            TimeUnit.MILLISECONDS);
    }

    /** Sends MEMBERS to every running proxy and records the responses. */
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
        // members of the same group must report the same digest
        Map<String, Set<String>> digestsByGroup = new HashMap<>();
        responses.forEach(report -> digestsByGroup.computeIfAbsent(report.group, g -> new HashSet<>())
            .add(report.digest));
        boolean allAgreed = !responses.isEmpty() && digestsByGroup.values().stream()
            .allMatch(groupDigests -> groupDigests.size() == 1)
            && responses.stream().allMatch(report -> report.agreement.equals("all")
            && report.presentMembers == responses.size());
        synchronized (polls) {
            if (executor.isShutdown()) {
                return; // the poll is incomplete
            }
            polls.add(new Poll(polledAtMicros, responses.size(), allAgreed,
                responses.stream().mapToDouble(MemberReport::budgetShare).sum()));
            reports.addAll(responses);
        }
    }

    /**
     * The results, to be called when the proxies have exited; empty if they report no membership. Also writes
     * members.csv beside the folder of the proxies, with a row for each console response.
     */
    public Map<String, Object> collectResults(Path proxiesFolder, long clientsStartMicros)
        throws IOException {
        Map<String, Object> result = new LinkedHashMap<>();
        synchronized (polls) {
            if (polls.stream().allMatch(poll -> poll.responses == 0)) {
                return result;
            }
            List<String> rows = new ArrayList<>(List.of(CSV_HEADER));
            reports.forEach(report -> rows.add(report.toCsvRow(clientsStartMicros)));
            Files.write(proxiesFolder.resolveSibling("members.csv"), rows);
        }
        List<GoneEvent> goneEvents = readGoneEvents(proxiesFolder, clientsStartMicros);
        List<Long> detectionMicros = new ArrayList<>();
        long missed = 0;
        for (Break fault : plan.faults()) {
            if (fault.kind() == FaultKind.KILL || fault.kind() == FaultKind.PAUSE) {
                for (int victim : fault.victims()) {
                    for (int observer = 0; observer < plan.experiment().proxies().count(); observer++) {
                        if (affectedByFault(observer, fault.at() - FAULT_EFFECT_MICROS,
                            fault.at() + FAULT_EFFECT_MICROS, true)
                            || !sameGroup(observer, victim)) {
                            continue;
                        }
                        String observerName = "n" + observer, memberName = "n" + victim;
                        long detectedAtMicros = goneEvents.stream()
                            .filter(event -> event.observer.equals(observerName)
                            && event.member.equals(memberName) && event.atMicros >= fault.at()
                            && event.atMicros <= Math.min(fault.endAt() + FAULT_EFFECT_MICROS,
                            fault.at() + MAX_DETECTION_MICROS))
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
            .map(event -> event.observer + " declared " + event.member + " gone at " + event.atMicros / 1e6
            + " s")
            .toList();
        result.put("deaths_seen", detectionMicros.size());
        result.put("deaths_missed", missed);
        result.put("detected_s", detectionMicros.isEmpty() ? null
            : Map.of("p50", percentileSeconds(detectionMicros, 0.5),
                "p99", percentileSeconds(detectionMicros, 0.99),
                "max", percentileSeconds(detectionMicros, 1)));
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
        return sortedMicros.get((int) Math.min(sortedMicros.size() - 1,
            Math.ceil(quantile * sortedMicros.size()) - 1)) / 1e6;
    }

    /** For each fault of proxies or of links between them, how long after its end all agreed, or null. */
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

    /**
     * Seconds from the end of a fault until all agreed, and kept agreeing until the next fault or the end of
     * the play; null if they did not.
     */
    private Double secondsUntilAgreement(long clientsStartMicros, long faultEndMicros) {
        long nextFaultMicros = plan.faults().stream().mapToLong(Break::at)
            .filter(atMicros -> atMicros > faultEndMicros).min()
            .orElse(Long.MAX_VALUE);
        Double agreedAfterSeconds = null;
        synchronized (polls) {
            for (Poll poll : polls) {
                long atMicros = poll.atMicros - clientsStartMicros;
                if (atMicros >= faultEndMicros && atMicros < nextFaultMicros) {
                    agreedAfterSeconds = !poll.allAgreed ? null : agreedAfterSeconds == null
                        ? (atMicros - faultEndMicros) / 1e6 : agreedAfterSeconds;
                }
            }
        }
        return agreedAfterSeconds;
    }

    /** Whether two proxies are in the same group. The members of other groups are not visible to a proxy. */
    private boolean sameGroup(int proxy, int otherProxy) {
        return plan.experiment().proxies().zoneOf(proxy)
            .equals(plan.experiment().proxies().zoneOf(otherProxy));
    }

    /** Whether a fault of this proxy, or optionally of any link, overlaps this time. */
    private boolean affectedByFault(int proxy, long fromMicros, long untilMicros, boolean includeLinks) {
        return plan.faults().stream().anyMatch(fault -> fault.at() <= untilMicros
            && fault.endAt() >= fromMicros
            && (fault.kind().targetsProxies() ? fault.victims().contains(proxy)
                : includeLinks && fault.kind() == FaultKind.LINK
                && fault.link().passage().mode() != Mode.OPEN));
    }

    /** Whether a fault of either proxy, or of a link, explains that one declared the other gone. */
    private boolean explainedByFault(GoneEvent event) {
        int member = Integer.parseInt(event.member.substring(1)),
            observer = Integer.parseInt(event.observer.substring(1));
        return affectedByFault(member, event.atMicros - FAULT_EFFECT_MICROS, event.atMicros, true)
            || affectedByFault(observer, event.atMicros - FAULT_EFFECT_MICROS, event.atMicros, true);
    }

    /** Reads from the logs when each proxy declared another member gone. */
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
                        result.add(new GoneEvent(folderName.substring(0, folderName.indexOf('.')),
                            goneMatcher.group(2),
                            (Long.parseLong(goneMatcher.group(1)) - clock.unixMillis(clientsStartMicros))
                            * 1000));
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
