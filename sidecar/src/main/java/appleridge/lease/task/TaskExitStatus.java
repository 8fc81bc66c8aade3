package appleridge.lease.task;

/**
 * The exit statuses of {@code task} itself; operators' scripts rely on them. The status of a
 * command that ends by itself is passed on.
 */
final class TaskExitStatus {
    /** The task failed for a reason of its own; the JVM's status for an uncaught exception. */
    static final int FAILED = 1;

    /** The arguments or the operator's file are invalid. */
    static final int USAGE = 2;

    /** The command's guardian was killed before it could report. */
    static final int GUARDIAN_LOST = 70;

    /** The lease's record was deleted and created again while the lease was held. */
    static final int RECORD_RECREATED = 76;

    /** The command can't be started; the same as in shells. */
    static final int COMMAND_NOT_STARTED = 127;

    /** Ended by SIGTERM; the same as in shells. */
    static final int TERMINATED = 143;

    private TaskExitStatus() {}
}
