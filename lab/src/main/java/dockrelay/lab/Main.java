package dockrelay.lab;

import dockrelay.lab.plan.Plan;
import dockrelay.lab.process.Build;
import dockrelay.lab.report.Result;
import dockrelay.lab.spec.Experiment;
import dockrelay.lab.spec.ExperimentReader;
import dockrelay.lab.spec.SpecException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The lab's commands. Exit codes: 0 done, 1 a rule was broken or the run fell short, 2 misuse. */
@Command(name = "lab", mixinStandardHelpOptions = true, version = "lab 0.1.0", subcommands = {Main.Run.class,
    Main.Check.class, Main.ListAll.class}, description = "Plays real proxies against an emulated world.",
    exitCodeListHeading = "Exit codes:%n", exitCodeList = {"0:done, every rule kept",
        "1:a rule was broken, or the run is void or could not start",
        "2:misuse: arguments or experiment file"})
public final class Main {
    private Main() {
    }

    public static void main(String[] args) {
        System.exit(commands().execute(args));
    }

    static CommandLine commands() {
        CommandLine line = new CommandLine(new Main());
        line.setExecutionExceptionHandler((e, command, parsed) -> {
            if (e instanceof SpecException) {
                command.getErr().println(e.getMessage());
                return 2;
            }
            if (e instanceof LabRun.FailedStart || e instanceof IOException) {
                command.getErr().println(e instanceof IOException ? e.toString() : e.getMessage());
                return 1;
            }
            throw e;
        });
        return line;
    }

    /** Plays one experiment once. */
    @Command(name = "run", mixinStandardHelpOptions = true, description =
        "Plays an experiment and writes a report.")
    static final class Run implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "the experiment")
        Path file;
        @Option(names = "--seed", defaultValue = "1", description =
            "fixes arrivals, work and faults (${DEFAULT-VALUE})")
        long seed;
        @Option(names = "--out", required = true, description =
            "folder for result.json, series.csv, report.html, logs")
        Path out;
        @Option(names = "--build", defaultValue = "${sys:stoatreel.root:-.}",
            description = "checkout whose deploy/balancer.toml starts the proxies (${DEFAULT-VALUE})")
        Path root;

        @Override
        public Integer call() throws Exception {
            Plan plan = Plan.of(ExperimentReader.read(file), seed);
            Build build = Build.of(root);
            Progress progress = new Progress();
            Result result = new LabRun(plan, build, out, progress::say).play();
            progress.end();
            System.out.print(result.summary());
            System.out.println("report: " + out.resolve("report.html"));
            return result.kept() && !result.isVoid() ? 0 : 1;
        }
    }

    /** Reads an experiment and says what it would play. */
    @Command(name = "check", mixinStandardHelpOptions = true, description =
        "Reads an experiment; starts nothing.")
    static final class Check implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "the experiment")
        Path file;
        @Option(names = "--seed", defaultValue = "1", description = "seed of the plan (${DEFAULT-VALUE})")
        long seed;

        @Override
        public Integer call() {
            Plan plan = Plan.of(ExperimentReader.read(file), seed);
            System.out.printf("%s: %s%n%d proxies, %d nodes, %d requests at %.0f/s in %d s, %d faults%n"
                + "plan %s%n",
                plan.experiment().name(), plan.experiment().shows(), plan.experiment().proxies().count(),
                plan.nodes().size(), plan.arrivals().size(), plan.rate(),
                plan.experiment().length() / 1_000_000, plan.breaks().size(), plan.hash());
            return 0;
        }
    }

    /** Lists the experiments of a folder. */
    @Command(name = "list", mixinStandardHelpOptions = true, description =
        "Lists experiments and what each shows.")
    static final class ListAll implements Callable<Integer> {
        @Parameters(paramLabel = "FOLDER", arity = "0..1", defaultValue = "experiments", description =
            "${DEFAULT-VALUE}")
        Path folder;

        @Override
        public Integer call() throws IOException {
            try (Stream<Path> files = Files.list(folder)) {
                for (Path file : files.filter(one -> one.toString().endsWith(".toml")).sorted().toList()) {
                    Experiment experiment = ExperimentReader.read(file);
                    System.out.printf("%-18s %s%n", experiment.name(), experiment.shows());
                }
            }
            return 0;
        }
    }
}
