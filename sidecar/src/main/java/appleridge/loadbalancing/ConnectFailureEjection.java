package appleridge.loadbalancing;

/**
 * Ejects a host after a failed connect, which costs a request the whole connect timeout. After each
 * backoff the host gets one half-open probe, an ordinary attempt; any response ends the ejection.
 */
final class ConnectFailureEjection {
    /** The first backoff is the shortest objective; it doubles up to this many times that. */
    private static final int MAX_BACKOFF_MULTIPLE = 8;

    /** The ejection state of one host. */
    static final class Status {
        /** The time of the next probe; 0 if the host is not ejected. */
        private long nextProbeAt;

        private long backoffNanos;
    }

    private final long firstBackoffNanos;
    private final PolicyActions actions;

    ConnectFailureEjection(PolicySettings settings, PolicyActions actions) {
        this.firstBackoffNanos = settings.shortestObjectiveNanos();
        this.actions = actions;
    }

    /** Whether the host is ejected and its next probe is not yet due. */
    boolean isEjected(long now, TrackedHost host) {
        return now < host.connectStatus.nextProbeAt;
    }

    void onConnectFailed(long now, TrackedHost host) {
        Status status = host.connectStatus;
        if (status.nextProbeAt == 0) {
            actions.log("upstream " + host.id() + " ejected: connect failed");
            status.backoffNanos = initialBackoffNanos();
        }
        status.backoffNanos = nextBackoffNanos(status.backoffNanos);
        status.nextProbeAt = now + status.backoffNanos;
    }

    /** The host has responded, even if with an error. */
    void onResponse(TrackedHost host) {
        if (host.connectStatus.nextProbeAt > 0) {
            actions.log("upstream " + host.id() + " reachable again");
        }
        host.connectStatus.nextProbeAt = 0;
    }

    /** Lets an ejected host be probed at once. */
    void probeNow(long now, TrackedHost host) {
        host.connectStatus.nextProbeAt = Math.min(host.connectStatus.nextProbeAt, now);
    }

    /** The value for which {@link #nextBackoffNanos} returns the first backoff. */
    long initialBackoffNanos() {
        return firstBackoffNanos / 2;
    }

    /** Twice the previous backoff, up to the maximum. */
    long nextBackoffNanos(long backoffNanos) {
        return Math.min(2 * backoffNanos, MAX_BACKOFF_MULTIPLE * firstBackoffNanos);
    }
}
