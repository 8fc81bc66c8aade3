package appleridge.hotrestart;

import java.util.Collection;

/**
 * What a process may use while others of its sidecar live: all of them together stay inside the
 * limits that one has alone. Danger: each knows the others' phase late, so a change of phase
 * changes little at once.
 *
 * @param accepts whether it takes new connections
 * @param fraction of the budgets of connections that it may use, above 0 and up to 1
 */
public record ResourceShare(boolean accepts, double fraction) {
    /** For a process in a phase of its own, beside others. */
    public static ResourceShare of(ProcessPhase own, Collection<ProcessPhase> others) {
        double all = weight(own) + others.stream().mapToDouble(ResourceShare::weight).sum();
        // Danger: a cold process that takes from the queue what another could serve makes it late.
        boolean accepts =
                own == ProcessPhase.SERVING
                        || own == ProcessPhase.STARTING && !others.contains(ProcessPhase.SERVING);
        return new ResourceShare(accepts, weight(own) / all);
    }

    /** Who starts needs a first list, the operators' line, and room for the first requests. */
    private static double weight(ProcessPhase phase) {
        return phase == ProcessPhase.STARTING ? 0.3 : 0.7;
    }
}
