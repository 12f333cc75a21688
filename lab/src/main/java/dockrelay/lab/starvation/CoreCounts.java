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
public final class CoreCounts {
    /** Any of them. */
    public static final int ALL = -1;
    private static final long TICK_MICROS = 10_000;
    private static final String CORE = "cpu", ALLOWED = "Cpus_allowed_list:";

    private final Path stat;
    private final BitSet allowed;
    private Map<Integer, CoreTime> last = Map.of(), sums = Map.of();

    public CoreCounts() {
        this(Path.of("/proc/stat"), allowed(Path.of("/proc/self/status")));
    }

    CoreCounts(Path stat, BitSet allowed) {
        this.stat = stat;
        this.allowed = allowed;
        look();
        sums = Map.of();
    }

    /** Looks anew: what is told from now on is from the look before to this one. */
    public void look() {
        Map<Integer, CoreTime> now = new HashMap<>(), since = new HashMap<>();
        try {
            for (String line : Files.readAllLines(stat, StandardCharsets.US_ASCII)) {
                String[] words = line.split(" +");
                if (!words[0].startsWith(CORE) || words[0].equals(CORE) || words.length < 9) {
                    continue;
                }
                int core = Integer.parseInt(words[0].substring(CORE.length()));
                // user, nice, system, idle, waiting for a disk, interrupts of two kinds, stolen
                CoreTime one = new CoreTime(TICK_MICROS * (number(words[1]) + number(words[2])
                    + number(words[3]) + number(words[6]) + number(words[7])),
                    TICK_MICROS * number(words[8]));
                now.put(core, one);
                since.put(core, one.less(last.getOrDefault(core, one)));
            }
        } catch (IOException e) {
            since.clear(); // without the counts nobody is told to have had the cores
        }
        last = now;
        sums = since;
    }

    /** What one core did, or all of them together. */
    public CoreTime of(int core) {
        return sums.entrySet().stream().filter(one -> core == ALL ? allowed.get(one.getKey())
            : one.getKey() == core).map(Map.Entry::getValue).reduce(CoreTime.NONE, CoreTime::and);
    }

    private static long number(String text) {
        return Long.parseLong(text);
    }

    /** A list such as 0-3,6; all where the system does not say. */
    static BitSet allowed(Path status) {
        BitSet result = new BitSet();
        try {
            List<String> lines = Files.readAllLines(status, StandardCharsets.ISO_8859_1);
            for (String line : lines) {
                if (line.startsWith(ALLOWED)) {
                    for (String part : line.substring(ALLOWED.length()).trim().split(",")) {
                        String[] ends = part.split("-");
                        result.set(Integer.parseInt(ends[0]), Integer.parseInt(ends[ends.length - 1]) + 1);
                    }
                }
            }
        } catch (IOException e) {
            result.clear();
        }
        if (result.isEmpty()) {
            result.set(0, Integer.MAX_VALUE);
        }
        return result;
    }
}
