package appleridge.loadbalancing;

import java.util.ArrayDeque;

/** One tenant's queued requests, and the work that it has recently requested and been sent. */
final class TenantQueue {
    /** Newest first: under overload, first-in first-out would answer every request too late. */
    private final ArrayDeque<TrackedRequest> requests = new ArrayDeque<>();

    private final double fairShare;
    private final double quotaPerSecond;

    /** In nanoseconds of expected response time. */
    private final DecayingSum sentWork;

    /** In nanoseconds of expected response time. */
    private final DecayingSum requestedWork;

    private long skippedInPass;

    /** A tenant without a quota is given a quota of 1 request per second. */
    TenantQueue(Tenant tenant, double sentWindowNanos, double requestedWindowNanos) {
        this.fairShare = tenant.fairShare();
        this.quotaPerSecond = tenant.quotaPerSecond() > 0 ? tenant.quotaPerSecond() : 1;
        this.sentWork = new DecayingSum(sentWindowNanos);
        this.requestedWork = new DecayingSum(requestedWindowNanos);
    }

    void onRequest(long now, TrackedRequest request) {
        requestedWork.add(now, request.expectedNanos());
    }

    void onSent(long now, TrackedRequest request) {
        sentWork.add(now, request.expectedNanos());
    }

    /**
     * The work that the tenant has recently requested as a multiple of its fair share of all
     * requested work; at least 1.
     *
     * @param totalRequestedWork work that all tenants have recently requested
     * @param burstAllowance work added to both sides of the ratio, so that a few requests that
     *     arrive together by chance do not count as an excess
     */
    double excessOverFairShare(long now, double totalRequestedWork, double burstAllowance) {
        return Math.max(
                1,
                (requestedWork.value(now) + burstAllowance)
                        / (fairShare * totalRequestedWork + burstAllowance));
    }

    /** Recently sent work per unit of the tenant's quota. */
    double sentWorkPerQuota(long now) {
        return sentWork.value(now) / quotaPerSecond;
    }

    void push(TrackedRequest request) {
        requests.push(request);
    }

    void remove(TrackedRequest request) {
        requests.remove(request);
    }

    /** The newest request, or null if there is none. */
    TrackedRequest peek() {
        return requests.peek();
    }

    int size() {
        return requests.size();
    }

    /** Excludes the queue for the rest of the given pass over all queues. */
    void skip(long pass) {
        skippedInPass = pass;
    }

    boolean isCandidate(long pass) {
        return !requests.isEmpty() && skippedInPass != pass;
    }
}
