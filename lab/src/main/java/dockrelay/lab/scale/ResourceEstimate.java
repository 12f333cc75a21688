package dockrelay.lab.scale;

/** What a run takes at the most: bytes of memory, in all processes together, and processes. */
public record ResourceEstimate(long bytes, int processes) {
}
