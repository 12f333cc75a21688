package dockrelay.lab.starvation;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Reads what the system counts of the cores that the lab may use. */
public final class CoreStats {
    /** Any of them. */
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

    /** Looks anew: what is told from now on is from the look before to this one. */
    public void sample() {
        Map<Integer, CoreTime> totals = new HashMap<>(), interval = new HashMap<>();
        try {
            for (String line : Files.readAllLines(statFile, StandardCharsets.US_ASCII)) {
                String[] columns = line.split(" +");
                if (!columns[0].startsWith(CORE_PREFIX) || columns[0].equals(CORE_PREFIX) || columns.length < 9) {
                    continue;
                }
                int core = Integer.parseInt(columns[0].substring(CORE_PREFIX.length()));
                // user, nice, system, idle, waiting for a disk, interrupts of two kinds, stolen
                CoreTime total = new CoreTime(TICK_MICROS * (parseNumber(columns[1]) + parseNumber(columns[2])
                    + parseNumber(columns[3]) + parseNumber(columns[6]) + parseNumber(columns[7])),
                    TICK_MICROS * parseNumber(columns[8]));
                totals.put(core, total);
                interval.put(core, total.minus(lastTotals.getOrDefault(core, total)));
            }
        } catch (IOException e) {
            interval.clear(); // without the counts nobody is told to have had the cores
        }
        lastTotals = totals;
        intervalTimes = interval;
    }

    /** What one core did, or all of them together. */
    public CoreTime timeOf(int core) {
        return intervalTimes.entrySet().stream().filter(entry -> core == ALL_CORES ? allowedCores.get(entry.getKey())
            : entry.getKey() == core).map(Map.Entry::getValue).reduce(CoreTime.ZERO, CoreTime::plus);
    }

    private static long parseNumber(String text) {
        return Long.parseLong(text);
    }

    /** A list such as 0-3,6; all where the system does not say. */
    static BitSet parseAllowedCores(Path statusFile) {
        BitSet cores = new BitSet();
        try {
            List<String> lines = Files.readAllLines(statusFile, StandardCharsets.ISO_8859_1);
            for (String line : lines) {
                if (line.startsWith(ALLOWED_CORES_PREFIX)) {
                    for (String range : line.substring(ALLOWED_CORES_PREFIX.length()).trim().split(",")) {
                        String[] bounds = range.split("-");
                        cores.set(Integer.parseInt(bounds[0]), Integer.parseInt(bounds[bounds.length - 1]) + 1);
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
