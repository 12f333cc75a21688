package dockrelay.control;

import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** Asks proxies whether they serve. */
@Command(name = "ping", mixinStandardHelpOptions = true, description = "Asks proxies whether they serve.")
final class PingCommand implements Callable<Integer> {
    @Parameters(paramLabel = "HOST:PORT", arity = "0..*", description = "consoles")
    List<String> consoles;
    @Mixin
    SharedOptions options;

    @Override
    public Integer call() throws InterruptedException {
        return BackendCommand.printAnswers(options.call(consoles, "PING"), options.json);
    }
}
