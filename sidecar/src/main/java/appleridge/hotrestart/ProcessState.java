package appleridge.hotrestart;

import java.util.List;

/**
 * The state that one process publishes to the other processes of its sidecar. Immutable.
 *
 * @param phase the phase of the process
 * @param directives operators' maintenance directives, at most one for each host
 */
public record ProcessState(ProcessPhase phase, List<MaintenanceDirective> directives) {
    /** Directives read from a state file; further ones are ignored. */
    public static final int MAX_DIRECTIVES = 8192;

    public ProcessState {
        directives = List.copyOf(directives);
    }
}
