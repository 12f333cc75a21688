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
    "Asks proxies whom of each other they see, and says where they differ.",
    exitCodeListHeading = "Exit codes:%n", exitCodeList = {"0:all answered, and all agree",
        "1:some did not answer, or do not agree", "2:misuse"})
final class MembersCommand implements Callable<Integer> {
    @Parameters(paramLabel = "HOST:PORT", arity = "0..*", description = "consoles")
    List<String> consoles;
    @Option(names = "--all-rows", description
        = "each proxy's word of each member, not only where they differ")
    boolean showAllRows;
    @Mixin
    SharedOptions options;

    @Override
    public Integer call() throws InterruptedException {
        ProxyAnswers answers = ProxyAnswers.parse(options.call(consoles, "MEMBERS"));
        Map<String, FleetReport> viewsByConsole = answers.reportsByConsole();
        Map<String, String> errorsByConsole = answers.errorsByConsole();
        Map<String, Map<String, List<String>>> consolesByStateByMember = new TreeMap<>(java.util.Comparator
            .comparingInt(String::length).thenComparing(java.util.Comparator.naturalOrder()));
        viewsByConsole.forEach((console, view) -> view.rows().forEach((member, row) -> consolesByStateByMember
            .computeIfAbsent(member, newMember -> new TreeMap<>()).computeIfAbsent(row.get("state"),
                newState -> new ArrayList<>()).add(console)));
        // Digests are compared within each group, the counts of the whole fleet across all proxies.
        boolean agreed = errorsByConsole.isEmpty() && viewsByConsole.values().stream().collect(Collectors.groupingBy(
            view -> view.summary().getOrDefault("group", ""), Collectors.mapping(view -> view.summary()
            .get("digest"), Collectors.toSet()))).values().stream().allMatch(digests -> digests.size() == 1)
            && viewsByConsole.values().stream().map(view -> view.summary().get("present")).distinct().count() == 1
            && viewsByConsole.values().stream().allMatch(view -> "all".equals(view.summary().get("agreement")));
        if (options.json) {
            System.out.println(TextTable.toJson(answers.toJson(agreed, "members")));
        } else {
            printTables(viewsByConsole, errorsByConsole, consolesByStateByMember);
        }
        return agreed ? 0 : 1;
    }

    private void printTables(Map<String, FleetReport> viewsByConsole, Map<String, String> errorsByConsole,
                       Map<String, Map<String, List<String>>> consolesByStateByMember) {
        TextTable proxyTable = new TextTable("CONSOLE", "PRESENT", "AGREEMENT", "DIGEST", "SHARE", "HEALTH", "GROUP",
            "AGE");
        viewsByConsole.forEach((console, view) -> {
            Map<String, String> summary = view.summary();
            proxyTable.addRow(console, summary.get("present") + " of " + summary.get("of"), summary.get("agreement") + " ("
                + summary.get("agreeing") + ")", summary.get("digest"), summary.get("share"), summary.get("health"),
                summary.getOrDefault("group", "") + ("yes".equals(summary.get("speaker")) ? ", speaks" : ""),
                summary.getOrDefault("age", ""));
        });
        errorsByConsole.forEach((console, error) -> proxyTable.addRow(console, "?", error, "", "", "", "", ""));
        System.out.print(proxyTable);
        TextTable memberTable = new TextTable("MEMBER", "STATE", "SAID BY", "FOR", "WORD OF", "INCARNATION");
        consolesByStateByMember.forEach((member, consolesByState) -> consolesByState.forEach((state, consoles) -> {
            if (showAllRows || consolesByState.size() > 1) {
                consoles.forEach(console -> addMemberRow(memberTable, member, state, console, viewsByConsole.get(console)));
            } else {
                addMemberRow(memberTable, member, state, consoles.size() == viewsByConsole.size() ? "all " + consoles.size() : consoles.size() + " of "
                    + viewsByConsole.size(), viewsByConsole.get(consoles.get(0)));
            }
        }));
        System.out.println();
        System.out.print(memberTable);
    }

    private static void addMemberRow(TextTable memberTable, String member, String state, String reportedBy, FleetReport view) {
        Map<String, String> row = view.rows().get(member);
        memberTable.addRow(member, state, reportedBy, row.get("for"), row.get("by"), row.get("incarnation"));
    }
}
