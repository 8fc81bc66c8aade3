package appleridge.lease.task;

import appleridge.lease.store.LeaseClock;

/**
 * One line from a task to its guardian. While a jar is being replaced, both sides may run different
 * versions, so the format of the lines must not change.
 */
final class GuardianInstruction {
    /** Ends the command now. */
    static final String STOP = "stop";

    /** Represents the end of the input, when the task has gone. Never sent. */
    static final String TASK_GONE = "gone";

    private static final String RUN_UNTIL = "go";

    private GuardianInstruction() {}

    /** Lets the command start, or continue, until a moment. */
    static String runUntil(LeaseClock.Moment deadline) {
        return RUN_UNTIL + " " + deadline.nanos() + " " + deadline.uptimeNanos();
    }

    /** Whether the command has to be ended. */
    static boolean requiresEnd(String line) {
        String verb = verb(line);
        return verb.equals(STOP) || verb.equals(TASK_GONE);
    }

    /** Whether the task has gone, so that no more lines follow. */
    static boolean isTaskGone(String line) {
        return verb(line).equals(TASK_GONE);
    }

    /** Whether the command may start. */
    static boolean allowsStart(String line) {
        return verb(line).equals(RUN_UNTIL);
    }

    /**
     * Parses the moment in a line made by {@link #runUntil}.
     *
     * @throws RuntimeException if the line is malformed
     */
    static LeaseClock.Moment deadline(String line) {
        String[] words = line.split(" ");
        return new LeaseClock.Moment(Long.parseLong(words[1]), Long.parseLong(words[2]));
    }

    private static String verb(String line) {
        return line.split(" ")[0];
    }
}
