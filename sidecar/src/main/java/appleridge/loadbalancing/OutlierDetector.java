package appleridge.loadbalancing;

/**
 * Evidence against each host, from this sidecar's own attempts and from its peers' notes. It
 * decays, and a host with more of it than the others takes fewer turns; none is ejected for it.
 */
final class OutlierDetector {
    /** An answer that is late, lost or rejected. */
    static final int MINOR = 1;

    /**
     * An error or a failed connect, which cost a request at once; the most that a peer may tell.
     */
    static final int SEVERE = 2;

    /** Evidence against one host that may be chance. */
    private static final double EVIDENCE_BY_CHANCE = 1;

    /** Window of the decay: a late answer still counts when the next ones come. */
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

    /** Against all members of the subset together. */
    private final DecayingSum subsetEvidence;

    OutlierDetector(
            PolicySettings settings, HostRegistry registry, HostSubset subset, GossipNotes gossip) {
        this.registry = registry;
        this.subset = subset;
        this.gossip = gossip;
        this.windowNanos = OBJECTIVES_PER_WINDOW * settings.longestObjectiveNanos();
        this.subsetEvidence = new DecayingSum(windowNanos);
    }

    /** The time over which evidence decays. */
    double windowNanos() {
        return windowNanos;
    }

    Evidence newEvidence() {
        return new Evidence(windowNanos);
    }

    /** First-hand evidence: counted here and, as far as the budget goes, sent to the peers. */
    void report(long now, TrackedHost host, int weight) {
        count(now, host, weight);
        gossip.broadcast(host.id(), weight);
    }

    /** A peer's evidence; what is malformed or names no known host is ignored. */
    void onGossip(long now, byte[] message) {
        if (GossipNotes.isNote(message)) {
            int weight = (int) Math.min(GossipNotes.weight(message), SEVERE);
            registry.find(GossipNotes.hostId(message)).ifPresent(host -> count(now, host, weight));
        }
    }

    /** Peers report on the whole fleet, but the mean is taken over this sidecar's subset. */
    private void count(long now, TrackedHost host, int weight) {
        host.evidence.sum.add(now, weight);
        if (subset.contains(host)) {
            subsetEvidence.add(now, weight);
        }
    }

    /**
     * The part of its turns that a host takes, above 0 and at most 1: all of them unless there is
     * more evidence against it than against the others. A fault common to all hosts thus changes
     * nothing, or it would leave none to send to.
     */
    double turnFraction(long now, TrackedHost host) {
        double mean = subsetEvidence.value(now) / subset.size();
        double fraction =
                (mean + EVIDENCE_BY_CHANCE) / (host.evidence.sum.value(now) + EVIDENCE_BY_CHANCE);
        return fraction >= 1 ? 1 : fraction * fraction;
    }
}
