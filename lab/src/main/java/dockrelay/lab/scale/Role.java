package dockrelay.lab.scale;

import java.util.List;

/** A subject that is measured at several sizes, such as member lists or request rates. */
public interface Role {
    /** The name, as used by the specification's key {@code role}. */
    String name();

    /**
     * Estimates the resources for a size. Called for every size before the first play; it reads all keys of
     * the role's section ({@link ScaleSpec#roleSection}), so that a wrong one is reported first.
     */
    ResourceEstimate estimate(ScaleSpec spec, int size);

    /** Measures one size once; {@code play} counts from 1. Refuses a size that the code does not support. */
    List<Figure> play(ScaleSpec spec, int size, int play, ProgressLog progress) throws Exception;
}
