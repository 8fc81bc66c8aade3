package appleridge.loadbalancing;

import java.util.List;
import java.util.Random;

/**
 * Weighted turns: each time the ring reaches a host, the host's credit grows by its registered size
 * relative to the largest, times its turn fraction by {@link OutlierDetector}. A credit of 1 takes
 * the turn. Equal turns would overload small hosts while large ones idle, and give a slow host its
 * full share.
 */
final class TurnWeighting {
    /** A host's credit, in turns. */
    static final class Credit {
        private double turns;
    }

    private final Random random;
    private final HostWeights weights;
    private final OutlierDetector outliers;

    TurnWeighting(Random random, HostWeights weights, OutlierDetector outliers) {
        this.random = random;
        this.weights = weights;
        this.outliers = outliers;
    }

    /**
     * Starts each host with a random part of a credit, so that sidecars do not skip the same hosts
     * at the same time.
     */
    void onReadyHostsChanged(List<TrackedHost> ready) {
        ready.forEach(host -> host.turnCredit.turns = random.nextDouble());
    }

    /**
     * Adds the host's credit for this turn. Returns whether it takes the turn, which costs one
     * credit.
     */
    boolean takeTurn(long now, TrackedHost host) {
        Credit credit = host.turnCredit;
        credit.turns += weights.relativeToLargest(host) * outliers.turnFraction(now, host);
        return credit.turns >= 1 && credit.turns-- > 0;
    }
}
