package dockrelay.control;

import dockrelay.control.ProxyAnswers.FleetReport;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Compares the member lists of proxies. */
@Command(name = "members", mixinStandardHelpOptions = true, description =
    "Compares the member lists of proxies.",
    exitCodeListHeading = "Exit codes:%n", exitCodeList = {"0:all answered, and all agree",
        "1:some did not answer, or do not agree", "2:misuse"})
final class MembersCommand implements Callable<Integer> {
    @Parameters(paramLabel = "HOST:PORT", arity = "0..*", description = "consoles")
    List<String> consoles;
    @Option(names = "--all-rows", description
        = "one row per proxy and member, not only where proxies differ")
    boolean showAllRows;
    @Mixin
    SharedOptions options;

    @Override
    public Integer call() throws InterruptedException {
        ProxyAnswers answers = ProxyAnswers.parse(options.call(consoles, "MEMBERS"));
        Map<String, FleetReport> reportsByConsole = answers.reportsByConsole();
        Map<String, String> errorsByConsole = answers.errorsByConsole();
        Map<String, Map<String, List<String>>> consolesByMember = new TreeMap<>(java.util.Comparator
            .comparingInt(String::length).thenComparing(java.util.Comparator.naturalOrder()));
        reportsByConsole.forEach((console, report) -> report.rows().forEach((member, row) -> consolesByMember
            .computeIfAbsent(member, newMember -> new TreeMap<>()).computeIfAbsent(row.get("state"),
                newState -> new ArrayList<>()).add(console)));
        // Digests are compared within each group, the counts of the whole fleet across all proxies.
        boolean agreed = errorsByConsole.isEmpty()
            && reportsByConsole.values().stream().collect(Collectors.groupingBy(
                report -> report.summary().getOrDefault("group", ""),
                Collectors.mapping(report -> report.summary().get("digest"), Collectors.toSet())))
                .values().stream().allMatch(digests -> digests.size() == 1)
            && reportsByConsole.values().stream().map(report -> report.summary().get("present"))
                .distinct().count() == 1
            && reportsByConsole.values().stream()
                .allMatch(report -> "all".equals(report.summary().get("agreement")));
        if (options.json) {
            System.out.println(TextTable.toJson(answers.toJsonValue(agreed, "members")));
        } else {
            printTables(reportsByConsole, errorsByConsole, consolesByMember);
        }
        return agreed ? 0 : 1;
    }

    private void printTables(Map<String, FleetReport> reportsByConsole, Map<String, String> errorsByConsole,
                             Map<String, Map<String, List<String>>> consolesByMember) {
        TextTable proxyTable = new TextTable("CONSOLE", "PRESENT", "AGREEMENT", "DIGEST", "SHARE", "HEALTH",
            "GROUP", "AGE");
        reportsByConsole.forEach((console, report) -> {
            Map<String, String> summary = report.summary();
            proxyTable.addRow(console, summary.get("present") + " of " + summary.get("of"),
                summary.get("agreement") + " (" + summary.get("agreeing") + ")", summary.get("digest"),
                summary.get("share"), summary.get("health"),
                summary.getOrDefault("group", "") + ("yes".equals(summary.get("speaker")) ? ", speaks" : ""),
                summary.getOrDefault("age", ""));
        });
        errorsByConsole.forEach((console, error) ->
            proxyTable.addRow(console, "?", error, "", "", "", "", ""));
        System.out.print(proxyTable);
        TextTable memberTable = new TextTable("MEMBER", "STATE", "SAID BY", "FOR", "WORD OF", "INCARNATION");
        consolesByMember.forEach((member, consolesByState) -> consolesByState.forEach((state, consoles) -> {
            if (showAllRows || consolesByState.size() > 1) {
                consoles.forEach(console -> addMemberRow(memberTable, member, state, console,
                    reportsByConsole.get(console)));
            } else {
                addMemberRow(memberTable, member, state, consoles.size() == reportsByConsole.size()
                    ? "all " + consoles.size() : consoles.size() + " of " + reportsByConsole.size(),
                    reportsByConsole.get(consoles.get(0)));
            }
        }));
        System.out.println();
        System.out.print(memberTable);
    }

    private static void addMemberRow(TextTable memberTable, String member, String state, String reportedBy,
                                     FleetReport report) {
        Map<String, String> row = report.rows().get(member);
        memberTable.addRow(member, state, reportedBy, row.get("for"), row.get("by"), row.get("incarnation"));
    }
}
