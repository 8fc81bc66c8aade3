package appleridge.loadbalancing;

import java.util.List;
import java.util.Random;

/**
 * Slow start: what a host that has just started may be sent. All sidecars together must not
 * overload it, for it would fall over and stay down.
 *
 * <p>A warming host takes as many of its own turns as it has of its capacity. Beyond that it needs
 * credit, which grows with the throughput of a warm host of its size for this sidecar ({@link
 * ReferenceThroughput}), times its present capacity, times half of the overload factor.
 */
final class SlowStartBudget {
    /**
     * Requests that all sidecars together may send a host beyond its credit in one overload window:
     * half of the constant part of the service's budget of N + 3 sqrt(N) + 3.
     */
    private static final double EXTRA_REQUESTS_PER_OVERLOAD_WINDOW = 1.5;

    /** Part of the overload factor, and of the overload window, that is made use of. */
    private static final int SAFETY_DIVISOR = 2;

    /** One host's warming up; work in nanoseconds of expected response time. */
    static final class Credit {
        private final long warmAt;

        /** Not a number until the first request that asks for it. */
        private double work = Double.NaN;

        private long updatedAt;

        /** From when on it may take one request beyond its credit. */
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

    /** When the first of the ready hosts is warm. */
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

    /** The budget of a new or restarted host; a start time of 0 means that it is warm. */
    Credit newCredit(long now, UpstreamHost endpoint) {
        long warmAt =
                endpoint.startedAtNanos() == 0
                        ? 0
                        : endpoint.startedAtNanos() + limits.slowStartWindowNanos();
        long extraRequestAt = now + (long) (subset.position() * extraRequestIntervalNanos());
        return new Credit(now, warmAt, extraRequestAt);
    }

    void onReadyHostsChanged(List<TrackedHost> ready) {
        firstWarmAt = ready.stream().mapToLong(host -> host.slowStart.warmAt).min().orElse(0);
    }

    /**
     * Whether the host may take the request now. Refills the host's credit and draws random
     * numbers, so that it is asked once per host and pick, after all other rules.
     *
     * @param ownTurn the ring points to this host. Turns that others have passed on need credit:
     *     with the other hosts unavailable, all sidecars would turn to this one.
     */
    boolean admits(long now, TrackedHost host, TrackedRequest request, boolean ownTurn) {
        Credit credit = host.slowStart;
        if (now >= credit.warmAt) {
            return true;
        }
        boolean fleetIsWarmingUp = now < firstWarmAt;
        // The sidecars to whose subsets it belongs use up the whole of what it can do.
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
        double passed = 1 - (credit.warmAt - now) / (double) limits.slowStartWindowNanos();
        double min = limits.slowStartMinFraction();
        return min + (1 - min) * Math.max(0, Math.min(1, passed));
    }

    private void refill(
            long now,
            TrackedHost host,
            TrackedRequest request,
            double capacity,
            boolean fleetIsWarmingUp) {
        Credit credit = host.slowStart;
        double factor = Math.max(1, limits.overloadFactor() / SAFETY_DIVISOR);
        double rate = throughput.ofWarmHost(now, host, fleetIsWarmingUp) * capacity * factor;
        if (Double.isNaN(credit.work)) {
            // From zero, hundreds of sidecars would each send their first request at the same time.
            credit.work = -random.nextDouble() * request.expectedNanos();
        }
        double max = rate * limits.overloadWindowNanos() / SAFETY_DIVISOR;
        credit.work = Math.min(max, credit.work + rate * (now - credit.updatedAt));
        credit.updatedAt = now;
    }

    /**
     * Takes a request that is sent off the host's credit, or where that is spent, off what it may
     * take beyond. In a fleet that is warming up as a whole the credit follows what is served and
     * would fall with it: the extra requests keep such a fleet from being shut for good.
     */
    void charge(long now, TrackedHost host, TrackedRequest request) {
        Credit credit = host.slowStart;
        if (credit.work < 0) {
            credit.extraRequestAt = now + extraRequestIntervalNanos();
        }
        if (credit.work >= -request.expectedNanos() || now >= credit.warmAt) {
            credit.work -= request.expectedNanos();
        }
    }

    /** The extra requests are shared among all sidecars. */
    private long extraRequestIntervalNanos() {
        return (long)
                (settings.replicas()
                        * limits.overloadWindowNanos()
                        / EXTRA_REQUESTS_PER_OVERLOAD_WINDOW);
    }
}
