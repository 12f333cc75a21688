package dockrelay.control;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The parsed answers of many proxies to a command that returns rows, and the errors of the others. */
record ProxyAnswers(Map<String, FleetReport> reportsByConsole, Map<String, String> errorsByConsole) {
    /** One proxy's answer: the fields of the summary line, and the fields of each row by its name. */
    record FleetReport(Map<String, String> summary, Map<String, Map<String, String>> rows) {
    }

    static ProxyAnswers parse(Map<String, ConsoleClient.Answer> answers) {
        Map<String, FleetReport> reportsByConsole = new LinkedHashMap<>();
        Map<String, String> errorsByConsole = new LinkedHashMap<>();
        answers.forEach((console, answer) -> {
            if (answer.isAccepted()) {
                reportsByConsole.put(console, parseReport(answer.lines()));
            } else {
                errorsByConsole.put(console, answer.text());
            }
        });
        return new ProxyAnswers(reportsByConsole, errorsByConsole);
    }

    /**
     * Parses a summary line of {@code key=value} fields, then a row {@code name state key=value ...}
     * per line.
     */
    private static FleetReport parseReport(List<String> lines) {
        Map<String, Map<String, String>> rows = new LinkedHashMap<>();
        for (String line : lines.subList(1, lines.size())) {
            String[] words = line.split(" ");
            if (words.length >= 2) {
                Map<String, String> row = new LinkedHashMap<>();
                row.put("state", words[1]);
                row.putAll(parseFields(words));
                rows.put(words[0], row);
            }
        }
        return new FleetReport(parseFields(lines.get(0).split(" ")), rows);
    }

    private static Map<String, String> parseFields(String[] words) {
        Map<String, String> fields = new LinkedHashMap<>();
        for (String word : words) {
            int equals = word.indexOf('=');
            if (equals > 0) {
                fields.putIfAbsent(word.substring(0, equals), word.substring(equals + 1));
            } else if (word.equals("other-list")) {
                fields.put(word, "true");
            }
        }
        return fields;
    }

    /** The value printed by {@code --json}; {@code rowsKey} is the key of the rows. */
    Map<String, Object> toJsonValue(boolean agreed, String rowsKey) {
        Map<String, Object> proxies = new LinkedHashMap<>();
        reportsByConsole.forEach((console, report) -> {
            Map<String, Object> proxy = new LinkedHashMap<>();
            proxy.put("figures", report.summary);
            proxy.put(rowsKey, report.rows);
            proxies.put(console, proxy);
        });
        Map<String, Object> result = new LinkedHashMap<>();
        result.put("agreed", agreed);
        result.put("proxies", proxies);
        result.put("unanswered", errorsByConsole);
        return result;
    }
}
