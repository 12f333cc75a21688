package dockrelay.lab.scale;

/** Upper bounds of what a run needs: bytes of memory over all processes, and the number of processes. */
public record ResourceEstimate(long maxMemoryBytes, int maxProcesses) {
}
