package dockrelay.lab.spec;

import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses and formats durations and sizes with units, such as "250ms" and "192MiB". */
public final class Units {
    private static final Pattern FIGURE = Pattern.compile("([0-9]+(?:\\.[0-9]+)?)\\s*([a-zA-Z]+)");
    private static final double MICROS = 1_000_000;

    private Units() {
    }

    /** Parses a duration to microseconds; NaN if it is not one. */
    static double micros(String text) {
        return figure(text, unit -> switch (unit) {
            case "us" -> 1;
            case "ms" -> 1_000;
            case "s" -> MICROS;
            case "min" -> 60 * MICROS;
            default -> Double.NaN;
        });
    }

    /** Parses a size to bytes; NaN if it is not one. */
    static double bytes(String text) {
        return figure(text, unit -> switch (unit) {
            case "B" -> 1;
            case "KiB" -> 1 << 10;
            case "MiB" -> 1 << 20;
            case "GiB" -> 1 << 30;
            default -> Double.NaN;
        });
    }

    private static double figure(String text, java.util.function.ToDoubleFunction<String> unit) {
        Matcher matcher = FIGURE.matcher(text);
        return matcher.matches() ? Double.parseDouble(matcher.group(1)) * unit.applyAsDouble(matcher.group(2))
            : Double.NaN;
    }

    /** Formats a duration in the largest of s, ms and us in which it is at least 1. */
    public static String time(double micros) {
        if (micros >= MICROS) {
            return plain(micros / MICROS) + "s";
        }
        return micros >= 1_000 ? plain(micros / 1_000) + "ms" : plain(micros) + "us";
    }

    static String plain(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15 ? String.valueOf((long) value)
            : String.format(Locale.ROOT, "%.4g", value);
    }
}
