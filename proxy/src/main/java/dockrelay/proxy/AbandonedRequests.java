package dockrelay.proxy;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * The ids of requests whose clients have left although an attempt may have executed. A client that comes
 * again with such an id must not make it execute twice. Bounded in number and time. Times are
 * {@link System#nanoTime} values.
 */
final class AbandonedRequests {
    private static final int MAX_IDS = 4_096;
    private static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final Map<String, Long> sendStartNanosById = new LinkedHashMap<>(); // longest known first

    /** Notes that an attempt for this id, which began to be sent at the given time, may have executed. */
    void add(String requestId, long sendStartNanos, long nowNanos) {
        sendStartNanosById.putIfAbsent(requestId, sendStartNanos);
        Iterator<Long> oldestFirst = sendStartNanosById.values().iterator();
        while (oldestFirst.hasNext()) {
            boolean expired = nowNanos - oldestFirst.next() > RETENTION_NANOS;
            if (!expired && sendStartNanosById.size() <= MAX_IDS) {
                return;
            }
            oldestFirst.remove();
        }
    }

    /** The time since an abandoned attempt for this id began to be sent, in microseconds. */
    OptionalLong microsSinceSendStart(String requestId, long nowNanos) {
        Long sendStartNanos = sendStartNanosById.get(requestId);
        return sendStartNanos == null || nowNanos - sendStartNanos > RETENTION_NANOS ? OptionalLong.empty()
            : OptionalLong.of(TimeUnit.NANOSECONDS.toMicros(nowNanos - sendStartNanos));
    }

    int size() {
        return sendStartNanosById.size();
    }
}
