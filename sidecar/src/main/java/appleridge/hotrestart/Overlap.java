package appleridge.hotrestart;

import java.util.Collection;

/**
 * What a process may use while others of its sidecar live: all of them together stay inside the
 * limits that one has alone. Danger: each knows the others' phase late, so a change of phase
 * changes little at once.
 *
 * @param accepts whether it takes new connections
 * @param part of the budgets of connections that it may use, above 0 and up to 1
 */
public record Overlap(boolean accepts, double part) {
    /** For a process in a phase of its own, beside others. */
    public static Overlap of(Phase own, Collection<Phase> others) {
        double all = weight(own) + others.stream().mapToDouble(Overlap::weight).sum();
        // Danger: a cold process that takes from the queue what another could serve makes it late.
        boolean accepts =
                own == Phase.SERVING || own == Phase.STARTING && !others.contains(Phase.SERVING);
        return new Overlap(accepts, weight(own) / all);
    }

    /** Who starts needs a first list, the operators' line, and room for the first requests. */
    private static double weight(Phase phase) {
        return phase == Phase.STARTING ? 0.3 : 0.7;
    }
}
