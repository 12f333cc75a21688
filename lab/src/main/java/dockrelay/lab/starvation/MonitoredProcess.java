package dockrelay.lab.starvation;

/** A process to monitor, and the one core that it may run on, or {@link CoreStats#ALL_CORES}. */
public record MonitoredProcess(String proxy, long pid, boolean ready, int core) {
}
