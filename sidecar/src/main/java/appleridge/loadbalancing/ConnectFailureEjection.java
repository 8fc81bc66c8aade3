package appleridge.loadbalancing;

/**
 * Ejects a host after a failed connect, which costs a request the whole connect timeout. The host
 * gets a half-open probe, an ordinary attempt, after each backoff; any answer brings it back.
 */
final class ConnectFailureEjection {
    /** The first backoff is the shortest objective; it doubles up to this many times that. */
    private static final int MAX_BACKOFF_MULTIPLE = 8;

    /** What is known of one host's connects. */
    static final class Status {
        /** The time of the next probe; 0 for a host that is not ejected. */
        private long nextProbeAt;

        private long backoffNanos;
    }

    private final long firstBackoffNanos;
    private final PolicyActions actions;

    ConnectFailureEjection(PolicySettings settings, PolicyActions actions) {
        this.firstBackoffNanos = settings.shortestObjectiveNanos();
        this.actions = actions;
    }

    /** Whether the host is ejected and its next probe not yet due. */
    boolean isEjected(long now, TrackedHost host) {
        return now < host.connects.nextProbeAt;
    }

    void onConnectFailed(long now, TrackedHost host) {
        Status status = host.connects;
        if (status.nextProbeAt == 0) {
            actions.log("upstream " + host.id() + " ejected: connect failed");
            status.backoffNanos = initialBackoffNanos();
        }
        status.backoffNanos = nextBackoffNanos(status.backoffNanos);
        status.nextProbeAt = now + status.backoffNanos;
    }

    /** The host has answered, be it with an error. */
    void onAnswered(TrackedHost host) {
        if (host.connects.nextProbeAt > 0) {
            actions.log("upstream " + host.id() + " reachable again");
        }
        host.connects.nextProbeAt = 0;
    }

    /** An ejected host may be probed at once. */
    void probeNow(long now, TrackedHost host) {
        host.connects.nextProbeAt = Math.min(host.connects.nextProbeAt, now);
    }

    /** The value from which {@link #nextBackoffNanos} gives the first backoff. */
    long initialBackoffNanos() {
        return firstBackoffNanos / 2;
    }

    /** Twice the previous backoff, up to the maximum. */
    long nextBackoffNanos(long backoffNanos) {
        return Math.min(2 * backoffNanos, MAX_BACKOFF_MULTIPLE * firstBackoffNanos);
    }
}
