package dockrelay.control;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** Detaches a backend from proxies, or attaches it again. */
abstract class Mark implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "BACKEND", description = "its id in discovery's list")
    String backend;
    @Parameters(index = "1..*", paramLabel = "HOST:PORT", arity = "0..*", description = "consoles")
    List<String> consoles;
    @Mixin
    Targets targets;

    private final String word;

    Mark(String word) {
        this.word = word;
    }

    /** Makes proxies send no new requests to a backend. */
    @Command(name = "detach", mixinStandardHelpOptions = true,
        description = "Takes a backend out: it gets nothing new from these proxies.")
    static final class Detach extends Mark {
        Detach() {
            super("DETACH");
        }
    }

    /** Attaches a backend again, which counts as newly started from then on. */
    @Command(name = "attach", mixinStandardHelpOptions = true,
        description = "Puts a backend back that was taken out.")
    static final class Attach extends Mark {
        Attach() {
            super("ATTACH");
        }
    }

    @Override
    public Integer call() throws InterruptedException {
        if (!backend.matches("[\\x21-\\x7e]{1,80}")) {
            throw new IllegalArgumentException("BACKEND = " + backend + " is not 1 to 80 visible characters");
        }
        return tell(targets.call(consoles, word + " " + backend), targets.json);
    }

    /** Prints the answers; returns the exit code, 0 if all consoles accepted the command. */
    static int tell(Map<String, Consoles.Answer> answers, boolean json) {
        Table table = new Table("CONSOLE", "ANSWER");
        Map<String, Object> values = new LinkedHashMap<>();
        answers.forEach((console, answer) -> {
            table.row(console, (answer.yes() ? "yes: " : "no: ") + answer.text());
            values.put(console, Map.of("yes", answer.yes(), "text", answer.text()));
        });
        System.out.print(json ? Table.json(values) + System.lineSeparator() : table.toString());
        return answers.values().stream().allMatch(Consoles.Answer::yes) ? 0 : 1;
    }
}
