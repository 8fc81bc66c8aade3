package appleridge.hotrestart;

import java.util.Collection;

/**
 * What a process may use while others of its sidecar live: all of them together stay within the
 * limits of one. Each learns the others' phase late, so a change of phase changes little at once.
 *
 * @param acceptsConnections whether it accepts new connections
 * @param connectionFraction of the limits of connections that it may use, above 0 and up to 1
 */
public record ResourceShare(boolean acceptsConnections, double connectionFraction) {
    /** Enough for discovery, operators' calls and the first requests. */
    private static final double STARTING_WEIGHT = 0.3;

    private static final double SERVING_WEIGHT = 0.7;

    /** The share of a process in a phase beside others. */
    public static ResourceShare of(ProcessPhase own, Collection<ProcessPhase> others) {
        double all = weight(own) + others.stream().mapToDouble(ResourceShare::weight).sum();
        // A cold process that accepts what a warm one could makes those requests late.
        boolean accepts =
                own == ProcessPhase.SERVING
                        || own == ProcessPhase.STARTING && !others.contains(ProcessPhase.SERVING);
        return new ResourceShare(accepts, weight(own) / all);
    }

    private static double weight(ProcessPhase phase) {
        return phase == ProcessPhase.STARTING ? STARTING_WEIGHT : SERVING_WEIGHT;
    }
}
