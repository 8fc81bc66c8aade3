package appleridge.hotrestart;

import java.util.List;

/**
 * What one process tells the others of its sidecar.
 *
 * @param directives what operators have said, one of an upstream at most
 */
public record ProcessState(ProcessPhase phase, List<MaintenanceDirective> directives) {
    /** Words that are told at most. */
    public static final int MOST_WORDS = 8192;

    public ProcessState {
        directives = List.copyOf(directives);
    }
}
