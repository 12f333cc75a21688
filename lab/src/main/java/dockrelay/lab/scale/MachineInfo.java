package dockrelay.lab.scale;

import java.lang.management.ManagementFactory;
import java.util.LinkedHashMap;
import java.util.Map;

/** Describes the machine of a run, without host names and paths. */
final class MachineInfo {
    private MachineInfo() {
    }

    /** Physical memory in bytes. */
    static long totalMemoryBytes() {
        return ((com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
            .getTotalMemorySize();
    }

    /** Load average over the last minute, which shows other work on the machine. */
    static double loadAverage() {
        return Math.round(ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage() * 10) / 10.0;
    }

    /** Properties of the machine as {@code scale.json} stores them. */
    static Map<String, Object> describe() {
        Map<String, Object> properties = new LinkedHashMap<>();
        properties.put("cores", Runtime.getRuntime().availableProcessors());
        properties.put("memory_mb", totalMemoryBytes() >> 20);
        properties.put("java", System.getProperty("java.version"));
        return properties;
    }
}
