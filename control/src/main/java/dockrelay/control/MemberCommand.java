package dockrelay.control;

import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** Queries the state of one member of any group, by name. */
@Command(name = "member", mixinStandardHelpOptions = true, description =
    "Asks proxies for one member by name; those of another group have that group asked.")
final class MemberCommand implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "NAME", description = "its name in the configuration's peers")
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
            .map(view -> view.rows().getOrDefault(name, Map.of()).get("state")).distinct().count() == 1;
        if (options.json) {
            System.out.println(TextTable.toJson(answers.toJson(agreed, "members")));
        } else {
            TextTable table = new TextTable("CONSOLE", "GROUP", "STATE", "FOR", "WORD OF", "INCARNATION");
            answers.reportsByConsole().forEach((console, view) -> view.rows().forEach((member, row) -> table.addRow(console,
                view.summary().get("group"), row.get("state"), row.get("for"), row.get("by"),
                row.get("incarnation"))));
            answers.errorsByConsole().forEach((console, error) -> table.addRow(console, "?", error, "", "", ""));
            System.out.print(table);
        }
        return agreed ? 0 : 1;
    }
}
