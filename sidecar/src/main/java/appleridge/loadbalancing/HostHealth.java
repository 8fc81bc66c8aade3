package appleridge.loadbalancing;

/** Hands what an attempt's outcome says of its host to the rules that keep account of it. */
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

    /** Whether the host may be sent to, or is to be probed now. */
    HostEligibility eligibility(long now, TrackedHost host) {
        if (ejection.isEjected(now, host)) {
            return HostEligibility.EJECTED_HOST;
        }
        return zones.isEjected(now, host) ? HostEligibility.EJECTED_ZONE : HostEligibility.ELIGIBLE;
    }

    void onAttemptEnded(long now, TrackedRequest request, TrackedAttempt attempt, Outcome outcome) {
        TrackedHost host = attempt.host();
        boolean answered = outcome == Outcome.OK || outcome == Outcome.ERROR;
        if (answered || outcome == Outcome.REJECTED) {
            zones.onReached(now, host);
        }
        if (answered) {
            monitor.onAnswered(attempt);
            ejection.onAnswered(host);
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

    /** The connection broke under a response that had begun, whose start was already counted. */
    void onStartedResponseReset(long now, TrackedHost host) {
        outliers.report(now, host, OutlierDetector.MINOR);
    }
}
