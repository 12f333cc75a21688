package dockrelay.settings;

import dockrelay.Balancer.DedupScope;
import dockrelay.Balancer.Idempotency;
import dockrelay.Balancer.Limits;
import dockrelay.Balancer.Rules;
import dockrelay.Balancer.ServiceClass;
import dockrelay.Balancer.Settings;
import dockrelay.Balancer.Tenant;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Reads the policy's settings from a JSON object. A missing key without a default throws, naming the key. */
public final class SettingsReader {
    private static final double MICROS_PER_SECOND = 1_000_000;

    private final Map<?, ?> map;
    private final String path;

    private SettingsReader(Map<?, ?> map, String path) {
        this.map = map;
        this.path = path;
    }

    /** Reads the object that the simulator sends for a new instance, or that a proxy's configuration has. */
    public static Settings read(Map<?, ?> settings) {
        SettingsReader root = new SettingsReader(settings, "");
        List<ServiceClass> classes = new ArrayList<>();
        for (SettingsReader service : root.children("Services", true)) {
            classes.add(new ServiceClass(service.readText("Name", null), service.readMicros("Aim", null),
                service.readNumber("AimStretch", 0.0), service.readMicros("HardLimit", null),
                toIdempotency(service.readText("Idempotency", "at_most_once")),
                toDedupScope(service.readText("DedupScope", "cell")), service.readMicros("MemorySpan", 0.0),
                service.readNumber("LateWorth", 0.0), service.readNames("RunsIn"),
                service.readNames("KindsOpen")));
        }
        List<Tenant> tenants = new ArrayList<>();
        for (SettingsReader tenant : root.children("Tenants", false)) {
            tenants.add(new Tenant(tenant.readText("Name", null), tenant.readNumber("QuotaRps", null)));
        }
        SettingsReader limits = root.child("Permissions");
        SettingsReader rules = root.child("Obligations");
        SettingsReader prices = root.child("Prices");
        return new Settings((int) root.readLong("Balancers", 1.0), (int) root.readLong("Me", 0.0),
            root.readText("Zone", ""), classes, tenants, "ask".equals(root.readText("Discovery", "push")),
            new Limits((int) limits.readLong("MaxAttempts", 1.0), limits.readBoolean("MayCancel", false),
            limits.readBoolean("SecondCopies", false), limits.readBoolean("Probes", false),
            limits.readBoolean("Peers", false)),
            new Rules(rules.readNumber("ColdShare", 1.0), rules.readMicros("Cold", 0.0),
            rules.readNumber("FallMultiple", 1.0), Math.max(1, rules.readMicros("Fall", 1.0)),
            rules.readMicros("AskWithin", 10.0), rules.readMicros("CloseOnDrainWithin", 0.0)),
            prices.readNumber("CrossZone", 0.0));
    }

    private static Idempotency toIdempotency(String value) {
        switch (value) {
            case "idempotent":
                return Idempotency.IDEMPOTENT;
            case "deduplicated":
                return Idempotency.DEDUPLICATED;
            default:
                return Idempotency.AT_MOST_ONCE; // the safest for unknown values
        }
    }

    private static DedupScope toDedupScope(String value) {
        switch (value) {
            case "all":
                return DedupScope.ALL;
            case "zone":
                return DedupScope.ZONE;
            default:
                return DedupScope.CELL;
        }
    }

    private SettingsReader child(String key) {
        Object value = map.get(key);
        if (value == null) {
            return new SettingsReader(Map.of(), path + key + ".");
        }
        if (value instanceof Map) {
            return new SettingsReader((Map<?, ?>) value, path + key + ".");
        }
        throw invalid(key, "an object");
    }

    private List<SettingsReader> children(String key, boolean required) {
        List<SettingsReader> result = new ArrayList<>();
        Object value = map.get(key);
        if (value == null && !required) {
            return result;
        }
        if (!(value instanceof List)) {
            throw invalid(key, "a list of objects");
        }
        for (Object item : (List<?>) value) {
            if (!(item instanceof Map)) {
                throw invalid(key, "a list of objects");
            }
            result.add(new SettingsReader((Map<?, ?>) item, path + key + "."));
        }
        return result;
    }

    /** Reads a list of names, or null if there is none: no list restricts nothing, an empty one all. */
    private Set<String> readNames(String key) {
        Object value = map.get(key);
        if (value == null) {
            return null;
        }
        if (!(value instanceof List)) {
            throw invalid(key, "a list of names");
        }
        Set<String> result = new LinkedHashSet<>();
        for (Object item : (List<?>) value) {
            if (!(item instanceof String)) {
                throw invalid(key, "a list of names");
            }
            result.add((String) item);
        }
        return result;
    }

    private String readText(String key, String defaultValue) {
        Object value = map.get(key);
        if (value == null && defaultValue != null) {
            return defaultValue;
        }
        if (value instanceof String) {
            return (String) value;
        }
        throw invalid(key, "a text");
    }

    private double readNumber(String key, Double defaultValue) {
        Object value = map.get(key);
        if (value == null && defaultValue != null) {
            return defaultValue;
        }
        if (value instanceof Number && ((Number) value).doubleValue() >= 0) {
            return ((Number) value).doubleValue();
        }
        throw invalid(key, "a number of at least 0");
    }

    private long readMicros(String key, Double defaultSeconds) {
        return Math.round(readNumber(key, defaultSeconds) * MICROS_PER_SECOND);
    }

    private long readLong(String key, Double defaultValue) {
        return Math.round(readNumber(key, defaultValue));
    }

    private boolean readBoolean(String key, boolean defaultValue) {
        Object value = map.get(key);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Boolean) {
            return (Boolean) value;
        }
        throw invalid(key, "true or false");
    }

    private SettingException invalid(String key, String allowed) {
        return new SettingException(path + key, map.get(key), allowed);
    }
}
