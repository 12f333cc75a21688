package dockrelay.lab.spec;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;

/** Keys laid over an experiment file from the command line, each as key=value. */
final class Overrides {
    static final Overrides NONE = new Overrides();

    private final Map<String, Object> values = new HashMap<>();
    private final Set<String> read = new HashSet<>();

    static Overrides of(List<String> settings) {
        Overrides result = new Overrides();
        for (String setting : settings) {
            int equals = setting.indexOf('=');
            if (equals <= 0) {
                throw new SpecException("--set " + setting
                    + ": allowed is key=value, such as clients.load=0.8");
            }
            String key = setting.substring(0, equals).trim(), text = setting.substring(equals + 1).trim();
            TomlParseResult parsed = Toml.parse("v = " + text);
            // A shell takes quotes away: what is no value of TOML is a text.
            result.values.put(key, parsed.hasErrors() ? text : parsed.get("v"));
        }
        return result;
    }

    Object get(String path) {
        Object value = values.get(path);
        if (value != null) {
            read.add(path);
        }
        return value;
    }

    /** Refuses what no key of the file's tables has taken. */
    void done() {
        for (String key : values.keySet()) {
            if (!read.contains(key)) {
                throw new SpecException("--set " + key + ": there is no such key in this experiment");
            }
        }
    }
}
