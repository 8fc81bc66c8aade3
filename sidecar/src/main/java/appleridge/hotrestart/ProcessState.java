package appleridge.hotrestart;

import java.util.List;

/**
 * What one process publishes to the others of its sidecar. Immutable.
 *
 * @param directives operators' maintenance directives, at most one for each host
 */
public record ProcessState(ProcessPhase phase, List<MaintenanceDirective> directives) {
    /** At most so many directives are read. */
    public static final int MAX_DIRECTIVES = 8192;

    public ProcessState {
        directives = List.copyOf(directives);
    }
}
