package dockrelay.control;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** Detaches a backend from proxies, or attaches it again. */
abstract class BackendCommand implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "BACKEND", description = "id of the backend in the discovery list")
    String backendId;
    @Parameters(index = "1..*", paramLabel = "HOST:PORT", arity = "0..*", description = "consoles")
    List<String> consoles;
    @Mixin
    SharedOptions options;

    private final String consoleCommand;

    BackendCommand(String consoleCommand) {
        this.consoleCommand = consoleCommand;
    }

    /** Makes proxies send no new requests to a backend. */
    @Command(name = "detach", mixinStandardHelpOptions = true,
        description = "Detaches a backend: these proxies send it no new requests.")
    static final class Detach extends BackendCommand {
        Detach() {
            super("DETACH");
        }
    }

    /** Attaches a backend again, which counts as newly started from then on. */
    @Command(name = "attach", mixinStandardHelpOptions = true,
        description = "Attaches a detached backend again.")
    static final class Attach extends BackendCommand {
        Attach() {
            super("ATTACH");
        }
    }

    @Override
    public Integer call() throws InterruptedException {
        if (!backendId.matches("[\\x21-\\x7e]{1,80}")) {
            throw new IllegalArgumentException("BACKEND = " + backendId
                + " is not 1 to 80 visible characters");
        }
        return printAnswers(options.call(consoles, consoleCommand + " " + backendId), options.json);
    }

    /** Prints the answers; returns the exit code, 0 if all consoles accepted the command. */
    static int printAnswers(Map<String, ConsoleClient.Answer> answers, boolean json) {
        TextTable table = new TextTable("CONSOLE", "ANSWER");
        Map<String, Object> values = new LinkedHashMap<>();
        answers.forEach((console, answer) -> {
            table.addRow(console, (answer.isAccepted() ? "yes: " : "no: ") + answer.text());
            values.put(console, Map.of("yes", answer.isAccepted(), "text", answer.text()));
        });
        System.out.print(json ? TextTable.toJson(values) + System.lineSeparator() : table.toString());
        return answers.values().stream().allMatch(ConsoleClient.Answer::isAccepted) ? 0 : 1;
    }
}
