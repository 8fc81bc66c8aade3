package appleridge.hotrestart;

/**
 * An operator's instruction to suspend one upstream host or to restore it. One process of a sidecar
 * receives it and all of them apply it. The directive issued last for a host takes effect.
 *
 * @param id the id of the host in discovery
 * @param suspended true suspends the host, false restores it
 * @param issuedAtUnixNanos when the operator issued it, in nanoseconds of Unix time
 */
public record MaintenanceDirective(String id, boolean suspended, long issuedAtUnixNanos) {}
