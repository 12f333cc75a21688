package dockrelay.control;

import dockrelay.control.Views.View;
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
final class Members implements Callable<Integer> {
    @Parameters(paramLabel = "HOST:PORT", arity = "0..*", description = "consoles")
    List<String> consoles;
    @Option(names = "--all-rows", description
        = "each proxy's word of each member, not only where they differ")
    boolean allRows;
    @Mixin
    Targets targets;

    @Override
    public Integer call() throws InterruptedException {
        Views answered = Views.of(targets.call(consoles, "MEMBERS"));
        Map<String, View> views = answered.all();
        Map<String, String> troubles = answered.troubles();
        Map<String, Map<String, List<String>>> states = new TreeMap<>(java.util.Comparator
            .comparingInt(String::length).thenComparing(java.util.Comparator.naturalOrder()));
        views.forEach((console, view) -> view.rows().forEach((member, row) -> states
            .computeIfAbsent(member, m -> new TreeMap<>()).computeIfAbsent(row.get("state"),
                s -> new ArrayList<>()).add(console)));
        // Digests are compared within each group, the counts of the whole fleet across all proxies.
        boolean agreed = troubles.isEmpty() && views.values().stream().collect(Collectors.groupingBy(
            view -> view.figures().getOrDefault("group", ""), Collectors.mapping(view -> view.figures()
            .get("digest"), Collectors.toSet()))).values().stream().allMatch(digests -> digests.size() == 1)
            && views.values().stream().map(view -> view.figures().get("present")).distinct().count() == 1
            && views.values().stream().allMatch(view -> "all".equals(view.figures().get("agreement")));
        if (targets.json) {
            System.out.println(Table.json(answered.json(agreed, "members")));
        } else {
            print(views, troubles, states);
        }
        return agreed ? 0 : 1;
    }

    private void print(Map<String, View> views, Map<String, String> troubles,
                       Map<String, Map<String, List<String>>> states) {
        Table proxies = new Table("CONSOLE", "PRESENT", "AGREEMENT", "DIGEST", "SHARE", "HEALTH", "GROUP",
            "AGE");
        views.forEach((console, view) -> {
            Map<String, String> said = view.figures();
            proxies.row(console, said.get("present") + " of " + said.get("of"), said.get("agreement") + " ("
                + said.get("agreeing") + ")", said.get("digest"), said.get("share"), said.get("health"),
                said.getOrDefault("group", "") + ("yes".equals(said.get("speaker")) ? ", speaks" : ""),
                said.getOrDefault("age", ""));
        });
        troubles.forEach((console, why) -> proxies.row(console, "?", why, "", "", "", "", ""));
        System.out.print(proxies);
        Table rows = new Table("MEMBER", "STATE", "SAID BY", "FOR", "WORD OF", "INCARNATION");
        states.forEach((member, held) -> held.forEach((state, by) -> {
            if (allRows || held.size() > 1) {
                by.forEach(console -> row(rows, member, state, console, views.get(console)));
            } else {
                row(rows, member, state, by.size() == views.size() ? "all " + by.size() : by.size() + " of "
                    + views.size(), views.get(by.get(0)));
            }
        }));
        System.out.println();
        System.out.print(rows);
    }

    private static void row(Table rows, String member, String state, String by, View view) {
        Map<String, String> row = view.rows().get(member);
        rows.row(member, state, by, row.get("for"), row.get("by"), row.get("incarnation"));
    }
}
