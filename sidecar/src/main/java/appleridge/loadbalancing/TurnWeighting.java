package appleridge.loadbalancing;

import java.util.List;
import java.util.Random;

/**
 * Weighted turns: each time the ring comes to a host its credit grows by its registered size beside
 * the largest and by how it fares beside the others; a whole credit takes the turn. Even turns
 * would overload the small hosts while the large ones idle, and leave a slow host its full part.
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

    /** Starts all hosts at random parts of a turn, so that sidecars do not skip in step. */
    void onReadyHostsChanged(List<TrackedHost> ready) {
        ready.forEach(host -> host.turns.turns = random.nextDouble());
    }

    /**
     * Adds the host's credit for this turn; true if it takes the turn, which uses up one credit.
     */
    boolean takeTurn(long now, TrackedHost host) {
        Credit credit = host.turns;
        credit.turns += weights.relativeToLargest(host) * outliers.turnFraction(now, host);
        return credit.turns >= 1 && credit.turns-- > 0;
    }
}
