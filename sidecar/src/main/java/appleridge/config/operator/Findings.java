package appleridge.config.operator;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Supplier;

/** Collects the settings and the problems found while an operator's file is read. */
final class Findings {
    /** Maximum number of problems kept; further ones are only counted. */
    static final int MAX_REPORTED = 20;

    private final List<Problem> problems = new ArrayList<>();
    private final List<Setting> settings = new ArrayList<>();
    private int omitted;

    /** Records a problem. Its position and text are computed only if it is kept. */
    void problem(String path, Supplier<Position> position, Supplier<String> text) {
        if (problems.size() == MAX_REPORTED) {
            omitted++;
            return;
        }
        Position at = position.get();
        problems.add(new Problem(path, at.line(), at.column(), text.get()));
    }

    void setting(Setting setting) {
        settings.add(setting);
    }

    int count() {
        return problems.size() + omitted;
    }

    /** The kept problems in the order of the file; those without a position come first. */
    List<Problem> problems() {
        return problems.stream()
                .sorted(Comparator.comparingInt(Problem::line).thenComparingInt(Problem::column))
                .toList();
    }

    /** The kept problems, one a line, then the number of the others. */
    List<String> lines() {
        List<String> lines = new ArrayList<>();
        problems().forEach(problem -> lines.add(problem.toString()));
        if (omitted > 0) {
            lines.add("and " + omitted + " more");
        }
        return lines;
    }

    /** All settings in the order in which they were read, including those not in the file. */
    List<Setting> settings() {
        return List.copyOf(settings);
    }
}
