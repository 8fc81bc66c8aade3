package appleridge.loadbalancing;

/** How an attempt ended. */
public enum Outcome {
    /** Served; the first one is the request's final answer. */
    OK(false),
    /** The host answered with an error, perhaps after executing the request. */
    ERROR(false),
    /** The host rejected it without executing it: its queue is full, or it drains. */
    REJECTED(true),
    /** No answer in time; it may have executed, or may still do so. */
    TIMEOUT(false),
    /** No connection in time: the host is down, unreachable, or takes no more connections. */
    CONNECT_FAILED(true),
    /** The connection broke while the attempt was outstanding. */
    RESET(false),
    /** Cancelled by this policy. */
    CANCELLED(false),
    /** Never sent: the request had ended, or had no attempt or time left. */
    NEVER_SENT(true);

    private final boolean notExecuted;

    Outcome(boolean notExecuted) {
        this.notExecuted = notExecuted;
    }

    /** Whether this outcome proves that the attempt had no effect. */
    public boolean provesNotExecuted() {
        return notExecuted;
    }
}
