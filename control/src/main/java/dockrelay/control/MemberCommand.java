package dockrelay.control;

import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** Queries the state of one member of any group, by name. */
@Command(name = "member", mixinStandardHelpOptions = true, description =
    "Looks up one member by name; proxies query its group if it is not their own.")
final class MemberCommand implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "NAME", description = "name of the member in the configuration")
    String name;
    @Parameters(index = "1..*", paramLabel = "HOST:PORT", arity = "0..*", description = "consoles")
    List<String> consoles;
    @Mixin
    SharedOptions options;

    @Override
    public Integer call() throws InterruptedException {
        if (!name.matches("[\\x21-\\x7e]{1,64}")) {
            throw new IllegalArgumentException("NAME = " + name + " is not 1 to 64 visible characters");
        }
        ProxyAnswers answers = ProxyAnswers.parse(options.call(consoles, "MEMBER " + name));
        boolean agreed = answers.errorsByConsole().isEmpty() && answers.reportsByConsole().values().stream()
            .map(report -> report.rows().getOrDefault(name, Map.of()).get("state")).distinct().count() == 1;
        if (options.json) {
            System.out.println(TextTable.toJson(answers.toJsonValue(agreed, "members")));
        } else {
            TextTable table = new TextTable("CONSOLE", "GROUP", "STATE", "FOR", "WORD OF", "INCARNATION");
            answers.reportsByConsole().forEach((console, report) -> report.rows().forEach((member, row) ->
                table.addRow(console, report.summary().get("group"), row.get("state"), row.get("for"),
                    row.get("by"), row.get("incarnation"))));
            answers.errorsByConsole().forEach((console, error) ->
                table.addRow(console, "?", error, "", "", ""));
            System.out.print(table);
        }
        return agreed ? 0 : 1;
    }
}
