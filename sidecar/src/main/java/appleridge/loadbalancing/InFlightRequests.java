package appleridge.loadbalancing;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Holds all requests from their arrival until they are answered and their last attempt has ended,
 * and gives each its one final answer.
 */
final class InFlightRequests {
    private final PolicySettings settings;
    private final TimerQueue timers;
    private final TenantQueues queues;
    private final LatencyThresholds thresholds;
    private final RetryPolicy retryPolicy;
    private final PolicyActions actions;
    private final ElapsedTimeEstimator elapsedTime;
    private final Map<Long, TrackedRequest> requests = new HashMap<>();

    InFlightRequests(
            PolicySettings settings,
            TimerQueue timers,
            TenantQueues queues,
            LatencyThresholds thresholds,
            RetryPolicy retryPolicy,
            PolicyActions actions) {
        this.settings = settings;
        this.timers = timers;
        this.queues = queues;
        this.thresholds = thresholds;
        this.retryPolicy = retryPolicy;
        this.actions = actions;
        this.elapsedTime = new ElapsedTimeEstimator(settings);
    }

    /** Tracks a new request, which is answered at its deadline unless its response has started. */
    TrackedRequest open(long now, RequestInfo info) {
        TrackedRequest request =
                new TrackedRequest(
                        info,
                        settings.classes().get(info.requestClass()),
                        now,
                        elapsedTime.elapsedNanos(info),
                        thresholds.expectedNanos(info));
        requests.put(info.id(), request);
        timers.schedule(
                request.deadline(),
                at -> {
                    if (!request.isStreaming()) {
                        answer(request, AnswerReason.DEADLINE_PASSED);
                    }
                });
        return request;
    }

    Optional<TrackedRequest> find(long id) {
        return Optional.ofNullable(requests.get(id));
    }

    /**
     * Gives the final answer unless the request already has one: rejected if the client may safely
     * retry, failed otherwise.
     */
    void answer(TrackedRequest request, AnswerReason reason) {
        if (request.isClosed()) {
            return;
        }
        long id = request.info().id();
        if (retryPolicy.isClientRetrySafe(request)) {
            Capabilities capabilities = settings.capabilities();
            long maxRetryAfterNanos =
                    capabilities.retryAfter() ? capabilities.maxRetryAfterNanos() : 0;
            actions.reject(id, Math.min(maxRetryAfterNanos, request.objectiveNanos() / 2), reason);
        } else {
            actions.fail(id, reason);
        }
        close(request);
    }

    /**
     * Closes a request that has its answer or whose client has left: no further attempt is sent. An
     * outstanding attempt is cancelled if the embedder supports that, and counts as in flight until
     * its outcome is reported.
     */
    void close(TrackedRequest request) {
        if (!request.isClosed()
                && request.isAttemptOutstanding()
                && !request.isStreaming()
                && settings.capabilities().cancellation()) {
            actions.cancelAttempt(request.info().id(), request.attemptCount() - 1);
        }
        request.close();
        queues.remove(request);
        if (!request.isAttemptOutstanding()) {
            requests.remove(request.info().id());
        }
    }
}
