package appleridge.config.operator;

import java.util.List;

/** Formats a check's report as text. */
final class CheckText {
    private final CheckReport report;
    private final StringBuilder out = new StringBuilder();

    private CheckText(CheckReport report) {
        this.report = report;
    }

    static String of(CheckReport report) {
        CheckText text = new CheckText(report);
        text.platform();
        text.operator();
        text.paragraph(
                "Changed from the defaults:",
                report.changed().stream()
                        .map(each -> each.path() + " = " + each.value() + insteadOfDefault(each))
                        .toList());
        text.paragraph("Consequences:", report.consequences());
        text.line("");
        text.line(
                report.problems() == 0
                        ? "No problems."
                        : count(report.problems()) + ": a sidecar would not start.");
        return text.out.toString();
    }

    private void platform() {
        if (report.config() == null) {
            line("Platform's file: none given, so not checked");
            return;
        }
        line(
                "Platform's file "
                        + report.config()
                        + (report.platformProblem() == null ? "" : ": 1 problem"));
        if (report.platformProblem() == null) {
            report.platform()
                    .settings()
                    .forEach((name, value) -> line("  " + name + " = " + value));
        } else {
            line("  " + report.platformProblem());
        }
    }

    private void operator() {
        line("");
        List<String> problems = report.inspection().findings().lines();
        if (report.operator() == null) {
            line("Operator's file: none given, so all settings have their defaults");
        } else {
            line(
                    "Operator's file "
                            + report.operator()
                            + (problems.isEmpty()
                                    ? ""
                                    : ": " + count(report.inspection().findings().count())));
        }
        problems.forEach(each -> line("  " + each));
        for (Setting each : report.settings()) {
            line(
                    "  "
                            + each.path()
                            + " = "
                            + (each.value().isEmpty() ? "nothing" : each.value())
                            + " ("
                            + origin(each)
                            + "): "
                            + each.meaning());
        }
    }

    private String origin(Setting setting) {
        if (!setting.fromFile()) {
            return "default";
        }
        int line = report.line(setting);
        return (line > 0 ? "line " + line : "file")
                + (setting.isChanged() ? "," + insteadOfDefault(setting) : ", same as the default");
    }

    private static String insteadOfDefault(Setting setting) {
        return " instead of "
                + (setting.defaultValue().isEmpty() ? "nothing" : setting.defaultValue());
    }

    private void paragraph(String heading, List<String> lines) {
        if (!lines.isEmpty()) {
            line("");
            line(heading);
            lines.forEach(each -> line("  " + each));
        }
    }

    private static String count(int problems) {
        return problems == 1 ? "1 problem" : problems + " problems";
    }

    private void line(String text) {
        out.append(text).append('\n');
    }
}
