package appleridge.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * Flattens nested settings into the path=value lines that the simulator's provision event holds, so
 * that {@link PolicySettingsParser} is the one mapping of both. A list of objects becomes {@code
 * path.count=N} and the lines of {@code path.0} to {@code path.N-1}; a list of values becomes one
 * line, joined by commas.
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
            node.forEach(item -> values.add(plain(item)));
            line(path, String.join(",", values));
        } else {
            line(path, plain(node));
        }
    }

    private void line(String path, String value) {
        lines.append(path).append('=').append(value).append('\n');
    }

    /** White space ends a line and commas part a list, so neither may stand in a value. */
    private static String plain(JsonNode value) {
        return value.asText().replaceAll("[\\s,]", "_");
    }
}
