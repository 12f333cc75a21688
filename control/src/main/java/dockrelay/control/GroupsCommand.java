package dockrelay.control;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** Compares what proxies report about each group of the fleet. */
@Command(name = "groups", mixinStandardHelpOptions = true, description =
    "Compares what proxies report about each group of the fleet.",
    exitCodeListHeading = "Exit codes:%n", exitCodeList = {"0:all answered, and all agree about all groups",
        "1:some did not answer, have stale reports, or disagree", "2:misuse"})
final class GroupsCommand implements Callable<Integer> {
    /** The fields of a group that agree if two proxies have the same view; the age differs by proxy. */
    private static final List<String> COMPARED_FIELDS = List.of("state", "of", "present", "left", "gone",
        "counted", "agreement", "other-list");

    @Parameters(paramLabel = "HOST:PORT", arity = "0..*", description = "consoles")
    List<String> consoles;
    @Mixin
    SharedOptions options;

    @Override
    public Integer call() throws InterruptedException {
        ProxyAnswers answers = ProxyAnswers.parse(options.call(consoles, "GROUPS"));
        Map<String, Map<List<String>, List<String>>> consolesByGroup = new TreeMap<>();
        answers.reportsByConsole().forEach((console, report) -> report.rows().forEach((group, row) ->
            consolesByGroup.computeIfAbsent(group, newGroup -> new LinkedHashMap<>())
                .computeIfAbsent(comparedValues(row), newValues -> new ArrayList<>()).add(console)));
        int proxyCount = answers.reportsByConsole().size();
        boolean agreed = answers.errorsByConsole().isEmpty()
            && consolesByGroup.values().stream().allMatch(consolesByValues -> consolesByValues.size() == 1
                && consolesByValues.values().iterator().next().size() == proxyCount
                && isFreshAndSameList(consolesByValues.keySet().iterator().next()));
        if (options.json) {
            System.out.println(TextTable.toJson(answers.toJsonValue(agreed, "groups")));
        } else {
            printTable(answers, consolesByGroup);
        }
        return agreed ? 0 : 1;
    }

    private static boolean isFreshAndSameList(List<String> values) {
        return values.get(COMPARED_FIELDS.indexOf("state")).equals("fresh")
            && values.get(COMPARED_FIELDS.indexOf("other-list")).isEmpty();
    }

    private static List<String> comparedValues(Map<String, String> row) {
        return COMPARED_FIELDS.stream().map(key -> row.getOrDefault(key, "")).toList();
    }

    private static void printTable(ProxyAnswers answers,
                                   Map<String, Map<List<String>, List<String>>> consolesByGroup) {
        TextTable table = new TextTable("GROUP", "STATE", "PRESENT", "LEFT", "GONE", "COUNTED", "AGREEMENT",
            "AGE", "SAID BY");
        consolesByGroup.forEach((group, consolesByValues) ->
            consolesByValues.forEach((values, agreeingConsoles) -> {
            Map<String, String> row =
                answers.reportsByConsole().get(agreeingConsoles.get(0)).rows().get(group);
            table.addRow(group, row.get("state") + (row.containsKey("other-list") ? ", other list" : ""),
                row.getOrDefault("present", "?") + " of " + row.get("of"), row.getOrDefault("left", "?"),
                row.getOrDefault("gone", "?"), row.getOrDefault("counted", "?"),
                row.getOrDefault("agreement", "?"), "up to " + maxAge(answers, group, agreeingConsoles),
                agreeingConsoles.size() == answers.reportsByConsole().size()
                    ? "all " + agreeingConsoles.size() : String.join(",", agreeingConsoles));
        }));
        System.out.print(table);
        answers.errorsByConsole().forEach((console, error) -> System.out.println(console + ": " + error));
    }

    private static String maxAge(ProxyAnswers answers, String group, List<String> consoles) {
        double maxSeconds = -1;
        for (String console : consoles) {
            String age = answers.reportsByConsole().get(console).rows().get(group).get("age");
            maxSeconds = Math.max(maxSeconds, age == null ? -1 : Double.parseDouble(age.replace("s", "")));
        }
        return maxSeconds < 0 ? "never" : maxSeconds + "s";
    }
}
