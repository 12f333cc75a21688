package dockrelay.lab.scale;

import java.lang.management.ManagementFactory;
import java.util.LinkedHashMap;
import java.util.Map;

/** What a run had to go by; no names, no paths. */
final class Machine {
    private Machine() {
    }

    static long memory() {
        return ((com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
            .getTotalMemorySize();
    }

    /** Processes that wanted to run, over the last minute: what else went on beside. */
    static double load() {
        return Math.round(ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage() * 10) / 10.0;
    }

    static Map<String, Object> described() {
        Map<String, Object> result = new LinkedHashMap<>();
        result.put("cores", Runtime.getRuntime().availableProcessors());
        result.put("memory_mb", memory() >> 20);
        result.put("java", System.getProperty("java.version"));
        return result;
    }
}
