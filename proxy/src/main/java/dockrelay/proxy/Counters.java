package dockrelay.proxy;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * What the parts of a proxy have done: each event is counted, and now and then one line of the log tells what
 * was counted since the line before. All on the event loop's thread.
 */
final class Counters {
    /** The events by the names they have in the log. */
    enum Count {
        /** Clients' connections taken. */
        ACCEPTED,
        /** Requests that were not proper, by an answer of 4xx or 5xx. */
        IMPROPER,
        /** Clients' connections ended because no request arrived whole in time. */
        LATE,
        /** Answers that ended a client's connection because most are in use. */
        CROWDED,
        /** Clients' connections closed to make room. */
        EVICTED,
        /** Requests passed to the module, and how they were answered; GONE where the client did not wait. */
        TAKEN, SERVED, REFUSED, FAILED, OVERDUE, GONE,
        /** Connections opened to backends, and requests written to a kept one. */
        CONNECTS, REUSED,
        /** Answers passed on as they came, as they are long; and request bodies. */
        STREAMED, UPLOADED,
        /** Answers of backends that could not be read beyond doubt. */
        UNREADABLE,
        /** Attempts by their outcome, where that was not a good answer. */
        ERROR, REJECTED, TIMEOUT, CONNECT_FAILURE, RESET, CANCELLED, NOT_SENT,
        /** Calls to discovery, those that ended without a list, and those given up while they waited. */
        DISCOVERY_CALLS, DISCOVERY_FAILURES, DISCOVERY_ABANDONED,
        /** Answers and watches of discovery that ended in the middle of an object. */
        DISCOVERY_BROKEN
    }

    /** A figure of this moment that goes with the line. */
    interface Gauge {
        long now();
    }

    private final Map<Count, Long> counted = new EnumMap<>(Count.class);
    private final Map<String, Gauge> gauges = new LinkedHashMap<>();

    void increment(Count count) {
        counted.merge(count, 1L, Long::sum);
    }

    /** What was counted since the line before. */
    long of(Count count) {
        return counted.getOrDefault(count, 0L);
    }

    void registerGauge(String name, Gauge gauge) {
        gauges.put(name, gauge);
    }

    /** The counts that are not zero, then the gauges; counting starts anew. */
    String formatAndReset() {
        List<String> words = new ArrayList<>();
        counted.forEach((count, number) -> words.add(count.name().toLowerCase(Locale.ROOT) + "=" + number));
        gauges.forEach((name, gauge) -> words.add(name + "=" + gauge.now()));
        counted.clear();
        return String.join(" ", words);
    }
}
