package appleridge.loadbalancing;

/**
 * Collects evidence against each host from this sidecar's own attempts and from its peers' gossip.
 * The evidence decays. A host with more evidence than the others takes fewer turns, but is never
 * ejected because of it.
 */
final class OutlierDetector {
    /** Weight of a late or lost response, or of a rejection. */
    static final int MINOR = 1;

    /**
     * Weight of an error or a failed connect, which costs a request an attempt at once; the largest
     * weight accepted from a peer.
     */
    static final int SEVERE = 2;

    /** Evidence against one host that may have arisen by chance. */
    private static final double CHANCE_EVIDENCE = 1;

    /**
     * Window of the decay, long enough that a late response still counts when the next ones arrive.
     */
    private static final double OBJECTIVES_PER_WINDOW = 4.0;

    /** The evidence against one host. */
    static final class Evidence {
        private final DecayingSum sum;

        private Evidence(double windowNanos) {
            sum = new DecayingSum(windowNanos);
        }
    }

    private final HostRegistry registry;
    private final HostSubset subset;
    private final GossipNotes gossip;
    private final double windowNanos;

    /** The evidence against all members of the subset together. */
    private final DecayingSum subsetEvidence;

    OutlierDetector(
            PolicySettings settings, HostRegistry registry, HostSubset subset, GossipNotes gossip) {
        this.registry = registry;
        this.subset = subset;
        this.gossip = gossip;
        this.windowNanos = OBJECTIVES_PER_WINDOW * settings.longestObjectiveNanos();
        this.subsetEvidence = new DecayingSum(windowNanos);
    }

    /** The window over which evidence decays. */
    double windowNanos() {
        return windowNanos;
    }

    Evidence newEvidence() {
        return new Evidence(windowNanos);
    }

    /**
     * Records first-hand evidence, and sends it to the peers as far as the gossip budget allows.
     */
    void report(long now, TrackedHost host, int weight) {
        addEvidence(now, host, weight);
        gossip.broadcast(host.id(), weight);
    }

    /**
     * Records a peer's evidence. Messages that are malformed or name an unknown host are ignored.
     */
    void onGossip(long now, byte[] message) {
        if (GossipNotes.isNote(message)) {
            int weight = (int) Math.min(GossipNotes.weight(message), SEVERE);
            registry.find(GossipNotes.hostId(message))
                    .ifPresent(host -> addEvidence(now, host, weight));
        }
    }

    /**
     * Evidence from peers concerns the whole fleet, but {@link #turnFraction} compares with the
     * mean of this sidecar's subset only.
     */
    private void addEvidence(long now, TrackedHost host, int weight) {
        host.evidence.sum.add(now, weight);
        if (subset.contains(host)) {
            subsetEvidence.add(now, weight);
        }
    }

    /**
     * The fraction of its turns that a host takes, above 0 and at most 1. It is 1 unless there is
     * more evidence against the host than against the others. A fault common to all hosts therefore
     * changes nothing; otherwise it would leave no host to send to.
     */
    double turnFraction(long now, TrackedHost host) {
        double mean = subsetEvidence.value(now) / subset.size();
        double fraction =
                (mean + CHANCE_EVIDENCE) / (host.evidence.sum.value(now) + CHANCE_EVIDENCE);
        return fraction >= 1 ? 1 : fraction * fraction;
    }
}
