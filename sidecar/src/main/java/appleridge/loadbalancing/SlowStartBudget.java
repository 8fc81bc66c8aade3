package appleridge.loadbalancing;

import java.util.List;
import java.util.Random;

/**
 * Slow start: limits the requests sent to a host that has just started. All sidecars together must
 * not overload it, or it would fail again and stay down.
 *
 * <p>A warming host takes its own turns with a probability equal to its present fraction of the
 * capacity. Any other request needs credit. The credit grows with the throughput that a warm host
 * of its size reaches for this sidecar ({@link ReferenceThroughput}), times its present fraction of
 * the capacity, times half of the overload factor.
 */
final class SlowStartBudget {
    /**
     * Requests that all sidecars together may send a host beyond its credit in one overload window:
     * half of the constant part of the service's budget of N + 3 sqrt(N) + 3.
     */
    private static final double EXTRA_REQUESTS_PER_OVERLOAD_WINDOW = 1.5;

    /** Only the overload factor and the overload window divided by this are used, as a margin. */
    private static final int SAFETY_DIVISOR = 2;

    /** The credit of one host; work in nanoseconds of expected response time. */
    static final class Credit {
        private final long warmAt;

        /** NaN until the first request that needs it. */
        private double work = Double.NaN;

        private long updatedAt;

        /** The time from which on the host may take one request beyond its credit. */
        private long extraRequestAt;

        private Credit(long now, long warmAt, long extraRequestAt) {
            this.updatedAt = now;
            this.warmAt = warmAt;
            this.extraRequestAt = extraRequestAt;
        }
    }

    private final PolicySettings settings;
    private final SafetyLimits limits;
    private final Random random;
    private final HostSubset subset;
    private final ReferenceThroughput throughput;

    /** The time at which the first of the ready hosts is warm. */
    private long firstWarmAt;

    SlowStartBudget(
            PolicySettings settings,
            Random random,
            HostSubset subset,
            ReferenceThroughput throughput) {
        this.settings = settings;
        this.limits = settings.safetyLimits();
        this.random = random;
        this.subset = subset;
        this.throughput = throughput;
    }

    /** Creates the credit of a new or restarted host; a start time of 0 means that it is warm. */
    Credit newCredit(long now, UpstreamHost endpoint) {
        long warmAt =
                endpoint.startedAtNanos() == 0
                        ? 0
                        : endpoint.startedAtNanos() + limits.slowStartWindowNanos();
        long extraRequestAt = now + (long) (subset.position() * extraRequestIntervalNanos());
        return new Credit(now, warmAt, extraRequestAt);
    }

    void onReadyHostsChanged(List<TrackedHost> ready) {
        firstWarmAt = ready.stream().mapToLong(host -> host.slowStartCredit.warmAt).min().orElse(0);
    }

    /**
     * Whether the host may take the request now. Refills the host's credit and draws random
     * numbers; call it once per host and selection, after all other rules.
     *
     * @param ownTurn whether the cursor of the ring is at this host. A turn passed on by another
     *     host needs credit; otherwise, with the other hosts unavailable, all sidecars would send
     *     to this one.
     */
    boolean admits(long now, TrackedHost host, TrackedRequest request, boolean ownTurn) {
        Credit credit = host.slowStartCredit;
        if (now >= credit.warmAt) {
            return true;
        }
        boolean fleetIsWarmingUp = now < firstWarmAt;
        // The sidecars whose subsets contain the host use its whole capacity.
        if (!subset.contains(host) && !fleetIsWarmingUp) {
            return false;
        }
        double capacity = capacityFraction(now, credit);
        refill(now, host, request, capacity, fleetIsWarmingUp);
        double requiredWork =
                ownTurn && random.nextDouble() < capacity ? -request.expectedNanos() : 0;
        return credit.work >= requiredWork || fleetIsWarmingUp && now >= credit.extraRequestAt;
    }

    /** Linear from the minimum at the host's start to 1 at the end of the slow-start window. */
    private double capacityFraction(long now, Credit credit) {
        double elapsedFraction = 1 - (credit.warmAt - now) / (double) limits.slowStartWindowNanos();
        double min = limits.slowStartMinFraction();
        return min + (1 - min) * Math.max(0, Math.min(1, elapsedFraction));
    }

    private void refill(
            long now,
            TrackedHost host,
            TrackedRequest request,
            double capacity,
            boolean fleetIsWarmingUp) {
        Credit credit = host.slowStartCredit;
        double factor = Math.max(1, limits.overloadFactor() / SAFETY_DIVISOR);
        double rate = throughput.ofWarmHost(now, host, fleetIsWarmingUp) * capacity * factor;
        if (Double.isNaN(credit.work)) {
            // With a start at zero, hundreds of sidecars would send their first request at once.
            credit.work = -random.nextDouble() * request.expectedNanos();
        }
        double max = rate * limits.overloadWindowNanos() / SAFETY_DIVISOR;
        credit.work = Math.min(max, credit.work + rate * (now - credit.updatedAt));
        credit.updatedAt = now;
    }

    /**
     * Charges a sent request to the host's credit, or if that is spent, to the extra requests
     * beyond it. In a fleet that is warming up as a whole, the credit depends on the served work
     * and would fall together with it; the extra requests prevent such a fleet from getting no
     * requests for good.
     */
    void charge(long now, TrackedHost host, TrackedRequest request) {
        Credit credit = host.slowStartCredit;
        if (credit.work < 0) {
            credit.extraRequestAt = now + extraRequestIntervalNanos();
        }
        if (credit.work >= -request.expectedNanos() || now >= credit.warmAt) {
            credit.work -= request.expectedNanos();
        }
    }

    /**
     * The time between two extra requests of this sidecar; all sidecars share the extra requests.
     */
    private long extraRequestIntervalNanos() {
        return (long)
                (settings.replicas()
                        * limits.overloadWindowNanos()
                        / EXTRA_REQUESTS_PER_OVERLOAD_WINDOW);
    }
}
