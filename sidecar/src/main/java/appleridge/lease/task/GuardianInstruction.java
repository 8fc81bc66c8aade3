package appleridge.lease.task;

import appleridge.lease.store.LeaseClock;

/**
 * One line from a task to its guardian. Both sides may be of different versions while a jar is
 * replaced, so the lines stay as they are.
 */
final class GuardianInstruction {
    /** Ends the command now. */
    static final String STOP = "stop";

    /** Stands for the end of the input: the task is gone. Never sent. */
    static final String TASK_GONE = "gone";

    private static final String RUN_UNTIL = "go";

    private GuardianInstruction() {}

    /** Starts the command, or lets it run on, until a moment. */
    static String runUntil(LeaseClock.Moment deadline) {
        return RUN_UNTIL + " " + deadline.nanos() + " " + deadline.uptimeNanos();
    }

    /** Whether the command is to be ended. */
    static boolean isEnd(String line) {
        String verb = verb(line);
        return verb.equals(STOP) || verb.equals(TASK_GONE);
    }

    /** Whether no more lines will come. */
    static boolean isTaskGone(String line) {
        return verb(line).equals(TASK_GONE);
    }

    /** Whether the command may start. */
    static boolean isRun(String line) {
        return verb(line).equals(RUN_UNTIL);
    }

    /**
     * The moment in a line that isn't an end.
     *
     * @throws RuntimeException if the line makes no sense
     */
    static LeaseClock.Moment deadline(String line) {
        String[] words = line.split(" ");
        return new LeaseClock.Moment(Long.parseLong(words[1]), Long.parseLong(words[2]));
    }

    private static String verb(String line) {
        return line.split(" ")[0];
    }
}
