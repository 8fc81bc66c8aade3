package appleridge.loadbalancing;

/**
 * One incarnation of an upstream host. A restarted host is a new object, since it shares neither
 * load nor evidence with the previous process. Besides its endpoint and the in-flight count, it
 * holds one state object per rule, whose content is private to that rule.
 */
final class TrackedHost {
    final HostSubset.Membership membership = new HostSubset.Membership();
    final TurnWeighting.Credit turnCredit = new TurnWeighting.Credit();
    final ConnectFailureEjection.Status connectStatus = new ConnectFailureEjection.Status();
    final HostConcurrencyLimit.Limit concurrencyLimit = new HostConcurrencyLimit.Limit();
    final UnansweredAttemptMonitor.Responses responses = new UnansweredAttemptMonitor.Responses();
    final OutlierDetector.Evidence evidence;
    final SlowStartBudget.Credit slowStartCredit;

    private UpstreamHost endpoint;
    private int inFlight;

    TrackedHost(
            UpstreamHost endpoint,
            OutlierDetector.Evidence evidence,
            SlowStartBudget.Credit slowStartCredit) {
        this.endpoint = endpoint;
        this.evidence = evidence;
        this.slowStartCredit = slowStartCredit;
    }

    long id() {
        return endpoint.id();
    }

    /** The host as last reported by discovery. */
    UpstreamHost endpoint() {
        return endpoint;
    }

    boolean isReady() {
        return endpoint.state() == HostState.READY;
    }

    /** Applies an update of the same incarnation; called only by {@link HostRegistry}. */
    void update(UpstreamHost updated) {
        endpoint = updated;
    }

    /**
     * Attempts of this sidecar that occupy the host; a started transfer of a long response or
     * request no longer does.
     */
    int inFlight() {
        return inFlight;
    }

    void attemptSent() {
        inFlight++;
    }

    void attemptDone() {
        inFlight--;
    }
}
