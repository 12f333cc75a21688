package dockrelay.lab.starvation;

/** A process to be watched, and the one core that it may run on, or {@link CoreCounts#ALL}. */
public record Watched(String proxy, long process, boolean serves, int core) {
}
