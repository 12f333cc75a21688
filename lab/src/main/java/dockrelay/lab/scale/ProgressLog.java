package dockrelay.lab.scale;

/** Receives lines about the progress of a run. */
@FunctionalInterface
public interface ProgressLog {
    void log(String text);
}
