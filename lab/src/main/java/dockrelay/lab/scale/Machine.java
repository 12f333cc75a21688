package dockrelay.lab.scale;

import java.lang.management.ManagementFactory;
import java.util.LinkedHashMap;
import java.util.Map;

/** Describes the machine of a run, without host names and paths. */
final class Machine {
    private Machine() {
    }

    /** Physical memory in bytes. */
    static long memory() {
        return ((com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
            .getTotalMemorySize();
    }

    /** Load average over the last minute, which shows other work on the machine. */
    static double load() {
        return Math.round(ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage() * 10) / 10.0;
    }

    /** Properties of the machine as {@code scale.json} stores them. */
    static Map<String, Object> described() {
        Map<String, Object> result = new LinkedHashMap<>();
        result.put("cores", Runtime.getRuntime().availableProcessors());
        result.put("memory_mb", memory() >> 20);
        result.put("java", System.getProperty("java.version"));
        return result;
    }
}
