package appleridge.loadbalancing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** A client's request from its arrival until it is answered and its last attempt has ended. */
final class TrackedRequest {
    /**
     * From this part of the value on a late answer is worth waiting for until the deadline; below
     * it the request is worthless once the objective has passed.
     */
    private static final double MIN_LATE_VALUE_TO_WAIT_FOR = 0.5;

    /**
     * The expected time is at least the objective divided by this: timers an expected time of zero
     * apart would never move on.
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
     * @param elapsedNanos what the client has spent on earlier attempts of its own
     * @param baselineNanos the usual response time of such a request
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

    /** When the client gives up. */
    long deadline() {
        return deadline;
    }

    /** Its class's latency objective, stretched by its cost and cut at the class's deadline. */
    long objectiveNanos() {
        return objectiveNanos;
    }

    /** From when on an answer is worth too little to be sent for. */
    long valueExpiresAt() {
        return valueExpiresAt;
    }

    /** Expected response time when it arrived; positive. The unit of work of all budgets. */
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

    /** The earliest attempt that is not proven to have had no effect. */
    Optional<TrackedAttempt> firstPossiblyExecutedAttempt() {
        return attempts.stream().filter(TrackedAttempt::mayHaveExecuted).findFirst();
    }

    boolean isClosed() {
        return closed;
    }

    /** The request has its final answer or its client has left; only its attempt may be out. */
    void close() {
        closed = true;
    }

    /** Whether it waits for capacity; written by {@link TenantQueues} alone. */
    boolean isQueued() {
        return queued;
    }

    void setQueued(boolean queued) {
        this.queued = queued;
    }

    /** Whether its answer or its own body is on the way, so that nothing else can be tried. */
    boolean isStreaming() {
        return streaming;
    }

    void startStreaming() {
        streaming = true;
    }
}
