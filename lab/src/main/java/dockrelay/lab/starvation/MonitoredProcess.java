package dockrelay.lab.starvation;

/** A process to be watched, and the one core that it may run on, or {@link CoreStats#ALL}. */
public record MonitoredProcess(String proxy, long pid, boolean ready, int core) {
}
