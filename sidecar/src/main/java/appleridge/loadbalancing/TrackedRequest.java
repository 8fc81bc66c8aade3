package appleridge.loadbalancing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** A client's request from its arrival until it is answered and its last attempt has ended. */
final class TrackedRequest {
    /**
     * With at least this fraction of its value, a late answer is worth waiting for until the
     * deadline; with less, the request's value expires with its objective.
     */
    private static final double MIN_LATE_VALUE_TO_WAIT_FOR = 0.5;

    /**
     * The expected time is at least the objective divided by this: a timer repeated after an
     * expected time of zero would never advance.
     */
    private static final double MAX_OBJECTIVE_MULTIPLE_OF_EXPECTED = 1000.0;

    private final RequestInfo info;
    private final RequestClass requestClass;
    private final long deadline;
    private final long objectiveNanos;
    private final long valueExpiresAt;
    private final double expectedNanos;
    private final List<TrackedAttempt> attempts = new ArrayList<>(2);
    private boolean closed;
    private boolean queued;
    private boolean streaming;

    /**
     * @param elapsedNanos time that the client has spent on earlier attempts of its own
     * @param baselineNanos the average response time of such requests
     */
    TrackedRequest(
            RequestInfo info,
            RequestClass requestClass,
            long now,
            long elapsedNanos,
            double baselineNanos) {
        this.info = info;
        this.requestClass = requestClass;
        this.deadline = now + info.remainingNanos();
        double stretched =
                requestClass.latencyObjectiveNanos()
                        + requestClass.objectiveStretch() * info.costHintNanos();
        this.objectiveNanos = (long) Math.min(stretched, requestClass.deadlineNanos());
        long valueNanos =
                requestClass.lateValueFraction() >= MIN_LATE_VALUE_TO_WAIT_FOR
                        ? requestClass.deadlineNanos()
                        : objectiveNanos;
        this.valueExpiresAt =
                now - elapsedNanos + Math.min(info.remainingNanos() + elapsedNanos, valueNanos);
        this.expectedNanos =
                Math.max(objectiveNanos / MAX_OBJECTIVE_MULTIPLE_OF_EXPECTED, baselineNanos);
    }

    RequestInfo info() {
        return info;
    }

    RequestClass requestClass() {
        return requestClass;
    }

    /** The time at which the client gives up. */
    long deadline() {
        return deadline;
    }

    /**
     * The class's latency objective, stretched by the cost hint and limited by the class's
     * deadline.
     */
    long objectiveNanos() {
        return objectiveNanos;
    }

    /** The time from which on an answer is worth too little to send an attempt for. */
    long valueExpiresAt() {
        return valueExpiresAt;
    }

    /** The expected response time on arrival; positive. All budgets measure work in this time. */
    double expectedNanos() {
        return expectedNanos;
    }

    int attemptCount() {
        return attempts.size();
    }

    boolean hasAttempts() {
        return !attempts.isEmpty();
    }

    TrackedAttempt attempt(int number) {
        return attempts.get(number);
    }

    void addAttempt(TrackedAttempt attempt) {
        attempts.add(attempt);
    }

    boolean wasSentTo(TrackedHost host) {
        for (int i = 0; i < attempts.size(); i++) {
            if (attempts.get(i).host() == host) {
                return true;
            }
        }
        return false;
    }

    /** Whether its last attempt is outstanding; there is never more than one. */
    boolean isAttemptOutstanding() {
        return !attempts.isEmpty() && attempts.get(attempts.size() - 1).isOutstanding();
    }

    /** The earliest attempt that may have executed. */
    Optional<TrackedAttempt> firstPossiblyExecutedAttempt() {
        return attempts.stream().filter(TrackedAttempt::mayHaveExecuted).findFirst();
    }

    boolean isClosed() {
        return closed;
    }

    /**
     * The request has its final answer or its client has left; its last attempt may still be
     * outstanding.
     */
    void close() {
        closed = true;
    }

    /** Whether it waits for capacity; changed only by {@link TenantQueues}. */
    boolean isQueued() {
        return queued;
    }

    void setQueued(boolean queued) {
        this.queued = queued;
    }

    /** Whether its response or its body is being streamed, so that no other attempt is possible. */
    boolean isStreaming() {
        return streaming;
    }

    void startStreaming() {
        streaming = true;
    }
}
