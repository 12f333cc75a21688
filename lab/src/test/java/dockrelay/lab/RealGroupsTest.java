package dockrelay.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.lab.plan.Plan;
import dockrelay.lab.process.Build;
import dockrelay.lab.report.Result;
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
    private static final double KNOWN = 6;
    private static final double KILLED = 5, BACK = 12, CUT = 19, HEALED = 27, END = 34;
    private static final List<String> OTHERS = List.of("n0", "n2", "n3", "n4", "n5");
    private static final List<String> MOST = List.of("n0", "n1", "n2", "n5"), FEW = List.of("n3", "n4");

    @TempDir
    Path folder;
    private final List<Said> said = new ArrayList<>();

    /** One row of members.csv: a proxy's view of the fleet. */
    private record Said(double at, String proxy, int present, int of, String agreement, int counted,
                        double age, int groups, String group, boolean speaker) {
        static Said of(String row) {
            String[] cells = row.split(",");
            return new Said(Double.parseDouble(cells[0]), cells[1], Integer.parseInt(cells[2]),
                Integer.parseInt(cells[3]), cells[4], Integer.parseInt(cells[5]),
                Double.parseDouble(cells[7]), Integer.parseInt(cells[8]), cells[9], cells[10].equals("yes"));
        }

        boolean says(int counts, String agreed) {
            return counted == counts && agreement.equals(agreed);
        }
    }

    @Test
    void groupsCountEachOtherAndAgreeAgain() throws Exception {
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
            """.formatted(END, KILLED, BACK - KILLED, CUT, HEALED - CUT));
        // The limits here are seconds, so a play that passes on a starved machine counts; only a play that
        // fails
        // the checks may be void for starvation and be repeated.
        Result result = new Plays<Result>(Plays.MOST, played -> holds(played) ? null
            : played.rulesVoidBecause(), System.out::println).play(() -> new LabRun(
            Plan.generate(ExperimentReader.read(file), 3), Build.load(Path.of("..")), folder.resolve("out"),
            text -> { }).play());
        judge(result);
    }

    private boolean holds(Result result) {
        try {
            judge(result);
            return true;
        } catch (AssertionError e) {
            System.out.println(e.getMessage());
            return false;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void judge(Result result) throws IOException {
        said.clear();
        Files.readAllLines(folder.resolve("out/members.csv")).stream().skip(1).map(Said::of)
            .forEach(said::add);
        if (result.rulesVoidBecause() == null) { // the rules for requests have limits of milliseconds
            assertEquals(List.of(), result.broken);
        }
        Map<?, ?> members = (Map<?, ?>) result.values().get("members");
        assertEquals(List.of(), members.get("falsely_gone_first"), "no running member is declared gone");
        assertEquals(2, members.get("deaths_seen"),
            "both other members of the group see the death: " + members);
        assertTrue((Double) members.get("shares_most") < 1 + 1e-4, members.toString());
        assertEquals(Set.of("a/1 3", "b/1 3", "c/1 3"), groups());
        assertTrue(said.stream().anyMatch(one -> one.at < KILLED && one.proxy.equals("n1") && one.speaker),
            "the killed proxy was the representative of its group");

        List<String> all = new ArrayList<>(MOST);
        all.addAll(FEW);
        known("the start", 0, KILLED, all, one -> one.says(6, "all") && one.present == 6);
        known("the death", KILLED, BACK, OTHERS, one -> one.says(5, "all") && one.present == 5);
        known("the return", BACK, CUT, all, one -> one.says(6, "all") && one.present == 6);
        known("the partition, on the majority side", CUT, HEALED, MOST,
            one -> one.says(4, "all") && one.present == 4);
        known("the partition, on the minority side", CUT, HEALED, FEW, one -> one.says(6, "minority"));
        known("the end of the partition", HEALED, END, all, one -> one.says(6, "all") && one.present == 6);
        for (String one : FEW) { // a group's last report is counted until it is too old
            double oldest = said.stream().filter(row -> row.proxy.equals(one) && row.at >= CUT
                && row.at < HEALED && row.agreement.equals("all")).mapToDouble(Said::age).max().orElse(0);
            System.out.println(one + ": reports were counted up to an age of " + oldest + " s");
            assertTrue(oldest > 1 && oldest <= KNOWN, one + ": " + of(one, CUT, HEALED));
        }
    }

    private Set<String> groups() {
        Set<String> result = new HashSet<>();
        said.forEach(one -> result.add(one.group + " " + one.groups));
        return result;
    }

    /**
     * Asserts that within KNOWN seconds of the start each proxy meets the condition and does so until the
     * end.
     */
    private void known(String what, double from, double until, List<String> proxies, Predicate<Said> holds) {
        double latest = 0;
        for (String proxy : proxies) {
            double since = Double.NaN;
            for (Said one : said) {
                if (one.proxy.equals(proxy) && one.at >= from && one.at < until) {
                    since = !holds.test(one) ? Double.NaN : Double.isNaN(since) ? one.at : since;
                }
            }
            assertTrue(!Double.isNaN(since), what + ": " + proxy + " does not meet the condition at the end: "
                + of(proxy, from, until));
            latest = Math.max(latest, since - from);
        }
        System.out.println(what + ": known to all after " + latest + " s");
        assertTrue(latest <= KNOWN, what + ": known to all only after " + latest + " s");
    }

    private List<Said> of(String proxy, double from, double until) {
        return said.stream().filter(one -> one.proxy.equals(proxy) && one.at >= from && one.at < until)
            .toList();
    }
}
