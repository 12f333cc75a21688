package dockrelay.lab;

import dockrelay.lab.plan.Plan;
import dockrelay.lab.process.Build;
import dockrelay.lab.report.Result;
import dockrelay.lab.report.TablePage;
import dockrelay.lab.scale.CapacityCommand;
import dockrelay.lab.scale.ScaleCommand;
import dockrelay.lab.spec.Experiment;
import dockrelay.lab.spec.ExperimentReader;
import dockrelay.lab.spec.SpecException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * The lab's commands. Exit codes: 0 success, 1 a rule was broken or the play was void or failed, 2 usage
 * error.
 */
@Command(name = "lab", mixinStandardHelpOptions = true, version = "lab 0.1.0", subcommands = {Main.Run.class,
    Main.Compare.class, Main.Sweep.class, Main.Check.class, Main.ListAll.class, ScaleCommand.class,
    CapacityCommand.class}, description =
        "Runs real proxies against emulated clients, backends and discovery.",
    exitCodeListHeading = "Exit codes:%n", exitCodeList = {"0:done, every rule kept",
        "1:a rule was broken, or the run is void or could not start",
        "2:usage error: invalid arguments or experiment file"})
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
            if (e instanceof LabRun.FailedStart || e instanceof NeverValidException
                || e instanceof IOException) {
                command.getErr().println(e instanceof IOException ? e.toString() : e.getMessage());
                return 1;
            }
            throw e;
        });
        return line;
    }

    /** Plays one experiment until a play is valid, up to a maximum number of plays. */
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
        @Option(names = "--set", paramLabel = "KEY=VALUE", description =
            "overrides a value of the file, such as clients.load=0.8")
        List<String> settings = new ArrayList<>();
        @Option(names = "--plays", defaultValue = "" + Plays.MOST, description =
            "maximum number of plays, as void plays are repeated (${DEFAULT-VALUE})")
        int most;

        @Override
        public Integer call() throws Exception {
            if (most < 1) {
                throw new SpecException("--plays = " + most + "; allowed is 1 or more");
            }
            Plan plan = Plan.generate(ExperimentReader.read(file, settings), seed);
            Build build = Build.load(root);
            Progress progress = new Progress();
            Plays<Result> plays = new Plays<>(most, Result::voidBecause, text -> {
                progress.end();
                System.out.println(text);
            });
            NeverValidException never = null;
            try {
                plays.play(() -> new LabRun(plan, build, out, progress::say).play());
            } catch (NeverValidException e) {
                never = e;
            }
            progress.end();
            Result result = plays.last();
            if (result != null) {
                System.out.print(result.summary()); // before writing, which fails on a full disk
                result.afterVoid(never == null ? plays.reasons()
                    : plays.reasons().subList(0, plays.reasons().size() - 1));
                result.write(out);
                System.out.println("report: " + out.resolve("report.html"));
            }
            if (never != null) {
                throw never;
            }
            return result.kept() ? 0 : 1;
        }
    }

    /** Plays two builds or configurations alternately on the same seeds. */
    @Command(name = "compare", mixinStandardHelpOptions = true, description =
        "Plays two builds or two configurations "
        + "alternately on the same seeds: paired differences with 95% confidence intervals.")
    static final class Compare implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "the experiment")
        Path file;
        @Option(names = "--a", defaultValue = "${sys:stoatreel.root:-.}", description =
            "first build (${DEFAULT-VALUE})")
        Path a;
        @Option(names = "--b", defaultValue = "${sys:stoatreel.root:-.}", description =
            "second build (${DEFAULT-VALUE})")
        Path b;
        @Option(names = "--set-a", paramLabel = "KEY=VALUE", description =
            "overrides a value of the file for the first")
        List<String> settingsA = new ArrayList<>();
        @Option(names = "--set-b", paramLabel = "KEY=VALUE", description =
            "overrides a value of the file for the second")
        List<String> settingsB = new ArrayList<>();
        @Option(names = "--seeds", split = ",", defaultValue = "1,2,3,4,5", description = "${DEFAULT-VALUE}")
        List<Long> seeds;
        @Option(names = "--out", required = true, description =
            "folder for compare.json, compare.html and each play")
        Path out;

        @Override
        public Integer call() throws Exception {
            Series series = new Series(out, new Progress());
            return finish(series, series.compare(
                new Series.Side(name(a, settingsA, "a"), file, settingsA, Build.load(a)),
                new Series.Side(name(b, settingsB, "b"), file, settingsB, Build.load(b)), seeds), out,
                "compare.html");
        }

        private static String name(Path build, List<String> settings, String side) {
            String folder = build.toAbsolutePath().normalize().getFileName().toString();
            return side + " " + folder + (settings.isEmpty() ? "" : " " + String.join(" ", settings));
        }
    }

    /** Plays an experiment with several values of one key. */
    @Command(name = "sweep", mixinStandardHelpOptions = true, description =
        "Plays an experiment with each of several "
        + "values of one key: a table and charts.")
    static final class Sweep implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "the experiment")
        Path file;
        @Option(names = "--key", required = true, description = "such as clients.load")
        String key;
        @Option(names = "--values", required = true, split = ",", description = "such as 0.4,0.6,0.8")
        List<String> values;
        @Option(names = "--set", paramLabel = "KEY=VALUE", description =
            "overrides a value of the file in all plays")
        List<String> settings = new ArrayList<>();
        @Option(names = "--seeds", split = ",", defaultValue = "1,2", description = "${DEFAULT-VALUE}")
        List<Long> seeds;
        @Option(names = "--build", defaultValue = "${sys:stoatreel.root:-.}", description =
            "${DEFAULT-VALUE}")
        Path root;
        @Option(names = "--out", required = true, description =
            "folder for sweep.json, sweep.html and each play")
        Path out;

        @Override
        public Integer call() throws Exception {
            Series series = new Series(out, new Progress());
            Series.Side side = new Series.Side(file.getFileName().toString(), file, settings, Build.load(root));
            return finish(series, series.sweep(side, key, values, seeds), out, "sweep.html");
        }
    }

    private static int finish(Series series, TablePage page, Path out, String file) {
        System.out.print(page.plain());
        if (series.leftOut() > 0) {
            System.out.println(series.leftOut()
                + " results are missing, as each of their plays was void");
        }
        System.out.println("report: " + out.resolve(file));
        return series.kept() && series.leftOut() == 0 ? 0 : 1;
    }

    /** Reads an experiment and prints a summary of its plan. */
    @Command(name = "check", mixinStandardHelpOptions = true, description =
        "Validates an experiment and prints its plan, without running it.")
    static final class Check implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "the experiment")
        Path file;
        @Option(names = "--seed", defaultValue = "1", description = "seed of the plan (${DEFAULT-VALUE})")
        long seed;

        @Override
        public Integer call() {
            Plan plan = Plan.generate(ExperimentReader.read(file), seed);
            System.out.printf("%s: %s%n%d proxies, %d nodes, %d requests at %.0f/s in %d s, %d faults%n"
                + "plan %s%n",
                plan.experiment().name(), plan.experiment().shows(), plan.experiment().proxies().count(),
                plan.nodes().size(), plan.arrivals().size(), plan.rate(),
                plan.experiment().length() / 1_000_000, plan.faults().size(), plan.hash());
            return 0;
        }
    }

    /** Lists the experiments of a folder. */
    @Command(name = "list", mixinStandardHelpOptions = true, description =
        "Lists experiments with their descriptions.")
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
