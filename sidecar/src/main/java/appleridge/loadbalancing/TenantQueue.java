package appleridge.loadbalancing;

import java.util.ArrayDeque;

/** One tenant's queued requests, what it has asked for lately, and what it has had of its quota. */
final class TenantQueue {
    /**
     * Newest first: under overload first-in first-out would give every request its answer too late.
     */
    private final ArrayDeque<TrackedRequest> requests = new ArrayDeque<>();

    private final double fairShare;
    private final double quotaPerSecond;

    /** Work in nanoseconds of expected response time. */
    private final DecayingSum sent;

    private final DecayingSum asked;
    private long skippedInPass;

    /** A tenant without a quota counts as having one of 1 a second. */
    TenantQueue(Tenant tenant, double sentWindowNanos, double askedWindowNanos) {
        this.fairShare = tenant.fairShare();
        this.quotaPerSecond = tenant.quotaPerSecond() > 0 ? tenant.quotaPerSecond() : 1;
        this.sent = new DecayingSum(sentWindowNanos);
        this.asked = new DecayingSum(askedWindowNanos);
    }

    void onRequest(long now, TrackedRequest request) {
        asked.add(now, request.expectedNanos());
    }

    void onSent(long now, TrackedRequest request) {
        sent.add(now, request.expectedNanos());
    }

    /**
     * How many times its fair share of all that was asked for it has asked for lately; at least 1.
     *
     * @param allAsked work that all tenants asked for
     * @param workByChance work that may have come together by chance
     */
    double excess(long now, double allAsked, double workByChance) {
        return Math.max(
                1, (asked.value(now) + workByChance) / (fairShare * allAsked + workByChance));
    }

    /** Work sent lately for each unit of its quota. */
    double quotaUsed(long now) {
        return sent.value(now) / quotaPerSecond;
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

    /** Leaves the queue out for the rest of a pass over all queues. */
    void skip(long pass) {
        skippedInPass = pass;
    }

    boolean isCandidate(long pass) {
        return !requests.isEmpty() && skippedInPass != pass;
    }
}
