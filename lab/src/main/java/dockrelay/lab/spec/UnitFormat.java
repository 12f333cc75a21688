package dockrelay.lab.spec;

import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses and formats durations and sizes with units, such as "250ms" and "192MiB". */
public final class UnitFormat {
    private static final Pattern QUANTITY = Pattern.compile("([0-9]+(?:\\.[0-9]+)?)\\s*([a-zA-Z]+)");
    private static final double MICROS_PER_SECOND = 1_000_000;

    private UnitFormat() {
    }

    /** Parses a duration to microseconds; NaN if it is not one. */
    static double parseMicros(String text) {
        return parseQuantity(text, unitName -> switch (unitName) {
            case "us" -> 1;
            case "ms" -> 1_000;
            case "s" -> MICROS_PER_SECOND;
            case "min" -> 60 * MICROS_PER_SECOND;
            default -> Double.NaN;
        });
    }

    /** Parses a size to bytes; NaN if it is not one. */
    static double parseBytes(String text) {
        return parseQuantity(text, unitName -> switch (unitName) {
            case "B" -> 1;
            case "KiB" -> 1 << 10;
            case "MiB" -> 1 << 20;
            case "GiB" -> 1 << 30;
            default -> Double.NaN;
        });
    }

    private static double parseQuantity(String text, java.util.function.ToDoubleFunction<String> unitSize) {
        Matcher matcher = QUANTITY.matcher(text);
        return matcher.matches() ? Double.parseDouble(matcher.group(1))
            * unitSize.applyAsDouble(matcher.group(2))
            : Double.NaN;
    }

    /** Formats a duration in the largest of s, ms and us in which it is at least 1. */
    public static String formatMicros(double micros) {
        if (micros >= MICROS_PER_SECOND) {
            return formatNumber(micros / MICROS_PER_SECOND) + "s";
        }
        return micros >= 1_000 ? formatNumber(micros / 1_000) + "ms" : formatNumber(micros) + "us";
    }

    static String formatNumber(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15 ? String.valueOf((long) value)
            : String.format(Locale.ROOT, "%.4g", value);
    }
}
