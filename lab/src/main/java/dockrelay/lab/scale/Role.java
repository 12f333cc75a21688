package dockrelay.lab.scale;

import java.util.List;

/** One kind of thing that is measured at several sizes. */
public interface Role {
    /** As the specification's {@code role} names it. */
    String name();

    /**
     * What a run of this size takes. It is asked for every size before the first play, and reads all of the
     * role's own keys ({@link ScaleSpec#own}), so that a wrong one is told before anything runs.
     */
    ResourceEstimate estimate(ScaleSpec spec, int size);

    /** Measures one size once; {@code play} counts from 1. A size that the code does not take is refused. */
    List<Figure> play(ScaleSpec spec, int size, int play, ProgressLog progress) throws Exception;
}
