package dockrelay.lab.scale;

import dockrelay.lab.scale.ScaleResult.Refusal;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Runs one specification: measures each size in turn, with the configured number of plays. */
public final class ScaleRun {
    private static final int MAX_PROCESSES = 200;

    /** Receives the result so far after each size, so that an interrupted run keeps what it has measured. */
    interface PartialResultListener {
        void onPartialResult(ScaleResult result) throws IOException;
    }

    private final ScaleSpec spec;
    private final long memoryBytes;
    private final ProgressLog progress;

    public ScaleRun(ScaleSpec spec, ProgressLog progress) {
        this(spec, MachineInfo.totalMemoryBytes(), progress);
    }

    ScaleRun(ScaleSpec spec, long memoryBytes, ProgressLog progress) {
        this.spec = spec;
        this.memoryBytes = memoryBytes;
        this.progress = progress;
    }

    /** Refuses sizes that need more than half of the memory or too many processes, before anything runs. */
    void checkResources() throws SizeRefusedException {
        ResourceEstimate[] estimates = spec.sizes().stream().map(size -> spec.role().estimate(spec, size))
            .toArray(ResourceEstimate[]::new);
        spec.rejectUnreadKeys();
        for (int i = 0; i < estimates.length; i++) {
            String label = spec.name() + ": " + spec.role().name() + " at " + spec.sizes().get(i)
                + " would need ";
            if (estimates[i].maxMemoryBytes() > memoryBytes / 2) {
                throw new SizeRefusedException(label + (estimates[i].maxMemoryBytes() >> 20)
                    + " MiB; the limit is half of this machine's memory, " + (memoryBytes / 2 >> 20)
                    + " MiB: choose smaller sizes");
            }
            if (estimates[i].maxProcesses() > MAX_PROCESSES) {
                throw new SizeRefusedException(label + estimates[i].maxProcesses()
                    + " processes; the limit is " + MAX_PROCESSES + ": choose smaller sizes");
            }
        }
    }

    /** Measures all sizes; records a size that the code does not support as refused, and continues. */
    ScaleResult run(Path root, String note, PartialResultListener listener) throws Exception {
        checkResources();
        Map<String, Object> machine = MachineInfo.describe(), build = SourceVersion.describe(root);
        machine.put("load_before", MachineInfo.loadAverage());
        String startedAt = Instant.now().truncatedTo(ChronoUnit.SECONDS).toString();
        List<Figure> figures = new ArrayList<>();
        List<Refusal> refusals = new ArrayList<>();
        for (int size : spec.sizes()) {
            for (int play = 1; play <= spec.plays(); play++) {
                long startNanos = System.nanoTime();
                String label = spec.role().name() + " " + size + ", play " + play + " of " + spec.plays();
                progress.log(label);
                try {
                    figures.addAll(spec.role().play(spec, size, play, progress));
                    progress.log(String.format(Locale.ROOT, "%s: %.1f s", label,
                        (System.nanoTime() - startNanos) / 1e9));
                } catch (SizeRefusedException e) {
                    refusals.add(new Refusal(spec.role().name(), size, e.getMessage()));
                    progress.log(label + ": refused: " + e.getMessage());
                    break;
                }
            }
            machine.put("load_after", MachineInfo.loadAverage());
            listener.onPartialResult(new ScaleResult(build, Map.copyOf(machine), startedAt, spec.name(),
                note, spec.seed(), true, List.copyOf(figures), List.copyOf(refusals),
                ScaleResult.slopes(figures)));
        }
        return new ScaleResult(build, machine, startedAt, spec.name(), note, spec.seed(), false, figures,
            refusals, ScaleResult.slopes(figures));
    }
}
