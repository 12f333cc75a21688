package dockrelay.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.util.ArrayList;
import java.util.List;

/** A text table with headings, whose columns are as wide as their widest cell. */
final class TextTable {
    private static final ObjectMapper JSON = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

    private final List<List<String>> rows = new ArrayList<>();

    TextTable(String... headings) {
        rows.add(List.of(headings));
    }

    void addRow(Object... cells) {
        rows.add(java.util.Arrays.stream(cells).map(String::valueOf).toList());
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        for (List<String> row : rows) {
            for (int i = 0; i < row.size(); i++) {
                int column = i;
                int width = rows.stream().mapToInt(otherRow -> otherRow.get(column).length()).max().orElse(0);
                text.append(i == row.size() - 1 ? row.get(i)
                    : String.format("%-" + (width + 2) + "s", row.get(i)));
            }
            text.append(System.lineSeparator());
        }
        return text.toString();
    }

    static String toJson(Object value) {
        try {
            return JSON.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }
}
