package dockrelay.proxy;

import dockrelay.Balancer.Idempotency;
import dockrelay.Balancer.ServiceClass;
import dockrelay.proxy.BackendConnectionPool.Exchange;
import java.util.List;
import java.util.OptionalLong;

/**
 * Keeps a request from running more often than its service class permits, whatever delays its attempts. The
 * decision module decides on an attempt before it is sent, and a backend runs it once its last byte has
 * arrived; meanwhile another attempt may have run, or the deduplication window may have ended.
 */
final class RepeatGuard {
    /**
     * A retry is sent only until this long before the deduplication window ends: it takes a moment to reach
     * the backend, which forgets the first attempt at the end of the window.
     */
    private static final long DEDUP_MARGIN_MICROS = 10_000;
    /** The deduplication margin is at most the window divided by this number. */
    private static final long DEDUP_MARGIN_DIVISOR = 10;
    /** A body of this size fits into the receive buffer of a backend, so that it arrives once it is sent. */
    static final int MAX_PROMPT_BODY_BYTES = 4_096;

    private final Idempotency idempotency;
    private final long windowMicros;

    /** Guards requests of this class; null if the settings do not name it, which leaves all to the module. */
    RepeatGuard(ServiceClass serviceClass) {
        idempotency = serviceClass == null ? Idempotency.IDEMPOTENT : serviceClass.idempotency();
        long window = serviceClass == null ? 0 : serviceClass.dedupWindow();
        windowMicros = window - Math.min(DEDUP_MARGIN_MICROS, window / DEDUP_MARGIN_DIVISOR);
    }

    /** Whether an attempt may send its first byte now; attempts that have not been started are null. */
    boolean maySend(List<Exchange> attempts, int attempt) {
        for (int i = 0; i < attempts.size(); i++) {
            Exchange other = attempts.get(i);
            boolean mayHaveExecuted = i != attempt && other != null && other.mayHaveExecuted();
            if (mayHaveExecuted && !isRepeatHarmless(other)) {
                return false;
            }
        }
        return true;
    }

    private boolean isRepeatHarmless(Exchange earlierAttempt) {
        return isRepeatHarmless(earlierAttempt.microsSinceSendStart());
    }

    /** Whether an attempt may be sent although another one may have executed, sent this long ago. */
    boolean isRepeatHarmless(long microsSinceSendStart) {
        return idempotency == Idempotency.IDEMPOTENT
            || idempotency == Idempotency.DEDUPLICATED && microsSinceSendStart <= windowMicros;
    }

    /**
     * The time until attempts that are still on their way must not arrive any more, in microseconds; empty if
     * this does not matter, as at most one attempt may have executed.
     */
    OptionalLong microsUntilRepeatsRunAgain(List<Exchange> attempts) {
        int executedCount = 0;
        long earliestMicros = 0;
        for (Exchange attempt : attempts) {
            if (attempt != null && attempt.mayHaveExecuted()) {
                executedCount++;
                earliestMicros = Math.max(earliestMicros, attempt.microsSinceSendStart());
            }
        }
        return idempotency != Idempotency.DEDUPLICATED || executedCount < 2 ? OptionalLong.empty()
            : OptionalLong.of(windowMicros - earliestMicros);
    }
}
