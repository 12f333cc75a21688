package dockrelay.lab.starvation;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Reads from /proc/stat how busy the cores are that the lab may use. Not thread-safe. */
public final class CoreStats {
    /** Stands for all allowed cores together. */
    public static final int ALL_CORES = -1;
    private static final long TICK_MICROS = 10_000;
    private static final String CORE_PREFIX = "cpu", ALLOWED_CORES_PREFIX = "Cpus_allowed_list:";

    private final Path statFile;
    private final BitSet allowedCores;
    private Map<Integer, CoreTime> lastTotals = Map.of(), intervalTimes = Map.of();

    public CoreStats() {
        this(Path.of("/proc/stat"), parseAllowedCores(Path.of("/proc/self/status")));
    }

    CoreStats(Path statFile, BitSet allowedCores) {
        this.statFile = statFile;
        this.allowedCores = allowedCores;
        sample();
        intervalTimes = Map.of();
    }

    /** Takes a new sample: the times reported from now on are those between the last sample and this one. */
    public void sample() {
        Map<Integer, CoreTime> totals = new HashMap<>(), interval = new HashMap<>();
        try {
            for (String line : Files.readAllLines(statFile, StandardCharsets.US_ASCII)) {
                String[] columns = line.split(" +");
                if (!columns[0].startsWith(CORE_PREFIX) || columns[0].equals(CORE_PREFIX)
                    || columns.length < 9) {
                    continue;
                }
                int core = Integer.parseInt(columns[0].substring(CORE_PREFIX.length()));
                // columns: user, nice, system, idle, iowait, irq, softirq, steal
                CoreTime total = new CoreTime(TICK_MICROS * (parseNumber(columns[1]) + parseNumber(columns[2])
                    + parseNumber(columns[3]) + parseNumber(columns[6]) + parseNumber(columns[7])),
                    TICK_MICROS * parseNumber(columns[8]));
                totals.put(core, total);
                interval.put(core, total.minus(lastTotals.getOrDefault(core, total)));
            }
        } catch (IOException e) {
            interval.clear(); // without counts no use of the cores is attributed to anybody
        }
        lastTotals = totals;
        intervalTimes = interval;
    }

    /** The times of one core, or of all allowed cores together, between the last two samples. */
    public CoreTime timeOf(int core) {
        return intervalTimes.entrySet().stream()
            .filter(entry -> core == ALL_CORES ? allowedCores.get(entry.getKey()) : entry.getKey() == core)
            .map(Map.Entry::getValue).reduce(CoreTime.ZERO, CoreTime::plus);
    }

    private static long parseNumber(String text) {
        return Long.parseLong(text);
    }

    /** Parses the list of allowed cores, such as 0-3,6; every core if the system gives none. */
    static BitSet parseAllowedCores(Path statusFile) {
        BitSet cores = new BitSet();
        try {
            List<String> lines = Files.readAllLines(statusFile, StandardCharsets.ISO_8859_1);
            for (String line : lines) {
                if (line.startsWith(ALLOWED_CORES_PREFIX)) {
                    for (String range : line.substring(ALLOWED_CORES_PREFIX.length()).trim().split(",")) {
                        String[] bounds = range.split("-");
                        cores.set(Integer.parseInt(bounds[0]), Integer.parseInt(bounds[bounds.length - 1])
                            + 1);
                    }
                }
            }
        } catch (IOException e) {
            cores.clear();
        }
        if (cores.isEmpty()) {
            cores.set(0, Integer.MAX_VALUE);
        }
        return cores;
    }
}
