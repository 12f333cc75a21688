package dockrelay.settings;

/** A value of a configuration cannot be used: its key, the value as it stands there, and what is allowed. */
public final class SettingException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;
    private static final int LONGEST = 60;

    public SettingException(String key, Object value, String allowed) {
        super(key + (value == null ? " is missing" : " = " + shown(value)) + ": allowed is " + allowed);
    }

    private static String shown(Object value) {
        String text = value instanceof String ? "\"" + value + "\"" : String.valueOf(value);
        return text.length() > LONGEST ? text.substring(0, LONGEST) + "..." : text;
    }
}
