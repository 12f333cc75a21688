package dockrelay.lab.scale;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/** The results of a run, as stored in {@code scale.json}; {@code cutShort} while sizes remain unmeasured. */
public record ScaleResult(Map<String, Object> build, Map<String, Object> machine, String when, String spec,
                          String note, long seed, boolean cutShort, List<Figure> figures,
                          List<Refusal> refused, List<Slope> slopes) {
    private static final ObjectMapper MAPPER = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT)
        .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
        .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    /** A size that was not measured, and the reason. */
    public record Refusal(String role, int size, String why) {
    }

    /** How one figure grows with the size. */
    public record Slope(String role, String name, String unit, String how, Fit fit) {
    }

    /** Identifies a figure across sizes and plays. */
    private record FigureKey(String role, String name, String unit, String how) {
    }

    /** Fits each figure that was measured at enough sizes. */
    static List<Slope> slopes(List<Figure> figures) {
        Map<FigureKey, List<Figure>> groups = figures.stream().collect(Collectors.groupingBy(
            (Function<Figure, FigureKey>) figure -> new FigureKey(figure.role(), figure.name(), figure.unit(),
                figure.how()),
            LinkedHashMap::new, Collectors.toList()));
        List<Slope> result = new ArrayList<>();
        groups.forEach((key, sameKeyFigures) -> {
            Fit fit = Fit.of(sameKeyFigures);
            if (fit != null) {
                result.add(new Slope(key.role, key.name, key.unit, key.how, fit));
            }
        });
        return result;
    }

    /** Writes the result as JSON, and creates the folder if it does not exist. */
    void write(Path file) throws IOException {
        Files.createDirectories(file.toAbsolutePath().getParent());
        Files.writeString(file, MAPPER.writeValueAsString(this) + "\n");
    }

    /** Reads a stored result; ignores properties that this version does not know. */
    static ScaleResult read(Path file) throws IOException {
        return MAPPER.readValue(file.toFile(), new TypeReference<>() { });
    }
}
