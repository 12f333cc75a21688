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
final class Member implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "NAME", description = "its name in the configuration's peers")
    String name;
    @Parameters(index = "1..*", paramLabel = "HOST:PORT", arity = "0..*", description = "consoles")
    List<String> consoles;
    @Mixin
    Targets targets;

    @Override
    public Integer call() throws InterruptedException {
        if (!name.matches("[\\x21-\\x7e]{1,64}")) {
            throw new IllegalArgumentException("NAME = " + name + " is not 1 to 64 visible characters");
        }
        Views views = Views.of(targets.call(consoles, "MEMBER " + name));
        boolean alike = views.troubles().isEmpty() && views.all().values().stream()
            .map(view -> view.rows().getOrDefault(name, Map.of()).get("state")).distinct().count() == 1;
        if (targets.json) {
            System.out.println(Table.json(views.json(alike, "members")));
        } else {
            Table table = new Table("CONSOLE", "GROUP", "STATE", "FOR", "WORD OF", "INCARNATION");
            views.all().forEach((console, view) -> view.rows().forEach((member, row) -> table.row(console,
                view.figures().get("group"), row.get("state"), row.get("for"), row.get("by"),
                row.get("incarnation"))));
            views.troubles().forEach((console, why) -> table.row(console, "?", why, "", "", ""));
            System.out.print(table);
        }
        return alike ? 0 : 1;
    }
}
