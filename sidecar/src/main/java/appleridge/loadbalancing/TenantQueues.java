package appleridge.loadbalancing;

import java.util.Arrays;
import java.util.Comparator;
import java.util.Optional;

/**
 * The requests that wait for capacity, by tenant. Only this class changes {@link
 * TrackedRequest#isQueued}.
 */
final class TenantQueues {
    /**
     * Window of a tenant's sent work: long compared with a response time, short compared with a
     * burst of a few seconds.
     */
    private static final double OBJECTIVES_PER_SENT_WINDOW = 4.0;

    /** The tenant of all requests if the settings name none. */
    private static final Tenant DEFAULT_TENANT = new Tenant(1, 1);

    private final TenantQueue[] queues;
    private int size;

    TenantQueues(PolicySettings settings, double requestedWindowNanos) {
        double sentWindowNanos =
                OBJECTIVES_PER_SENT_WINDOW * settings.classes().get(0).latencyObjectiveNanos();
        queues = new TenantQueue[Math.max(1, settings.tenants().size())];
        for (int i = 0; i < queues.length; i++) {
            Tenant tenant =
                    settings.tenants().isEmpty() ? DEFAULT_TENANT : settings.tenants().get(i);
            queues[i] = new TenantQueue(tenant, sentWindowNanos, requestedWindowNanos);
        }
    }

    /** The queue of the request's tenant; unknown tenants share the queue of the last one. */
    TenantQueue of(TrackedRequest request) {
        return queues[Math.min(request.info().tenant(), queues.length - 1)];
    }

    boolean isEmpty() {
        return size == 0;
    }

    /** The number of queued requests, counted in the queues themselves. */
    int countRequests() {
        return Arrays.stream(queues).mapToInt(TenantQueue::size).sum();
    }

    void add(TrackedRequest request) {
        request.setQueued(true);
        of(request).push(request);
        size++;
    }

    /** Does nothing for a request that is not queued. */
    void remove(TrackedRequest request) {
        if (request.isQueued()) {
            request.setQueued(false);
            of(request).remove(request);
            size--;
        }
    }

    /**
     * The queue with the least sent work per quota among those that hold requests and were not
     * skipped in this pass.
     */
    Optional<TenantQueue> leastServed(long now, long pass) {
        return Arrays.stream(queues)
                .filter(queue -> queue.isCandidate(pass))
                .min(Comparator.comparingDouble(queue -> queue.sentWorkPerQuota(now)));
    }
}
