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
    private static final int MOST_PROCESSES = 200;

    /** Receives the result so far after each size, so that an interrupted run keeps what it has measured. */
    interface Partial {
        void take(ScaleResult result) throws IOException;
    }

    private final ScaleSpec spec;
    private final long memory;
    private final ProgressLog progress;

    public ScaleRun(ScaleSpec spec, ProgressLog progress) {
        this(spec, Machine.memory(), progress);
    }

    ScaleRun(ScaleSpec spec, long memory, ProgressLog progress) {
        this.spec = spec;
        this.memory = memory;
        this.progress = progress;
    }

    /** Refuses sizes that need more than half of the memory or too many processes, before anything runs. */
    void check() throws SizeRefusedException {
        ResourceEstimate[] all = spec.sizes().stream().map(size -> spec.role().estimate(spec, size))
            .toArray(ResourceEstimate[]::new);
        spec.done();
        for (int i = 0; i < all.length; i++) {
            String what = spec.name() + ": " + spec.role().name() + " at " + spec.sizes().get(i)
                + " would need ";
            if (all[i].bytes() > memory / 2) {
                throw new SizeRefusedException(what + (all[i].bytes() >> 20) + " MiB; the limit is half of this"
                    + " machine's memory, " + (memory / 2 >> 20) + " MiB: choose smaller sizes");
            }
            if (all[i].processes() > MOST_PROCESSES) {
                throw new SizeRefusedException(what + all[i].processes() + " processes; the limit is "
                    + MOST_PROCESSES + ": choose smaller sizes");
            }
        }
    }

    /** Measures all sizes; records a size that the code does not support as refused, and continues. */
    ScaleResult play(Path root, String note, Partial partial) throws Exception {
        check();
        Map<String, Object> machine = Machine.described(), build = Source.of(root);
        machine.put("load_before", Machine.load());
        String when = Instant.now().truncatedTo(ChronoUnit.SECONDS).toString();
        List<Figure> figures = new ArrayList<>();
        List<Refusal> refused = new ArrayList<>();
        for (int size : spec.sizes()) {
            for (int play = 1; play <= spec.plays(); play++) {
                long began = System.nanoTime();
                String what = spec.role().name() + " " + size + ", play " + play + " of " + spec.plays();
                progress.log(what);
                try {
                    figures.addAll(spec.role().play(spec, size, play, progress));
                    progress.log(String.format(Locale.ROOT, "%s: %.1f s", what, (System.nanoTime() - began)
                        / 1e9));
                } catch (SizeRefusedException e) {
                    refused.add(new Refusal(spec.role().name(), size, e.getMessage()));
                    progress.log(what + ": refused: " + e.getMessage());
                    break;
                }
            }
            machine.put("load_after", Machine.load());
            partial.take(new ScaleResult(build, Map.copyOf(machine), when, spec.name(), note, spec.seed(),
                true, List.copyOf(figures), List.copyOf(refused), ScaleResult.slopes(figures)));
        }
        return new ScaleResult(build, machine, when, spec.name(), note, spec.seed(), false, figures, refused,
            ScaleResult.slopes(figures));
    }
}
