package appleridge.request;

import appleridge.loadbalancing.Outcome;

/**
 * One attempt of a request; its numbers count up from 0 within the request. An attempt that could
 * not be handed to the transport has no handle and ends as {@link Outcome#NEVER_SENT}. Event loop
 * only.
 */
final class Attempt {
    private final PendingRequest request;
    private final int number;
    private final long upstream;
    private final long sentAtNanos;
    private final SendDeadlines deadlines;

    /** Null where it was not handed to the transport. */
    private UpstreamTransport.AttemptHandle handle;

    private Scheduler.ScheduledTask timeout;

    /** Null while it is outstanding. */
    private Outcome outcome;

    Attempt(
            PendingRequest request,
            int number,
            long upstream,
            long sentAtNanos,
            SendDeadlines deadlines) {
        this.request = request;
        this.number = number;
        this.upstream = upstream;
        this.sentAtNanos = sentAtNanos;
        this.deadlines = deadlines;
    }

    PendingRequest request() {
        return request;
    }

    int number() {
        return number;
    }

    /** The host that it goes to. */
    long upstream() {
        return upstream;
    }

    /** When the policy ordered it. */
    long sentAtNanos() {
        return sentAtNanos;
    }

    SendDeadlines deadlines() {
        return deadlines;
    }

    void handedToTransport(UpstreamTransport.AttemptHandle its) {
        handle = its;
    }

    /** Sets the task that times it out; cancelled with its end. */
    void setTimeout(Scheduler.ScheduledTask task) {
        timeout = task;
    }

    void cancelTimeout() {
        if (timeout != null) {
            timeout.cancel();
        }
    }

    void end(Outcome how) {
        outcome = how;
        cancelTimeout();
    }

    boolean hasEnded() {
        return outcome != null;
    }

    /** Whether it is with the transport and has not ended. */
    boolean isCancellable() {
        return outcome == null && handle != null;
    }

    /** The same, and none of its bytes may be with the socket: it can't have been executed. */
    boolean isUnwritten() {
        return isCancellable() && !hasStartedWriting();
    }

    /** Whether any of its bytes may be with the socket. */
    boolean hasStartedWriting() {
        return handle != null && handle.hasStartedWriting();
    }

    /** Whether its last byte is with the socket: from then on the upstream may execute it. */
    boolean isFullyWritten() {
        return handle != null && handle.isFullyWritten();
    }

    /** Nothing more of it is written, and the transport reports nothing more. */
    void cancelTransport() {
        handle.cancel();
    }

    boolean mayHaveExecuted() {
        return hasEnded() ? !outcome.provesNotExecuted() : isFullyWritten();
    }
}
