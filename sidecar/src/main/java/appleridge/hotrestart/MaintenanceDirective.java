package appleridge.hotrestart;

/**
 * What an operator has said of an upstream, to one process for all of a sidecar's. The latest
 * counts.
 *
 * @param id the upstream's, as the list has it
 * @param suspended whether it was called out, or back
 * @param issuedAtUnixNanos when, in nanoseconds of Unix time
 */
public record MaintenanceDirective(String id, boolean suspended, long issuedAtUnixNanos) {}
