package appleridge.config.operator;

import java.util.List;

/**
 * An operator's file that can't be taken as it is. The message names the file, then every problem
 * on a line of its own (on the same line where there is but one).
 */
public final class OperatorFileException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    private final transient List<Problem> problems;

    OperatorFileException(String file, Findings findings) {
        super(message(file, findings));
        problems = findings.problems();
    }

    /** What is wrong, in the order of the file; no more than 20 of them. */
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
