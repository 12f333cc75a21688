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
 * allowed; {@link #rejectUnknownKeys()} rejects the keys that nothing has read.
 */
public final class TomlSection {
    private static final int MAX_SUGGESTION_DISTANCE = 3;

    private final Path file;
    private final TomlTable table;
    private final String pathPrefix;
    private final Overrides overrides;
    private final Set<String> keysRead = new LinkedHashSet<>();

    private TomlSection(Path file, TomlTable table, String path, Overrides overrides) {
        this.file = file;
        this.table = table;
        this.pathPrefix = path;
        this.overrides = overrides;
    }

    /** Parses a file's text and returns its top-level table. */
    public static TomlSection parse(Path file, String text) {
        return parse(file, text, Overrides.parse(List.of()));
    }

    static TomlSection parse(Path file, String text, Overrides overrides) {
        TomlParseResult parsed = Toml.parse(text);
        if (parsed.hasErrors()) {
            TomlParseError firstError = parsed.errors().get(0);
            throw new SpecException(file + ":" + firstError.position().line() + ": not TOML: "
                + firstError.getMessage().replace('\n', ' '));
        }
        return new TomlSection(file, parsed, "", overrides);
    }

    /** A nested table; if it is absent, an empty one, so that every key has its default. */
    public TomlSection readTable(String key) {
        Object value = lookUp(key);
        if (value == null) {
            return new TomlSection(file, Toml.parse(""), pathPrefix + key + ".", overrides);
        }
        if (value instanceof TomlTable nested) {
            return new TomlSection(file, nested, pathPrefix + key + ".", overrides);
        }
        throw invalidValue(key, "a table, [" + pathPrefix + key + "]");
    }

    /** The tables of an array of tables; an empty list if the key is absent. */
    public List<TomlSection> readTables(String key) {
        List<TomlSection> result = new ArrayList<>();
        Object value = lookUp(key);
        if (value == null) {
            return result;
        }
        if (!(value instanceof TomlArray array)) {
            throw invalidValue(key, "tables, [[" + pathPrefix + key + "]]");
        }
        for (int i = 0; i < array.size(); i++) {
            if (!(array.get(i) instanceof TomlTable)) {
                throw invalidValue(key, "tables, [[" + pathPrefix + key + "]]");
            }
            result.add(new TomlSection(file, array.getTable(i), pathPrefix + key + "[" + i + "].",
                overrides));
        }
        return result;
    }

    /** A string; without a default (null) the key is required. */
    public String readText(String key, String defaultValue) {
        Object value = lookUp(key);
        if (value == null && defaultValue != null) {
            return defaultValue;
        }
        if (value instanceof String text) {
            return text;
        }
        throw invalidValue(key, "a string in quotes");
    }

    /** A list of strings; empty if the key is absent. */
    public List<String> readTexts(String key) {
        List<String> result = new ArrayList<>();
        Object value = lookUp(key);
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
    public <T extends Enum<T>> T readEnum(String key, T defaultValue, Class<T> type) {
        String names = String.join(", ", Arrays.stream(type.getEnumConstants())
            .map(TomlSection::lowerCaseName).toList());
        String text = readText(key, defaultValue == null ? null : lowerCaseName(defaultValue));
        for (T constant : type.getEnumConstants()) {
            if (lowerCaseName(constant).equals(text)) {
                return constant;
            }
        }
        throw invalidValue(key, "one of " + names);
    }

    static String lowerCaseName(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }

    public boolean readBoolean(String key, boolean defaultValue) {
        Object value = lookUp(key);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Boolean flag) {
            return flag;
        }
        throw invalidValue(key, "true or false");
    }

    /** A whole number within bounds, both inclusive. */
    public int readCount(String key, int defaultValue, int min, int max) {
        Object value = lookUp(key);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Long count && count >= min && count <= max) {
            return count.intValue();
        }
        throw invalidValue(key, "a whole number from " + min + " to " + max);
    }

    /**
     * Whole numbers within bounds, in strictly ascending order; without a default (null) the key is
     * required.
     */
    public List<Integer> readAscendingCounts(String key, List<Integer> defaultValue, int min, int max) {
        Object value = lookUp(key);
        if (value == null && defaultValue != null) {
            return defaultValue;
        }
        List<Integer> result = new ArrayList<>();
        if (value instanceof TomlArray array && !array.isEmpty()) {
            for (int i = 0; i < array.size(); i++) {
                if (!(array.get(i) instanceof Long count) || count < min || count > max
                    || i > 0 && count <= result.get(i - 1)) {
                    result.clear();
                    break;
                }
                result.add(count.intValue());
            }
        }
        if (result.isEmpty()) {
            throw invalidValue(key, "a rising list of whole numbers from " + min + " to " + max);
        }
        return result;
    }

    /** A number within bounds, both inclusive. */
    public double readNumber(String key, double defaultValue, double min, double max) {
        Object value = lookUp(key);
        double number = value == null ? defaultValue : value instanceof Number numberValue
            ? numberValue.doubleValue()
            : Double.NaN;
        if (number >= min && number <= max) {
            return number;
        }
        throw invalidValue(key, "a number from " + UnitFormat.formatNumber(min) + " to "
            + UnitFormat.formatNumber(max));
    }

    /** A number or a [low, high] pair within bounds. */
    public Range readRange(String key, Range defaultValue, double min, double max) {
        return readRange(key, defaultValue, min, max, value -> value instanceof Number number
            ? number.doubleValue()
            : Double.NaN, "a number, or two as [low, high], from " + UnitFormat.formatNumber(min) + " to "
            + UnitFormat.formatNumber(max));
    }

    /** A single duration such as "250ms", in microseconds. */
    public long readMicros(String key, long defaultValue, long min, long max) {
        Range range = readMicrosRange(key, Range.of(defaultValue), min, max);
        if (range.low() != range.high()) {
            throw invalidValue(key, "one time from " + UnitFormat.formatMicros(min) + " to "
                + UnitFormat.formatMicros(max));
        }
        return Math.round(range.low());
    }

    /** A duration or a [low, high] pair of durations, in microseconds. */
    public Range readMicrosRange(String key, Range defaultValue, long min, long max) {
        return readRange(key, defaultValue, min, max,
            value -> value instanceof String text ? UnitFormat.parseMicros(text) : Double.NaN,
            "a time such as \"250ms\", or two as [low, high], from " + UnitFormat.formatMicros(min) + " to "
            + UnitFormat.formatMicros(max));
    }

    /** A size such as "192MiB", in bytes. */
    public long readBytes(String key, long defaultValue, long min, long max) {
        Object value = lookUp(key);
        double bytes = value == null ? defaultValue : value instanceof String text
            ? UnitFormat.parseBytes(text)
            : Double.NaN;
        if (bytes >= min && bytes <= max) {
            return Math.round(bytes);
        }
        throw invalidValue(key, "a size such as \"192MiB\", from " + min + " to " + max + " bytes");
    }

    private Range readRange(String key, Range defaultValue, double min, double max,
        ToDoubleFunction<Object> parser,
        String allowed) {
        Object value = lookUp(key);
        if (value == null) {
            return defaultValue;
        }
        Range range = value instanceof TomlArray array && array.size() == 2
            ? new Range(parser.applyAsDouble(array.get(0)), parser.applyAsDouble(array.get(1)))
            : Range.of(parser.applyAsDouble(value));
        if (range.low() >= min && range.high() <= max && range.low() <= range.high()) {
            return range;
        }
        throw invalidValue(key, allowed);
    }

    private Object lookUp(String key) {
        keysRead.add(key);
        Object override = overrides.get(pathPrefix + key);
        return override == null ? table.get(List.of(key)) : override;
    }

    /** Throws for a key that has not been read: a misspelt key would otherwise silently get its default. */
    public void rejectUnknownKeys() {
        for (String key : table.keySet()) {
            if (!keysRead.contains(key)) {
                String hint =
                    keysRead.stream().min(Comparator.comparingInt((String known) -> editDistance(known, key)))
                    .filter(known -> editDistance(known, key) <= MAX_SUGGESTION_DISTANCE)
                    .map(known -> "; did you mean " + pathPrefix
                    + known + "?")
                    .orElse("; known here: " + String.join(", ", keysRead));
                throw new SpecException(locationOf(key) + "unknown key " + pathPrefix + key + " = "
                    + describeValue(key) + hint);
            }
        }
    }

    /** An exception for an invalid value: position, key, value and what is allowed. */
    public SpecException invalidValue(String key, String allowed) {
        return new SpecException(locationOf(key) + pathPrefix + key + " = " + describeValue(key)
            + ": allowed is " + allowed);
    }

    private String locationOf(String key) {
        if (overrides.get(pathPrefix + key) != null) {
            return "--set: ";
        }
        TomlPosition position = table.inputPositionOf(List.of(key));
        return position == null ? file + ": " : file + ":" + position.line() + ": ";
    }

    private String describeValue(String key) {
        Object value = lookUp(key);
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
    private static int editDistance(String a, String b) {
        int[] previousRow = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            previousRow[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int[] currentRow = new int[b.length() + 1];
            currentRow[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int substitutionCost = previousRow[j - 1] + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
                currentRow[j] = Math.min(substitutionCost, Math.min(previousRow[j], currentRow[j - 1]) + 1);
            }
            previousRow = currentRow;
        }
        return previousRow[b.length()];
    }
}
