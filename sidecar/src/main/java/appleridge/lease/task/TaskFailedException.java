package appleridge.lease.task;

import java.time.Duration;

/** A task has ended because it failed itself, not because its command failed. */
final class TaskFailedException extends IllegalStateException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception; its message names the lease and how long the task had run.
     *
     * @param lease the lease's name
     */
    TaskFailedException(String lease, Duration elapsed, Throwable cause) {
        super("task under lease " + lease + " failed after " + elapsed.toMillis() + " ms", cause);
    }
}
