package dockrelay.lab.spec;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * One table of an experiment file. Each read checks the value and throws a SpecException that names what is
 * allowed; {@link #done()} rejects the keys that nothing has read.
 */
public final class TomlSection {
    private static final int FAR = 3;

    private final Path file;
    private final TomlTable table;
    private final String path;
    private final Overrides overrides;
    private final Set<String> read = new LinkedHashSet<>();

    private TomlSection(Path file, TomlTable table, String path, Overrides overrides) {
        this.file = file;
        this.table = table;
        this.path = path;
        this.overrides = overrides;
    }

    /** Parses a file's text and returns its top-level table. */
    public static TomlSection parse(Path file, String text) {
        return parse(file, text, Overrides.of(List.of()));
    }

    static TomlSection parse(Path file, String text, Overrides overrides) {
        TomlParseResult parsed = Toml.parse(text);
        if (parsed.hasErrors()) {
            TomlParseError first = parsed.errors().get(0);
            throw new SpecException(file + ":" + first.position().line() + ": not TOML: "
                + first.getMessage().replace('\n', ' '));
        }
        return new TomlSection(file, parsed, "", overrides);
    }

    /** A nested table; if it is absent, an empty one, so that every key has its default. */
    public TomlSection readTable(String key) {
        Object value = get(key);
        if (value == null) {
            return new TomlSection(file, Toml.parse(""), path + key + ".", overrides);
        }
        if (value instanceof TomlTable below) {
            return new TomlSection(file, below, path + key + ".", overrides);
        }
        throw invalidValue(key, "a table, [" + path + key + "]");
    }

    /** The tables of an array of tables; an empty list if the key is absent. */
    public List<TomlSection> readTables(String key) {
        List<TomlSection> result = new ArrayList<>();
        Object value = get(key);
        if (value == null) {
            return result;
        }
        if (!(value instanceof TomlArray array)) {
            throw invalidValue(key, "tables, [[" + path + key + "]]");
        }
        for (int i = 0; i < array.size(); i++) {
            if (!(array.get(i) instanceof TomlTable)) {
                throw invalidValue(key, "tables, [[" + path + key + "]]");
            }
            result.add(new TomlSection(file, array.getTable(i), path + key + "[" + i + "].", overrides));
        }
        return result;
    }

    /** A string; without a default (null) the key is required. */
    public String readText(String key, String fallback) {
        Object value = get(key);
        if (value == null && fallback != null) {
            return fallback;
        }
        if (value instanceof String text) {
            return text;
        }
        throw invalidValue(key, "a string in quotes");
    }

    /** A list of strings; empty if the key is absent. */
    public List<String> readTexts(String key) {
        List<String> result = new ArrayList<>();
        Object value = get(key);
        if (value == null) {
            return result;
        }
        if (value instanceof TomlArray array) {
            for (int i = 0; i < array.size(); i++) {
                if (!(array.get(i) instanceof String text)) {
                    throw invalidValue(key, "a list of strings in quotes");
                }
                result.add(text);
            }
            return result;
        }
        throw invalidValue(key, "a list of strings in quotes");
    }

    /** An enum constant by its lower-case name; without a default (null) the key is required. */
    public <T extends Enum<T>> T readEnum(String key, T fallback, Class<T> type) {
        String words = String.join(", ", Arrays.stream(type.getEnumConstants()).map(TomlSection::word).toList());
        String text = readText(key, fallback == null ? null : word(fallback));
        for (T constant : type.getEnumConstants()) {
            if (word(constant).equals(text)) {
                return constant;
            }
        }
        throw invalidValue(key, "one of " + words);
    }

    static String word(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }

    public boolean readBoolean(String key, boolean fallback) {
        Object value = get(key);
        if (value == null) {
            return fallback;
        }
        if (value instanceof Boolean flag) {
            return flag;
        }
        throw invalidValue(key, "true or false");
    }

    /** A whole number within bounds, both inclusive. */
    public int readCount(String key, int fallback, int least, int most) {
        Object value = get(key);
        if (value == null) {
            return fallback;
        }
        if (value instanceof Long count && count >= least && count <= most) {
            return count.intValue();
        }
        throw invalidValue(key, "a whole number from " + least + " to " + most);
    }

    /**
     * Whole numbers within bounds, in strictly ascending order; without a default (null) the key is
     * required.
     */
    public List<Integer> readAscendingCounts(String key, List<Integer> fallback, int least, int most) {
        Object value = get(key);
        if (value == null && fallback != null) {
            return fallback;
        }
        List<Integer> result = new ArrayList<>();
        if (value instanceof TomlArray array && !array.isEmpty()) {
            for (int i = 0; i < array.size(); i++) {
                if (!(array.get(i) instanceof Long count) || count < least || count > most
                    || i > 0 && count <= result.get(i - 1)) {
                    result.clear();
                    break;
                }
                result.add(count.intValue());
            }
        }
        if (result.isEmpty()) {
            throw invalidValue(key, "a rising list of whole numbers from " + least + " to " + most);
        }
        return result;
    }

    /** A number within bounds, both inclusive. */
    public double readNumber(String key, double fallback, double least, double most) {
        Object value = get(key);
        double number = value == null ? fallback : value instanceof Number given ? given.doubleValue()
            : Double.NaN;
        if (number >= least && number <= most) {
            return number;
        }
        throw invalidValue(key, "a number from " + Units.plain(least) + " to " + Units.plain(most));
    }

    /** A number or a [low, high] pair within bounds. */
    public Range readRange(String key, Range fallback, double least, double most) {
        return readRange(key, fallback, least, most, value -> value instanceof Number number
            ? number.doubleValue()
            : Double.NaN, "a number, or two as [low, high], from " + Units.plain(least) + " to "
            + Units.plain(most));
    }

    /** A single duration such as "250ms", in microseconds. */
    public long readMicros(String key, long fallback, long least, long most) {
        Range range = readMicrosRange(key, Range.of(fallback), least, most);
        if (range.low() != range.high()) {
            throw invalidValue(key, "one time from " + Units.time(least) + " to " + Units.time(most));
        }
        return Math.round(range.low());
    }

    /** A duration or a [low, high] pair of durations, in microseconds. */
    public Range readMicrosRange(String key, Range fallback, long least, long most) {
        return readRange(key, fallback, least, most,
            value -> value instanceof String text ? Units.micros(text) : Double.NaN,
            "a time such as \"250ms\", or two as [low, high], from " + Units.time(least) + " to "
            + Units.time(most));
    }

    /** A size such as "192MiB", in bytes. */
    public long readBytes(String key, long fallback, long least, long most) {
        Object value = get(key);
        double bytes = value == null ? fallback : value instanceof String text ? Units.bytes(text)
            : Double.NaN;
        if (bytes >= least && bytes <= most) {
            return Math.round(bytes);
        }
        throw invalidValue(key, "a size such as \"192MiB\", from " + least + " to " + most + " bytes");
    }

    private Range readRange(String key, Range fallback, double least, double most, ToDoubleFunction<Object> read,
        String allowed) {
        Object value = get(key);
        if (value == null) {
            return fallback;
        }
        Range range = value instanceof TomlArray array && array.size() == 2
            ? new Range(read.applyAsDouble(array.get(0)), read.applyAsDouble(array.get(1)))
            : Range.of(read.applyAsDouble(value));
        if (range.low() >= least && range.high() <= most && range.low() <= range.high()) {
            return range;
        }
        throw invalidValue(key, allowed);
    }

    private Object get(String key) {
        read.add(key);
        Object given = overrides.get(path + key);
        return given == null ? table.get(List.of(key)) : given;
    }

    /** Throws for a key that has not been read: a misspelt key would otherwise silently get its default. */
    public void rejectUnknownKeys() {
        for (String key : table.keySet()) {
            if (!read.contains(key)) {
                String near =
                    read.stream().min(Comparator.comparingInt((String known) -> distance(known, key)))
                    .filter(known -> distance(known, key) <= FAR).map(known -> "; did you mean " + path
                    + known + "?")
                    .orElse("; known here: " + String.join(", ", read));
                throw new SpecException(at(key) + "unknown key " + path + key + " = " + shown(key) + near);
            }
        }
    }

    /** An exception for an invalid value: position, key, value and what is allowed. */
    public SpecException invalidValue(String key, String allowed) {
        return new SpecException(at(key) + path + key + " = " + shown(key) + ": allowed is " + allowed);
    }

    private String at(String key) {
        if (overrides.get(path + key) != null) {
            return "--set: ";
        }
        TomlPosition position = table.inputPositionOf(List.of(key));
        return position == null ? file + ": " : file + ":" + position.line() + ": ";
    }

    private String shown(String key) {
        Object value = get(key);
        if (value == null) {
            return "(missing)";
        }
        if (value instanceof TomlArray array) {
            return array.toJson().replaceAll("\\s+", " ").trim();
        }
        return value instanceof TomlTable ? "{...}" : value instanceof String ? "\"" + value + "\""
            : value.toString();
    }

    /** Levenshtein distance. */
    private static int distance(String a, String b) {
        int[] before = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            before[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int[] now = new int[b.length() + 1];
            now[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int other = before[j - 1] + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
                now[j] = Math.min(other, Math.min(before[j], now[j - 1]) + 1);
            }
            before = now;
        }
        return before[b.length()];
    }
}
