package review;

import java.util.List;
import java.util.Map;

/** Writes JSON from maps, lists, strings, numbers and booleans. */
final class Json {
    private Json() {}

    static String of(Object value) {
        StringBuilder out = new StringBuilder();
        write(out, value);
        return out.toString();
    }

    private static void write(StringBuilder out, Object value) {
        if (value instanceof Map<?, ?> map) {
            String separator = "{";
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.append(separator).append('"').append(entry.getKey()).append("\":");
                write(out, entry.getValue());
                separator = ",";
            }
            out.append(map.isEmpty() ? "{}" : "}");
        } else if (value instanceof List<?> list) {
            String separator = "[";
            for (Object item : list) {
                out.append(separator);
                write(out, item);
                separator = ",";
            }
            out.append(list.isEmpty() ? "[]" : "]");
        } else if (value instanceof String text) {
            out.append('"').append(text).append('"');
        } else {
            out.append(value);
        }
    }
}
