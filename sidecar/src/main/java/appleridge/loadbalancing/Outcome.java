package appleridge.loadbalancing;

/** How an attempt ended. */
public enum Outcome {
    /** The host has served the request; the first such response is the request's final answer. */
    OK(false),
    /** The host responded with an error, possibly after executing the request. */
    ERROR(false),
    /** The host rejected the attempt without executing it: its queue is full or it is draining. */
    REJECTED(true),
    /** No response in time; the request may have executed or may still do so. */
    TIMEOUT(false),
    /** No connection in time: the host is down, unreachable, or accepts no more connections. */
    CONNECT_FAILED(true),
    /** The connection broke while the attempt was outstanding. */
    RESET(false),
    /** The policy cancelled the attempt. */
    CANCELLED(false),
    /** The attempt was never sent: the request had ended, or had no attempt or time left. */
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
