package appleridge.lease.task;

import java.time.Duration;

/** A task ended because of a failure of its own, not of its command. */
final class TaskFailedException extends IllegalStateException {
    private static final long serialVersionUID = 1L;

    /**
     * Names the lease and how long the task had run.
     *
     * @param lease the lease's name
     */
    TaskFailedException(String lease, Duration after, Throwable cause) {
        super("task under lease " + lease + " failed after " + after.toMillis() + " ms", cause);
    }
}
