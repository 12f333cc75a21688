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
    "Asks proxies what they hold of each group of the fleet, and says where they differ.",
    exitCodeListHeading = "Exit codes:%n", exitCodeList = {"0:all answered, and all hear of all groups alike",
        "1:some did not answer, or hold a group stale or otherwise", "2:misuse"})
final class Groups implements Callable<Integer> {
    /** The fields of a group that agree if two proxies have the same view; the age differs by proxy. */
    private static final List<String> ALIKE = List.of("state", "of", "present", "left", "gone", "counted",
        "agreement", "other-list");

    @Parameters(paramLabel = "HOST:PORT", arity = "0..*", description = "consoles")
    List<String> consoles;
    @Mixin
    Targets targets;

    @Override
    public Integer call() throws InterruptedException {
        Views views = Views.of(targets.call(consoles, "GROUPS"));
        Map<String, Map<List<String>, List<String>>> held = new TreeMap<>();
        views.all().forEach((console, view) -> view.rows().forEach((group, row) -> held
            .computeIfAbsent(group, g -> new LinkedHashMap<>()).computeIfAbsent(alike(row),
                s -> new ArrayList<>()).add(console)));
        int all = views.all().size();
        boolean agreed = views.troubles().isEmpty() && held.values().stream().allMatch(said ->
            said.size() == 1
            && said.values().iterator().next().size() == all && good(said.keySet().iterator().next()));
        if (targets.json) {
            System.out.println(Table.json(views.json(agreed, "groups")));
        } else {
            print(views, held);
        }
        return agreed ? 0 : 1;
    }

    private static boolean good(List<String> alike) {
        return alike.get(ALIKE.indexOf("state")).equals("fresh")
            && alike.get(ALIKE.indexOf("other-list")).isEmpty();
    }

    private static List<String> alike(Map<String, String> row) {
        return ALIKE.stream().map(key -> row.getOrDefault(key, "")).toList();
    }

    private static void print(Views views, Map<String, Map<List<String>, List<String>>> held) {
        Table table = new Table("GROUP", "STATE", "PRESENT", "LEFT", "GONE", "COUNTED", "AGREEMENT", "AGE",
            "SAID BY");
        held.forEach((group, said) -> said.forEach((alike, by) -> {
            Map<String, String> row = views.all().get(by.get(0)).rows().get(group);
            table.row(group, row.get("state") + (row.containsKey("other-list") ? ", other list" : ""),
                row.getOrDefault("present", "?") + " of " + row.get("of"), row.getOrDefault("left", "?"),
                row.getOrDefault("gone", "?"), row.getOrDefault("counted", "?"),
                row.getOrDefault("agreement", "?"), "up to " + oldest(views, group, by),
                by.size() == views.all().size() ? "all " + by.size() : String.join(",", by));
        }));
        System.out.print(table);
        views.troubles().forEach((console, why) -> System.out.println(console + ": " + why));
    }

    private static String oldest(Views views, String group, List<String> by) {
        double most = -1;
        for (String console : by) {
            String age = views.all().get(console).rows().get(group).get("age");
            most = Math.max(most, age == null ? -1 : Double.parseDouble(age.replace("s", "")));
        }
        return most < 0 ? "never" : most + "s";
    }
}
