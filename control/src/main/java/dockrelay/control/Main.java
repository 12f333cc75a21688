package dockrelay.control;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * The operators' command-line program. Exit codes: 0 success, 1 incomplete or disagreement, 2 usage
 * error.
 */
@Command(name = "ctl", mixinStandardHelpOptions = true, version = "ctl 0.1.0",
    subcommands = {PingCommand.class, MembersCommand.class, GroupsCommand.class, MemberCommand.class,
        BackendCommand.Detach.class, BackendCommand.Attach.class},
    description = "Sends commands to the consoles of one or many proxies.",
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = {"0:done", "1:some did not answer, refused, or disagree", "2:misuse"},
    footerHeading = "Examples:%n", footer = {"  ctl ping 127.0.0.1:12000 127.0.0.1:12001",
        "  ctl members --file consoles.txt --json", "  ctl detach s-1 --file consoles.txt"})
public final class Main {
    private Main() {
    }

    public static void main(String[] args) {
        System.exit(commands().execute(args));
    }

    static CommandLine commands() {
        CommandLine commandLine = new CommandLine(new Main());
        commandLine.setExecutionExceptionHandler((e, command, parsed) -> {
            if (e instanceof IllegalArgumentException) {
                command.getErr().println(e.getMessage());
                return 2;
            }
            throw e;
        });
        return commandLine;
    }
}
