package dockrelay.control;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The parsed answers of many proxies to a command that returns rows, and the errors of the others. */
record Views(Map<String, View> all, Map<String, String> troubles) {
    /** One proxy's answer: the fields of the summary line, and the fields of each row by its name. */
    record View(Map<String, String> figures, Map<String, Map<String, String>> rows) {
    }

    static Views of(Map<String, Consoles.Answer> answers) {
        Map<String, View> all = new LinkedHashMap<>();
        Map<String, String> troubles = new LinkedHashMap<>();
        answers.forEach((console, answer) -> {
            if (answer.yes()) {
                all.put(console, view(answer.lines()));
            } else {
                troubles.put(console, answer.text());
            }
        });
        return new Views(all, troubles);
    }

    /**
     * Parses a summary line of {@code key=value} fields, then a row {@code name state key=value ...}
     * per line.
     */
    private static View view(List<String> lines) {
        Map<String, Map<String, String>> rows = new LinkedHashMap<>();
        for (String line : lines.subList(1, lines.size())) {
            String[] words = line.split(" ");
            if (words.length >= 2) {
                Map<String, String> row = new LinkedHashMap<>();
                row.put("state", words[1]);
                row.putAll(figures(words));
                rows.put(words[0], row);
            }
        }
        return new View(figures(lines.get(0).split(" ")), rows);
    }

    private static Map<String, String> figures(String[] words) {
        Map<String, String> result = new LinkedHashMap<>();
        for (String word : words) {
            int equals = word.indexOf('=');
            if (equals > 0) {
                result.putIfAbsent(word.substring(0, equals), word.substring(equals + 1));
            } else if (word.equals("other-list")) {
                result.put(word, "true");
            }
        }
        return result;
    }

    /** The value printed by {@code --json}; {@code rows} is the key of the rows. */
    Map<String, Object> json(boolean agreed, String rows) {
        Map<String, Object> proxies = new LinkedHashMap<>();
        all.forEach((console, view) -> {
            Map<String, Object> one = new LinkedHashMap<>();
            one.put("figures", view.figures);
            one.put(rows, view.rows);
            proxies.put(console, one);
        });
        Map<String, Object> result = new LinkedHashMap<>();
        result.put("agreed", agreed);
        result.put("proxies", proxies);
        result.put("unanswered", troubles);
        return result;
    }
}
