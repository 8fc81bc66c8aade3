package appleridge.loadbalancing;

import java.util.List;
import java.util.SplittableRandom;

/**
 * The part of a large fleet that this sidecar usually sends to: as many hosts as its load keeps
 * busy. If each of many sidecars used the whole fleet, it would reach each host so rarely that
 * nearly every request would need a new connection, and evidence about a host would decay before
 * the host's next turn.
 *
 * <p>The subset is a contiguous range of the hosts sorted by id, starting at a position derived
 * from the sidecar's rank. Together the subsets cover the fleet evenly, which random positions
 * would not.
 */
final class HostSubset {
    /**
     * Concurrent requests per member: high enough that this sidecar's in-flight counts show which
     * members are busy.
     */
    private static final double TARGET_REQUESTS_PER_MEMBER = 0.8;

    /** Enough members to leave a choice when a zone is lost or some hosts are slow. */
    private static final int MIN_SUBSET_SIZE = 6;

    /**
     * With more sidecars per host, a sidecar's in-flight count shows less than an eighth of the
     * host's load.
     */
    private static final double MAX_SIDECARS_PER_OBSERVED_HOST = 8;

    /** Its multiples modulo 1 are evenly spread for any number of sidecars. */
    private static final double GOLDEN_RATIO_FRACTION = (Math.sqrt(5) - 1) / 2;

    /** Whether a host belongs to the subset. */
    static final class Membership {
        private boolean member;
    }

    private final PolicySettings settings;
    private final HostRegistry registry;
    private final PolicyActions actions;
    private final double position;
    private int size = MIN_SUBSET_SIZE;
    private int members;
    private int readyHosts;

    /**
     * @param seed determines the position of a sidecar without a rank; {@link SplittableRandom}
     *     mixes it, which matters because the first draws of {@link java.util.Random} hardly differ
     *     for consecutive seeds
     */
    HostSubset(PolicySettings settings, long seed, HostRegistry registry, PolicyActions actions) {
        this.settings = settings;
        this.registry = registry;
        this.actions = actions;
        this.position =
                settings.rank() < 0
                        ? new SplittableRandom(seed).nextDouble()
                        : settings.rank() * GOLDEN_RATIO_FRACTION % 1;
    }

    /** This sidecar's position in the fleet, from 0 to below 1; evenly spread over all sidecars. */
    double position() {
        return position;
    }

    boolean contains(TrackedHost host) {
        return host.membership.member;
    }

    /** Reassigns the members, and closes idle connections to hosts that no longer are members. */
    void assign() {
        registry.hosts().stream()
                .filter(host -> !host.isReady())
                .forEach(host -> host.membership.member = false);
        List<TrackedHost> ready = registry.ready();
        int from = (int) (position * ready.size());
        for (int i = 0; i < ready.size(); i++) {
            TrackedHost host = ready.get((from + i) % ready.size());
            boolean wasMember = host.membership.member;
            host.membership.member = i < size;
            if (wasMember) {
                closeIfIdleOutsider(host);
            }
        }
        readyHosts = ready.size();
        members = Math.min(size, readyHosts);
    }

    /**
     * Adapts the size to the load: grows at once, but shrinks only if less than half of the size is
     * needed.
     *
     * @param concurrentRequests average number of requests that are open at a time
     * @return whether {@link #assign} has to be called
     */
    boolean resize(double concurrentRequests) {
        int targetSize =
                Math.max(
                        MIN_SUBSET_SIZE,
                        (int) Math.ceil(concurrentRequests / TARGET_REQUESTS_PER_MEMBER));
        if (targetSize <= size && targetSize >= size / 2) {
            return false;
        }
        boolean affectsMembers = Math.min(targetSize, size) < readyHosts;
        size = targetSize;
        return affectsMembers;
    }

    /**
     * Closes idle connections to a host outside of the subset, which are used too rarely to be
     * worth keeping.
     */
    void closeIfIdleOutsider(TrackedHost host) {
        if (host.inFlight() == 0 && !contains(host)) {
            actions.closeIdleConnections(host.id());
        }
    }

    /** The number of members; at least 1. */
    int size() {
        return Math.max(1, members);
    }

    /**
     * The fraction of its share of a member's capacity that this sidecar may use, so that the sum
     * over all sidecars stays within that capacity at a host that has one sidecar more than the
     * average.
     */
    double capacityFraction() {
        return members == readyHosts ? 1 : sidecarsPerHost() / (sidecarsPerHost() + 1);
    }

    /**
     * Whether this sidecar's attempts are too small a part of a host's work to show the host's
     * load.
     */
    boolean isSparse() {
        return sidecarsPerHost() > MAX_SIDECARS_PER_OBSERVED_HOST;
    }

    private double sidecarsPerHost() {
        return (double) settings.replicas() * size() / Math.max(1, readyHosts);
    }
}
