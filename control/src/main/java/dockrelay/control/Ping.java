package dockrelay.control;

import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** Asks proxies whether they serve. */
@Command(name = "ping", mixinStandardHelpOptions = true, description = "Asks proxies whether they serve.")
final class Ping implements Callable<Integer> {
    @Parameters(paramLabel = "HOST:PORT", arity = "0..*", description = "consoles")
    List<String> consoles;
    @Mixin
    Targets targets;

    @Override
    public Integer call() throws InterruptedException {
        return Mark.tell(targets.call(consoles, "PING"), targets.json);
    }
}
