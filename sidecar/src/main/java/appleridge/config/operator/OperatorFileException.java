package appleridge.config.operator;

import java.util.List;

/**
 * Thrown if an operator's file can't be read or is invalid. The message names the file, then the
 * problems, each on a line of its own, or a single problem on the same line.
 */
public final class OperatorFileException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    private final transient List<Problem> problems;

    OperatorFileException(String file, Findings findings) {
        super(message(file, findings));
        problems = findings.problems();
    }

    /** The problems in the order of the file, 20 at most. */
    public List<Problem> problems() {
        return problems;
    }

    private static String message(String file, Findings findings) {
        List<String> lines = findings.lines();
        return lines.size() == 1
                ? file + ": " + lines.get(0)
                : file + ": " + findings.count() + " problems\n  " + String.join("\n  ", lines);
    }
}
