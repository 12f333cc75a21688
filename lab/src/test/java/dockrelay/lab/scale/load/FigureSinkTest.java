package dockrelay.lab.scale.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.lab.scale.load.ProxyUnderTest.StartOutcome;
import java.util.LinkedHashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The figures derived from request outcomes and from failed starts. */
class FigureSinkTest {
    private final Map<String, Double> figures = new LinkedHashMap<>();
    private final FigureSink figureSink = (unit, name, value) -> figures.put(name, value);

    /** A tally of requests served in 1 to 10 ms, each sent {@code lateMicros} after its scheduled time. */
    private static Tally newTally(long lateMicros, int count) {
        Tally tally = new Tally();
        for (int i = 0; i < count; i++) {
            tally.addSent(lateMicros);
            tally.addServed(1_000 * (1 + i % 10));
        }
        return tally;
    }

    @Test
    void p999IsReportedOnlyWithEnoughRequests() {
        figureSink.addRequestFigures("few", newTally(100, 100));
        figureSink.addRequestFigures("many", newTally(100, 2_000));
        assertEquals(5, figures.get("few: latency p50"), 0.1);
        assertEquals(10, figures.get("few: latency p99"), 0.1);
        assertFalse(figures.containsKey("few: latency p99.9"));
        assertTrue(figures.containsKey("many: latency p99.9"));
    }

    @Test
    void lateGeneratorVoidsLatencies() {
        figureSink.addRequestFigures("part", newTally(6_000, 100));
        assertEquals(1.0, figures.get("part: latencies void, the generator was late"));
        assertFalse(figures.containsKey("part: latency p99"));
        assertEquals(6, figures.get("part: generator late p99"), 0.1);
    }

    @Test
    void failedStartsAreReportedAsEvents() {
        figureSink.addStartFailure("start", StartOutcome.OUT_OF_MEMORY, 60);
        figureSink.addStartFailure("start", StartOutcome.NOT_READY, 60);
        assertEquals(Map.of("start: out of memory", 1.0, "start: not ready within 60 s", 1.0), figures);
    }
}
