package dockrelay.lab.scale.load;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dockrelay.lab.scale.Figure;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Which figures of a play are kept if the generator was late. */
class LoadRoleTest {
    @Test
    void lateRunKeepsFiguresThatDoNotDependOnClientTimes() {
        List<Figure> figures = Stream.of("through the proxy p50", "direct p99", "added p99.9",
            "direct, not served", "processor time a request", "resident", "generator late p99")
            .map(name -> new Figure("load", name, 93, "x", 1, "real", 1)).toList();
        assertEquals(List.of("direct, not served", "processor time a request", "resident",
            "generator late p99"), LoadRole.withoutLatencies(figures).stream().map(Figure::name).toList());
    }
}
