package dockrelay.settings;

/** Thrown for a missing or invalid configuration value, with its key, the value and what is allowed. */
public final class SettingException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;
    private static final int MAX_SHOWN_CHARS = 60;

    public SettingException(String key, Object value, String allowed) {
        super(key + (value == null ? " is missing" : " = " + format(value)) + ": allowed is " + allowed);
    }

    private static String format(Object value) {
        String text = value instanceof String ? "\"" + value + "\"" : String.valueOf(value);
        return text.length() > MAX_SHOWN_CHARS ? text.substring(0, MAX_SHOWN_CHARS) + "..." : text;
    }
}
