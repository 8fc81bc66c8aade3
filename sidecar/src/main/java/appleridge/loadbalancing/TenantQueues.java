package appleridge.loadbalancing;

import java.util.Arrays;
import java.util.Comparator;
import java.util.Optional;

/** The requests that wait for capacity, by tenant. Owns {@link TrackedRequest#isQueued}. */
final class TenantQueues {
    /** Window of a tenant's use: long against an answer, short against a burst of some seconds. */
    private static final double OBJECTIVES_PER_USE_WINDOW = 4.0;

    /** Without tenants all requests belong to this one. */
    private static final Tenant ONLY_TENANT = new Tenant(1, 1);

    private final TenantQueue[] queues;
    private int size;

    TenantQueues(PolicySettings settings, double askedWindowNanos) {
        double useWindowNanos =
                OBJECTIVES_PER_USE_WINDOW * settings.classes().get(0).latencyObjectiveNanos();
        queues = new TenantQueue[Math.max(1, settings.tenants().size())];
        for (int i = 0; i < queues.length; i++) {
            Tenant tenant = settings.tenants().isEmpty() ? ONLY_TENANT : settings.tenants().get(i);
            queues[i] = new TenantQueue(tenant, useWindowNanos, askedWindowNanos);
        }
    }

    /** The queue of the request's tenant; unknown tenants share that of the last one. */
    TenantQueue of(TrackedRequest request) {
        return queues[Math.min(request.info().tenant(), queues.length - 1)];
    }

    boolean isEmpty() {
        return size == 0;
    }

    /** Requests that the queues hold, counted one by one. */
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

    /** Of the queues that hold requests and were not skipped in this pass, the least served one. */
    Optional<TenantQueue> leastServed(long now, long pass) {
        return Arrays.stream(queues)
                .filter(queue -> queue.isCandidate(pass))
                .min(Comparator.comparingDouble(queue -> queue.quotaUsed(now)));
    }
}
