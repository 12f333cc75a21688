package dockrelay.proxy;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Counts events of the proxy and writes them to the log as one line per period, with the counts since the
 * previous line. Used on the event loop's thread only.
 */
final class Counters implements BufferLimit.PauseListener {
    /** Events, under their names in the log (in lower case). */
    enum Count {
        /** Client connections accepted. */
        ACCEPTED,
        /** Malformed requests, answered with 4xx or 5xx. */
        IMPROPER,
        /** Requests rejected with 503 because the heads of all clients filled their share of the memory. */
        HEADS_REJECTED,
        /** Client connections closed because no complete request arrived in time. */
        LATE,
        /** Responses that closed the client's connection because most connections were in use. */
        CROWDED,
        /** Client connections closed to make room for others, or as the heap was nearly full. */
        EVICTED, CLOSED_FOR_MEMORY,
        /**
         * Requests passed to the balancer, and how they ended; GONE if the client closed its connection
         * first.
         */
        TAKEN, SERVED, REFUSED, FAILED, OVERDUE, GONE,
        /** Connections opened to backends, and requests sent on a reused connection. */
        CONNECTS, REUSED,
        /** Requests that failed as their answer could not be passed on before the end of this process. */
        UNDELIVERABLE,
        /** Responses, and request bodies, streamed instead of buffered because they are long. */
        STREAMED, UPLOADED,
        /** Pauses in reading a body: the receiver could not accept more, or the buffers were full. */
        PAUSED, PAUSED_FOR_MEMORY,
        /** Responses of backends that could not be parsed unambiguously. */
        UNREADABLE,
        /** Attempts that did not succeed, by outcome. */
        ERROR, REJECTED, TIMEOUT, CONNECT_FAILURE, RESET, CANCELLED, NOT_SENT,
        /** Calls to discovery, those that ended without a list, and those abandoned before an answer. */
        DISCOVERY_CALLS, DISCOVERY_FAILURES, DISCOVERY_ABANDONED,
        /** Answers and watches of discovery that ended in the middle of an object. */
        DISCOVERY_BROKEN
    }

    /** A value that is sampled when the line is written. */
    interface Gauge {
        long currentValue();
    }

    private final Map<Count, Long> counts = new EnumMap<>(Count.class);
    private final Map<String, Gauge> gauges = new LinkedHashMap<>();

    void increment(Count count) {
        counts.merge(count, 1L, Long::sum);
    }

    /** The number of these events since the previous line. */
    long countSinceLastLine(Count count) {
        return counts.getOrDefault(count, 0L);
    }

    @Override
    public void onPaused(boolean memoryShort) {
        increment(memoryShort ? Count.PAUSED_FOR_MEMORY : Count.PAUSED);
    }

    @Override
    public void onResumed() {
        // the pauses are counted when they begin
    }

    void registerGauge(String name, Gauge gauge) {
        gauges.put(name, gauge);
    }

    /** Formats the counts that are not zero, followed by the gauges, and resets the counts. */
    String formatAndReset() {
        List<String> fields = new ArrayList<>();
        counts.forEach((count, value) -> fields.add(count.name().toLowerCase(Locale.ROOT) + "=" + value));
        gauges.forEach((name, gauge) -> fields.add(name + "=" + gauge.currentValue()));
        counts.clear();
        return String.join(" ", fields);
    }
}
