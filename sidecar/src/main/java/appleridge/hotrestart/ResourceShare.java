package appleridge.hotrestart;

import java.util.Collection;

/**
 * The resources that a process may use while other processes of its sidecar run: together they stay
 * within the limits configured for one. A process learns of another's phase with a delay, so a
 * change of phase moves only a part of the share at once.
 *
 * @param acceptsConnections whether the process accepts new connections
 * @param connectionFraction the fraction of the connection limits that the process may use, above 0
 *     and up to 1
 */
public record ResourceShare(boolean acceptsConnections, double connectionFraction) {
    /** Covers discovery, admin calls and the first requests. */
    private static final double STARTING_WEIGHT = 0.3;

    private static final double SERVING_WEIGHT = 0.7;

    /**
     * Computes the share of one process.
     *
     * @param own the phase of the process
     * @param others the phases of the other processes of its sidecar
     */
    public static ResourceShare of(ProcessPhase own, Collection<ProcessPhase> others) {
        double totalWeight = weight(own) + others.stream().mapToDouble(ResourceShare::weight).sum();
        // A starting process leaves new connections to a serving one: while it is cold, their
        // requests would be late.
        boolean accepts =
                own == ProcessPhase.SERVING
                        || own == ProcessPhase.STARTING && !others.contains(ProcessPhase.SERVING);
        return new ResourceShare(accepts, weight(own) / totalWeight);
    }

    private static double weight(ProcessPhase phase) {
        return phase == ProcessPhase.STARTING ? STARTING_WEIGHT : SERVING_WEIGHT;
    }
}
