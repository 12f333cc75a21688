package dockrelay.lab.scale;

/**
 * One measured value of one play. {@code how} is "real" (processes and sockets), "virtual" (protocol state
 * machines over a virtual network) or "module" (classes called directly in one JVM).
 */
public record Figure(String role, String name, int size, String unit, double value, String how, int play) {
    public Figure {
        if (Double.isNaN(value) || Double.isInfinite(value)) {
            throw new IllegalArgumentException("figure " + name + " at " + size + " is " + value);
        }
    }
}
