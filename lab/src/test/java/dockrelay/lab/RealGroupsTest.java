package dockrelay.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.lab.plan.Plan;
import dockrelay.lab.process.Build;
import dockrelay.lab.report.PlayResult;
import dockrelay.lab.spec.ExperimentReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Six proxy processes in groups of three, two and one: the representative of a group is killed and
 * restarted, and later a group is partitioned from the others in both directions. All members must learn of
 * each change in time.
 */
class RealGroupsTest {
    /** Maximum time, in seconds, until all members know of a death, a partition or their end. */
    private static final double MAX_CONVERGENCE_SECONDS = 6;
    private static final double KILL_AT = 5, RESTART_AT = 12, PARTITION_AT = 19, HEAL_AT = 27, END_AT = 34;
    private static final List<String> SURVIVORS = List.of("n0", "n2", "n3", "n4", "n5");
    private static final List<String> MAJORITY = List.of("n0", "n1", "n2", "n5"), MINORITY = List.of("n3",
        "n4");

    @TempDir
    Path folder;
    private final List<MemberView> views = new ArrayList<>();

    /** One row of members.csv: a proxy's view of the fleet. */
    private record MemberView(double seconds, String proxy, int present, int known, String agreement,
        int counted,
                        double maxReportAge, int groupCount, String group, boolean representative) {
        static MemberView parse(String row) {
            String[] cells = row.split(",");
            return new MemberView(Double.parseDouble(cells[0]), cells[1], Integer.parseInt(cells[2]),
                Integer.parseInt(cells[3]), cells[4], Integer.parseInt(cells[5]),
                Double.parseDouble(cells[7]), Integer.parseInt(cells[8]), cells[9], cells[10].equals("yes"));
        }

        boolean matches(int expectedCounted, String expectedAgreement) {
            return counted == expectedCounted && agreement.equals(expectedAgreement);
        }
    }

    @Test
    void groupsConvergeAfterDeathAndPartition() throws Exception {
        Path file = Files.writeString(folder.resolve("groups.toml"), """
            shows = "groups"
            length = "%.0fs"
            [proxies]
            count = 6
            zones = ["a", "a", "a", "b", "b", "c"]
            [nodes]
            count = 4
            [clients]
            load = 0.2
            [permissions]
            peers = true
            [[fault]]
            kind = "kill"
            at = "%.0fs"
            lasts = "%.0fs"
            victims = ["n1"]
            [[fault]]
            kind = "link"
            at = "%.0fs"
            lasts = "%.0fs"
            from = ["n3", "n4"]
            to = ["n0", "n1", "n2", "n5"]
            mode = "silent"
            """.formatted(END_AT, KILL_AT, RESTART_AT - KILL_AT, PARTITION_AT, HEAL_AT - PARTITION_AT));
        // The limits here are seconds, so a play that passes on a starved machine counts; only a play that
        // fails
        // the checks may be void for starvation and be repeated.
        PlayResult result = new PlayRepeater<PlayResult>(PlayRepeater.DEFAULT_MAX_PLAYS, candidate ->
        passesChecks(candidate) ? null
            : candidate.rulesVoidReason(), System.out::println).playUntilValid(() -> new LabRun(
            Plan.generate(ExperimentReader.read(file), 3), Build.load(Path.of("..")), folder.resolve("out"),
            text -> { }).play());
        checkResult(result);
    }

    private boolean passesChecks(PlayResult result) {
        try {
            checkResult(result);
            return true;
        } catch (AssertionError e) {
            System.out.println(e.getMessage());
            return false;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void checkResult(PlayResult result) throws IOException {
        views.clear();
        Files.readAllLines(folder.resolve("out/members.csv")).stream().skip(1).map(MemberView::parse)
            .forEach(views::add);
        if (result.rulesVoidReason() == null) { // the rules for requests have limits of milliseconds
            assertEquals(List.of(), result.violations);
        }
        Map<?, ?> members = (Map<?, ?>) result.values().get("members");
        assertEquals(List.of(), members.get("falsely_gone_first"), "no running member is declared gone");
        assertEquals(2, members.get("deaths_seen"),
            "both other members of the group see the death: " + members);
        assertTrue((Double) members.get("shares_most") < 1 + 1e-4, members.toString());
        assertEquals(Set.of("a/1 3", "b/1 3", "c/1 3"), groupsSeen());
        assertTrue(views.stream().anyMatch(view -> view.seconds < KILL_AT && view.proxy.equals("n1")
            && view.representative),
            "the killed proxy was the representative of its group");

        List<String> all = new ArrayList<>(MAJORITY);
        all.addAll(MINORITY);
        assertConverges("the start", 0, KILL_AT, all, view -> view.matches(6, "all") && view.present == 6);
        assertConverges("the death", KILL_AT, RESTART_AT, SURVIVORS, view -> view.matches(5, "all")
            && view.present == 5);
        assertConverges("the return", RESTART_AT, PARTITION_AT, all, view -> view.matches(6, "all")
            && view.present == 6);
        assertConverges("the partition, on the majority side", PARTITION_AT, HEAL_AT, MAJORITY,
            view -> view.matches(4, "all") && view.present == 4);
        assertConverges("the partition, on the minority side", PARTITION_AT, HEAL_AT, MINORITY, view ->
            view.matches(6, "minority"));
        assertConverges("the end of the partition", HEAL_AT, END_AT, all, view -> view.matches(6, "all")
            && view.present == 6);
        for (String proxy : MINORITY) { // a group's last report is counted until it is too old
            double maxReportAge = views.stream().filter(view -> view.proxy.equals(proxy)
                && view.seconds >= PARTITION_AT
                && view.seconds < HEAL_AT && view.agreement.equals("all"))
                .mapToDouble(MemberView::maxReportAge).max().orElse(0);
            System.out.println(proxy + ": reports were counted up to an age of " + maxReportAge + " s");
            assertTrue(maxReportAge > 1 && maxReportAge <= MAX_CONVERGENCE_SECONDS, proxy + ": "
                + viewsOf(proxy, PARTITION_AT, HEAL_AT));
        }
    }

    private Set<String> groupsSeen() {
        Set<String> result = new HashSet<>();
        views.forEach(view -> result.add(view.group + " " + view.groupCount));
        return result;
    }

    /**
     * Asserts that within MAX_CONVERGENCE_SECONDS of the start each proxy meets the condition and does so
     * until the end.
     */
    private void assertConverges(String phase, double from, double until, List<String> proxies,
        Predicate<MemberView> condition) {
        double maxDelay = 0;
        for (String proxy : proxies) {
            double convergedAt = Double.NaN;
            for (MemberView view : views) {
                if (view.proxy.equals(proxy) && view.seconds >= from && view.seconds < until) {
                    convergedAt = !condition.test(view) ? Double.NaN : Double.isNaN(convergedAt)
                        ? view.seconds : convergedAt;
                }
            }
            assertTrue(!Double.isNaN(convergedAt), phase + ": " + proxy
                + " does not meet the condition at the end: "
                + viewsOf(proxy, from, until));
            maxDelay = Math.max(maxDelay, convergedAt - from);
        }
        System.out.println(phase + ": known to all after " + maxDelay + " s");
        assertTrue(maxDelay <= MAX_CONVERGENCE_SECONDS, phase + ": known to all only after " + maxDelay
            + " s");
    }

    private List<MemberView> viewsOf(String proxy, double from, double until) {
        return views.stream().filter(view -> view.proxy.equals(proxy) && view.seconds >= from
            && view.seconds < until)
            .toList();
    }
}
