package dockrelay.lab.scale;

/** Takes lines that tell how a run goes on. */
@FunctionalInterface
public interface ProgressLog {
    void log(String text);
}
