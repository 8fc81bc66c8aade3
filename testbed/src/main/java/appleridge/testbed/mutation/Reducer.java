package appleridge.testbed.mutation;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** Leaves out of a text all lines but those that it takes for something to hold. */
final class Reducer {
    private final Predicate<String> holds;

    Reducer(Predicate<String> holds) {
        this.holds = holds;
    }

    /** The text must hold; what is returned does too, and no longer with any one line less. */
    String reduce(String text) {
        List<String> lines = new ArrayList<>(text.lines().toList());
        for (int size = Math.max(1, lines.size() / 2); size >= 1; size /= 2) {
            boolean less = withoutRuns(lines, size);
            while (less && size == 1) {
                less = withoutRuns(lines, size);
            }
        }
        return joined(lines);
    }

    /** Tries to do without each run of so many lines; whether one was left out. */
    private boolean withoutRuns(List<String> lines, int size) {
        boolean less = false;
        int at = 0;
        while (at < lines.size()) {
            List<String> fewer = new ArrayList<>(lines);
            fewer.subList(at, Math.min(lines.size(), at + size)).clear();
            if (holds.test(joined(fewer))) {
                lines.clear();
                lines.addAll(fewer);
                less = true;
            } else {
                at += size;
            }
        }
        return less;
    }

    private static String joined(List<String> lines) {
        return lines.isEmpty() ? "" : String.join("\n", lines) + "\n";
    }
}
