package appleridge.loadbalancing;

/** How an attempt ended. */
public enum Outcome {
    /** Served; the first one finishes the request. */
    OK(false),
    /** The upstream answered with an error, perhaps after running the request. */
    ERROR(false),
    /** Turned away unseen: queue full or draining. */
    REJECTED(true),
    /** No answer in time; it may have run or may be running still. */
    TIMEOUT(false),
    /** No connection in time: down, unreachable, or its connection table is full. */
    CONNECT_FAILED(true),
    /** The connection broke while the attempt was out. */
    RESET(false),
    /** Withdrawn by this balancer. */
    CANCELLED(false),
    /** Never sent: the request had ended, or it had no attempt or time left. */
    NEVER_SENT(true);

    private final boolean notExecuted;

    Outcome(boolean neverRan) {
        this.notExecuted = neverRan;
    }

    /** Whether this outcome proves that the attempt had no effect. */
    public boolean provesNotExecuted() {
        return notExecuted;
    }
}
