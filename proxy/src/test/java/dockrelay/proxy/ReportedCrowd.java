package dockrelay.proxy;

import java.util.Collections;
import java.util.List;

/** Crowds that reports of operators name. */
enum ReportedCrowd {
    /** Clients that stop in a long body and leave at the first byte of the answer. */
    HASTY_HALF_BODIES(
        List.of(List.of(new CrowdSpec(CrowdKind.HALF_BODY, 620, 92, 400_000, 1_000, 1, true, 5)))),
    /** Clients whose heads are rejected, and that leave at the first byte of the answer. */
    HASTY_HEADS(List.of(List.of(new CrowdSpec(CrowdKind.TOO_MANY_FIELDS, 620, 130, 0, 0, 1, true, 2)))),
    /** Clients that stop in a long body and stay. */
    HALF_BODIES(
        List.of(List.of(new CrowdSpec(CrowdKind.HALF_BODY, 620, 92, 400_000, 150_000, 1, false, 1)))),
    /** Crowds of several kinds one after another. */
    IN_TURN(List.of(List.of(new CrowdSpec(CrowdKind.HALF_BODY, 620, 10, 1 << 20, 1 << 19, 1, false, 1)),
        List.of(new CrowdSpec(CrowdKind.SLOW_BODY, 620, 10, 400_000, 1_000, 20, false, 1)),
        List.of(new CrowdSpec(CrowdKind.HALF_HEAD, 620, 92, 0, 0, 1, false, 1)),
        List.of(new CrowdSpec(CrowdKind.WHOLE_REQUESTS, 620, 92, 0, 0, 50, false, 1)),
        List.of(new CrowdSpec(CrowdKind.SLOW_READER, 620, 10, 0, 0, 50, false, 1)))),
    /** The same crowd five times over. */
    FIVE_TIMES(Collections.nCopies(5, HASTY_HALF_BODIES.mixes.get(0))),
    /** No crowd. */
    NONE(List.of());

    /** The crowds, as a scene plays them. */
    final List<List<CrowdSpec>> mixes;

    ReportedCrowd(List<List<CrowdSpec>> mixes) {
        this.mixes = mixes;
    }
}
