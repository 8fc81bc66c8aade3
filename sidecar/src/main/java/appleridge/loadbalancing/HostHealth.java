package appleridge.loadbalancing;

/** Passes the outcome of an attempt to the rules that keep account of its host's health. */
final class HostHealth {
    private final ConnectFailureEjection ejection;
    private final ZoneHealth zones;
    private final OutlierDetector outliers;
    private final LatencyThresholds thresholds;
    private final UnansweredAttemptMonitor monitor;

    HostHealth(HostRules hosts, UnansweredAttemptMonitor monitor) {
        this.ejection = hosts.ejection;
        this.zones = hosts.zones;
        this.outliers = hosts.outliers;
        this.thresholds = hosts.thresholds;
        this.monitor = monitor;
    }

    /** Whether the host is not ejected, or is due for a probe. */
    HostEligibility eligibility(long now, TrackedHost host) {
        if (ejection.isEjected(now, host)) {
            return HostEligibility.EJECTED_HOST;
        }
        return zones.isEjected(now, host) ? HostEligibility.EJECTED_ZONE : HostEligibility.ELIGIBLE;
    }

    void onAttemptEnded(long now, TrackedRequest request, TrackedAttempt attempt, Outcome outcome) {
        TrackedHost host = attempt.host();
        boolean responded = outcome == Outcome.OK || outcome == Outcome.ERROR;
        if (responded || outcome == Outcome.REJECTED) {
            zones.onReached(now, host);
        }
        if (responded) {
            monitor.onResponse(attempt);
            ejection.onResponse(host);
        }
        switch (outcome) {
            case OK -> thresholds.observe(request, now - attempt.sentAt());
            case CONNECT_FAILED -> {
                ejection.onConnectFailed(now, host);
                outliers.report(now, host, OutlierDetector.SEVERE);
                zones.onConnectFailed(now, attempt);
            }
            case ERROR -> outliers.report(now, host, OutlierDetector.SEVERE);
            case RESET, REJECTED -> outliers.report(now, host, OutlierDetector.MINOR);
            default -> {}
        }
    }

    /**
     * The connection broke during a response whose start has already been recorded as a success.
     */
    void onStartedResponseReset(long now, TrackedHost host) {
        outliers.report(now, host, OutlierDetector.MINOR);
    }
}
