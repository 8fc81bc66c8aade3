package appleridge.config.operator;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;

/** Formats a check's report as JSON. */
final class CheckJson {
    private CheckJson() {}

    static String of(CheckReport report) {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        root.put("fine", report.problems() == 0);
        root.put("problems", report.problems());
        platform(root.putObject("platform"), report);
        operator(root.putObject("operator"), report);
        ArrayNode consequences = root.putArray("consequences");
        report.consequences().forEach(consequences::add);
        return root.toPrettyString() + "\n";
    }

    private static void platform(ObjectNode node, CheckReport report) {
        node.put("file", name(report.config()));
        node.put("problem", report.platformProblem());
        if (report.platform() != null) {
            ObjectNode settings = node.putObject("settings");
            report.platform().settings().forEach(settings::put);
        }
    }

    private static void operator(ObjectNode node, CheckReport report) {
        node.put("file", name(report.operator()));
        ArrayNode problems = node.putArray("problems");
        for (Problem each : report.inspection().findings().problems()) {
            problems.addObject()
                    .put("path", each.path())
                    .put("line", each.line())
                    .put("column", each.column())
                    .put("text", each.text());
        }
        ArrayNode settings = node.putArray("settings");
        for (Setting each : report.settings()) {
            settings.addObject()
                    .put("path", each.path())
                    .put("value", each.value())
                    .put("default", each.defaultValue())
                    .put("from", each.fromFile() ? "file" : "default")
                    .put("line", report.line(each))
                    .put("changed", each.isChanged())
                    .put("meaning", each.meaning());
        }
    }

    private static String name(Path file) {
        return file == null ? null : file.toString();
    }
}
