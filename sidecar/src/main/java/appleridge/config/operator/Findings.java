package appleridge.config.operator;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Supplier;

/** What reading an operator's file has brought to light so far: its settings, and what is wrong. */
final class Findings {
    /** Problems that are told; of more than these only the number is. */
    static final int MAX_REPORTED = 20;

    private final List<Problem> problems = new ArrayList<>();
    private final List<Setting> settings = new ArrayList<>();
    private int omitted;

    /** Notes a problem; its text is made only if it is told. */
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

    /** In the order of the file; those without a place first. */
    List<Problem> problems() {
        return problems.stream()
                .sorted(Comparator.comparingInt(Problem::line).thenComparingInt(Problem::column))
                .toList();
    }

    /** Each problem that is told on a line, and how many are not. */
    List<String> lines() {
        List<String> lines = new ArrayList<>();
        problems().forEach(problem -> lines.add(problem.toString()));
        if (omitted > 0) {
            lines.add("and " + omitted + " more");
        }
        return lines;
    }

    /**
     * Every setting that was asked for, in that order, also those that the file says nothing of.
     */
    List<Setting> settings() {
        return List.copyOf(settings);
    }
}
