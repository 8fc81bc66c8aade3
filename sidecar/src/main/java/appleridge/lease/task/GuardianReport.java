package appleridge.lease.task;

/**
 * The outcome of a guarded command, which its guardian writes to a file. While a jar is being
 * replaced, both sides may run different versions, so the texts must not change.
 *
 * @param text the content of the file; empty if the guardian was killed before it could report
 */
record GuardianReport(String text) {
    /** The command was not started. */
    static final GuardianReport NOT_STARTED = new GuardianReport("never");

    /** The command can't be started. */
    static final GuardianReport COMMAND_NOT_FOUND = new GuardianReport("no-command");

    /** All processes were ended as requested; the command's exit status is unknown. */
    static final GuardianReport STOPPED = new GuardianReport("stopped ");

    private static final String ENDED_PREFIX = "ended ";

    /** The command ended by itself. */
    static GuardianReport ended(int exitStatus) {
        return new GuardianReport(ENDED_PREFIX + exitStatus);
    }

    /** The command was stopped. */
    static GuardianReport stopped(int exitStatus) {
        return new GuardianReport(STOPPED.text + exitStatus);
    }

    /** Whether the command ended by itself; only then is there an {@link #exitStatus}. */
    boolean isEnded() {
        return text.startsWith(ENDED_PREFIX);
    }

    /** Whether the command can't be started. */
    boolean isCommandNotFound() {
        return equals(COMMAND_NOT_FOUND);
    }

    /** Whether the guardian was killed before it could report. */
    boolean isMissing() {
        return text.isEmpty();
    }

    /** The exit status of a command that ended by itself. */
    int exitStatus() {
        return Integer.parseInt(text.substring(ENDED_PREFIX.length()));
    }
}
