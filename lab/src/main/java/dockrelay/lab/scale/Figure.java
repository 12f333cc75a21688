package dockrelay.lab.scale;

/**
 * One measured value. {@code how} is "real" (processes and sockets), "virtual" (the machines over a virtual
 * network) or "module" (one JVM, the classes themselves).
 */
public record Figure(String role, String name, int size, String unit, double value, String how, int play) {
    public Figure {
        if (Double.isNaN(value) || Double.isInfinite(value)) {
            throw new IllegalArgumentException("figure " + name + " at " + size + " is " + value);
        }
    }
}
