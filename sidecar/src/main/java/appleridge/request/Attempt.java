package appleridge.request;

import appleridge.loadbalancing.Outcome;

/**
 * One attempt of a request; a request's attempts are numbered from 0. An attempt that is not handed
 * to the transport has no handle and ends as {@link Outcome#NEVER_SENT}. Event loop only.
 */
final class Attempt {
    private final PendingRequest request;
    private final int number;
    private final long upstream;
    private final long sentAtNanos;
    private final SendDeadlines deadlines;

    /** Null if the attempt was not handed to the transport. */
    private UpstreamTransport.AttemptHandle handle;

    /** Null if the attempt was not handed to the transport. */
    private Scheduler.ScheduledTask timeout;

    /** Null while the attempt is outstanding. */
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

    /** The id of the upstream host that the attempt is sent to. */
    long upstream() {
        return upstream;
    }

    /** When the policy ordered the attempt, on the {@link MonotonicClock}. */
    long sentAtNanos() {
        return sentAtNanos;
    }

    SendDeadlines deadlines() {
        return deadlines;
    }

    /** Sets the transport's handle of this attempt. */
    void setHandle(UpstreamTransport.AttemptHandle handle) {
        this.handle = handle;
    }

    /** Sets the task that times the attempt out; {@link #end} cancels it. */
    void setTimeout(Scheduler.ScheduledTask task) {
        timeout = task;
    }

    void cancelTimeout() {
        if (timeout != null) {
            timeout.cancel();
        }
    }

    void end(Outcome outcome) {
        this.outcome = outcome;
        cancelTimeout();
    }

    boolean hasEnded() {
        return outcome != null;
    }

    /** Whether the attempt was handed to the transport and has not ended. */
    boolean isCancellable() {
        return outcome == null && handle != null;
    }

    /**
     * Whether the attempt is cancellable and none of its bytes has been passed to the socket, so
     * that the host can't have executed it.
     */
    boolean isUnwritten() {
        return isCancellable() && !hasStartedWriting();
    }

    /** Whether any byte of the attempt may have been passed to the socket. */
    boolean hasStartedWriting() {
        return handle != null && handle.hasStartedWriting();
    }

    /**
     * Whether the last byte has been passed to the socket; from then on the host may execute the
     * request.
     */
    boolean isFullyWritten() {
        return handle != null && handle.isFullyWritten();
    }

    /**
     * Stops the transport from writing more of the attempt and from reporting anything about it.
     */
    void cancelTransport() {
        handle.cancel();
    }

    /** Streams a response that is held for a retry; returns false if there is none. */
    boolean streamHeldResponse() {
        return isCancellable() && handle.streamHeldResponse();
    }

    /** Whether the host may have executed the request, or may once the rest of it is written. */
    boolean mayHaveBegunExecution() {
        return mayHaveExecuted() || !hasEnded() && hasStartedWriting();
    }

    /** Whether the host may have executed the request. */
    boolean mayHaveExecuted() {
        return hasEnded() ? !outcome.provesNotExecuted() : isFullyWritten();
    }
}
