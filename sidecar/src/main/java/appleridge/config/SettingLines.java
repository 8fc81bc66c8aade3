package appleridge.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * Flattens nested settings into path=value lines, the form of the simulator's provision event, so
 * that {@link PolicySettingsParser} parses both. A list of objects becomes {@code path.count=N} and
 * the lines of {@code path.0} to {@code path.N-1}; a list of values becomes one line, joined by
 * commas.
 */
final class SettingLines {
    private final StringBuilder lines = new StringBuilder();

    private SettingLines() {}

    static String of(JsonNode settings) {
        SettingLines flattened = new SettingLines();
        flattened.add("", settings);
        return flattened.lines.toString();
    }

    private void add(String path, JsonNode node) {
        if (node.isObject()) {
            String prefix = path.isEmpty() ? "" : path + ".";
            node.properties().forEach(each -> add(prefix + each.getKey(), each.getValue()));
        } else if (node.isArray() && node.path(0).isContainerNode()) {
            line(path + ".count", Integer.toString(node.size()));
            for (int i = 0; i < node.size(); i++) {
                add(path + "." + i, node.get(i));
            }
        } else if (node.isArray()) {
            List<String> values = new ArrayList<>();
            node.forEach(item -> values.add(sanitized(item)));
            line(path, String.join(",", values));
        } else {
            line(path, sanitized(node));
        }
    }

    private void line(String path, String value) {
        lines.append(path).append('=').append(value).append('\n');
    }

    /**
     * The value with white space and commas replaced by underscores: line breaks separate lines and
     * commas separate list items.
     */
    private static String sanitized(JsonNode value) {
        return value.asText().replaceAll("[\\s,]", "_");
    }
}
