package dockrelay.lab;

import dockrelay.lab.plan.Plan;
import dockrelay.lab.process.Build;
import dockrelay.lab.report.PlayResult;
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
    Main.Compare.class, Main.Sweep.class, Main.Check.class, Main.ListExperiments.class, ScaleCommand.class,
    CapacityCommand.class}, description =
        "Runs real proxies against emulated clients, backends and discovery.",
    exitCodeListHeading = "Exit codes:%n", exitCodeList = {"0:done, every rule kept",
        "1:a rule was broken, or the run is void or could not start",
        "2:usage error: invalid arguments or experiment file"})
public final class Main {
    private Main() {
    }

    public static void main(String[] args) {
        System.exit(createCommandLine().execute(args));
    }

    static CommandLine createCommandLine() {
        CommandLine commandLine = new CommandLine(new Main());
        commandLine.setExecutionExceptionHandler((e, command, parseResult) -> {
            if (e instanceof SpecException) {
                command.getErr().println(e.getMessage());
                return 2;
            }
            if (e instanceof LabRun.ProxyStartException || e instanceof NoValidPlayException
                || e instanceof IOException) {
                command.getErr().println(e instanceof IOException ? e.toString() : e.getMessage());
                return 1;
            }
            throw e;
        });
        return commandLine;
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
        @Option(names = "--plays", defaultValue = "" + PlayRepeater.DEFAULT_MAX_PLAYS, description =
            "maximum number of plays, as void plays are repeated (${DEFAULT-VALUE})")
        int most;

        @Override
        public Integer call() throws Exception {
            if (most < 1) {
                throw new SpecException("--plays = " + most + "; allowed is 1 or more");
            }
            Plan plan = Plan.generate(ExperimentReader.read(file, settings), seed);
            Build build = Build.load(root);
            ProgressLine progress = new ProgressLine();
            PlayRepeater<PlayResult> repeater = new PlayRepeater<>(most, PlayResult::voidReason, message -> {
                progress.clear();
                System.out.println(message);
            });
            NoValidPlayException noValidPlay = null;
            try {
                repeater.playUntilValid(() -> new LabRun(plan, build, out, progress::show).play());
            } catch (NoValidPlayException e) {
                noValidPlay = e;
            }
            progress.clear();
            PlayResult result = repeater.lastPlay();
            if (result != null) {
                System.out.print(result.summary()); // before writing, which fails on a full disk
                result.recordVoidPlays(noValidPlay == null ? repeater.voidReasons()
                    : repeater.voidReasons().subList(0, repeater.voidReasons().size() - 1));
                result.write(out);
                System.out.println("report: " + out.resolve("report.html"));
            }
            if (noValidPlay != null) {
                throw noValidPlay;
            }
            return result.keptAllRules() ? 0 : 1;
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
            PlaySeries series = new PlaySeries(out, new ProgressLine());
            return printSummary(series, series.compare(
                new PlaySeries.Variant(variantName(a, settingsA, "a"), file, settingsA, Build.load(a)),
                new PlaySeries.Variant(variantName(b, settingsB, "b"), file, settingsB, Build.load(b)),
                seeds), out,
                "compare.html");
        }

        private static String variantName(Path build, List<String> settings, String label) {
            String folder = build.toAbsolutePath().normalize().getFileName().toString();
            return label + " " + folder + (settings.isEmpty() ? "" : " " + String.join(" ", settings));
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
            PlaySeries series = new PlaySeries(out, new ProgressLine());
            PlaySeries.Variant variant = new PlaySeries.Variant(file.getFileName().toString(), file, settings,
                Build.load(root));
            return printSummary(series, series.sweep(variant, key, values, seeds), out, "sweep.html");
        }
    }

    private static int printSummary(PlaySeries series, TablePage page, Path out, String pageFile) {
        System.out.print(page.toPlainText());
        if (series.missingResults() > 0) {
            System.out.println(series.missingResults()
                + " results are missing, as each of their plays was void");
        }
        System.out.println("report: " + out.resolve(pageFile));
        return series.keptAllRules() && series.missingResults() == 0 ? 0 : 1;
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
                plan.experiment().name(), plan.experiment().description(), plan.experiment().proxies()
                .count(),
                plan.nodes().size(), plan.arrivals().size(), plan.requestsPerSecond(),
                plan.experiment().duration() / 1_000_000, plan.faults().size(), plan.sha256());
            return 0;
        }
    }

    /** Lists the experiments of a folder. */
    @Command(name = "list", mixinStandardHelpOptions = true, description =
        "Lists experiments with their descriptions.")
    static final class ListExperiments implements Callable<Integer> {
        @Parameters(paramLabel = "FOLDER", arity = "0..1", defaultValue = "experiments", description =
            "${DEFAULT-VALUE}")
        Path folder;

        @Override
        public Integer call() throws IOException {
            try (Stream<Path> files = Files.list(folder)) {
                for (Path file : files.filter(path -> path.toString().endsWith(".toml")).sorted().toList()) {
                    Experiment experiment = ExperimentReader.read(file);
                    System.out.printf("%-18s %s%n", experiment.name(), experiment.description());
                }
            }
            return 0;
        }
    }
}
