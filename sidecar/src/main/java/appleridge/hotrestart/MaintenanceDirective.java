package appleridge.hotrestart;

/**
 * An operator's maintenance directive for one upstream host, given to one process and meant for all
 * of its sidecar. Of several for a host the latest holds.
 *
 * @param id the host's, as discovery has it
 * @param suspended whether the host is suspended, or restored
 * @param issuedAtUnixNanos when, in nanoseconds of Unix time
 */
public record MaintenanceDirective(String id, boolean suspended, long issuedAtUnixNanos) {}
