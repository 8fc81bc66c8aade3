package appleridge.loadbalancing;

import java.util.List;
import java.util.SplittableRandom;

/**
 * The part of a large fleet that this sidecar usually sends to: as many hosts as its load keeps
 * busy. Were each of many sidecars to use the whole fleet, it would see a host so seldom that
 * nearly every request paid for a new connection, and no evidence would last until the next turn.
 *
 * <p>The subset is a run of hosts, sorted by id, from a position that follows from the sidecar's
 * rank. Together the subsets cover the fleet evenly, which positions drawn by chance would not.
 */
final class HostSubset {
    /** Concurrent requests per member: high enough that own in-flight counts tell busy ones. */
    private static final double TARGET_REQUESTS_PER_MEMBER = 0.8;

    /** So many members leave a choice with a zone lost or some hosts slow. */
    private static final int MIN_SUBSET_SIZE = 6;

    /** With more sidecars per host, own in-flight counts show less than an eighth of its load. */
    private static final double MAX_SIDECARS_PER_OBSERVED_HOST = 8;

    /** Its multiples modulo 1 lie evenly, however many there are of them. */
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
     * @param seed gives the position where the sidecar has no rank; it is mixed first, since the
     *     first draws of consecutive seeds hardly differ
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

    /** This sidecar's place in the fleet: from 0 to below 1, even over all sidecars. */
    double position() {
        return position;
    }

    boolean contains(TrackedHost host) {
        return host.membership.member;
    }

    /** Chooses the members anew; idle connections to hosts that no longer belong are closed. */
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
     * Follows the load: grows at once, but shrinks only when half of the size is too much.
     *
     * @param concurrentRequests average number of requests that are open at a time
     * @return whether the members have to be assigned anew
     */
    boolean resize(double concurrentRequests) {
        int wanted =
                Math.max(
                        MIN_SUBSET_SIZE,
                        (int) Math.ceil(concurrentRequests / TARGET_REQUESTS_PER_MEMBER));
        if (wanted <= size && wanted >= size / 2) {
            return false;
        }
        boolean affectsMembers = Math.min(wanted, size) < readyHosts;
        size = wanted;
        return affectsMembers;
    }

    /** A connection to a host outside of the subset is used too seldom to be worth keeping. */
    void closeIfIdleOutsider(TrackedHost host) {
        if (host.inFlight() == 0 && !contains(host)) {
            actions.closeIdleConnections(host.id());
        }
    }

    /** Number of members; at least 1. */
    int size() {
        return Math.max(1, members);
    }

    /**
     * Part of its share in a member's capacity that this sidecar may count on, so that the sum over
     * all sidecars stays within that capacity where a host has one sidecar more than the average.
     */
    double capacityFraction() {
        return members == readyHosts ? 1 : sidecarsPerHost() / (sidecarsPerHost() + 1);
    }

    /** Whether this sidecar's attempts are so small a part of a host's work as to show little. */
    boolean isSparse() {
        return sidecarsPerHost() > MAX_SIDECARS_PER_OBSERVED_HOST;
    }

    private double sidecarsPerHost() {
        return (double) settings.replicas() * size() / Math.max(1, readyHosts);
    }
}
