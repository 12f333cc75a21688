package dockrelay.lab.spec;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;

/** Values from the command line, each key=value, that override those of an experiment file. */
final class Overrides {
    static final Overrides NONE = new Overrides();

    private final Map<String, Object> values = new HashMap<>();
    private final Set<String> keysRead = new HashSet<>();

    static Overrides parse(List<String> settings) {
        Overrides result = new Overrides();
        for (String setting : settings) {
            int equals = setting.indexOf('=');
            if (equals <= 0) {
                throw new SpecException("--set " + setting
                    + ": allowed is key=value, such as clients.load=0.8");
            }
            String key = setting.substring(0, equals).trim(), text = setting.substring(equals + 1).trim();
            TomlParseResult parsed = Toml.parse("v = " + text);
            // The shell strips quotes, so anything that is not a TOML value is taken as a string.
            result.values.put(key, parsed.hasErrors() ? text : parsed.get("v"));
        }
        return result;
    }

    Object get(String path) {
        Object value = values.get(path);
        if (value != null) {
            keysRead.add(path);
        }
        return value;
    }

    /** Throws for an override whose key the reader has not asked for. */
    void rejectUnusedKeys() {
        for (String key : values.keySet()) {
            if (!keysRead.contains(key)) {
                throw new SpecException("--set " + key + ": there is no such key in this experiment");
            }
        }
    }
}
