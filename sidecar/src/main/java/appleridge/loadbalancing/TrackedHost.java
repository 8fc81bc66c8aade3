package appleridge.loadbalancing;

/**
 * One incarnation of an upstream host. A restarted host is a new object: it shares neither load nor
 * evidence with the process before it. Apart from its endpoint and the in-flight count it only
 * keeps, in one place, what each rule knows of the host; that state is private to its rule.
 */
final class TrackedHost {
    final HostSubset.Membership membership = new HostSubset.Membership();
    final TurnWeighting.Credit turns = new TurnWeighting.Credit();
    final ConnectFailureEjection.Status connects = new ConnectFailureEjection.Status();
    final HostConcurrencyLimit.Limit concurrency = new HostConcurrencyLimit.Limit();
    final UnansweredAttemptMonitor.Answers answers = new UnansweredAttemptMonitor.Answers();
    final OutlierDetector.Evidence evidence;
    final SlowStartBudget.Credit slowStart;

    private UpstreamHost endpoint;
    private int inFlight;

    TrackedHost(
            UpstreamHost endpoint,
            OutlierDetector.Evidence evidence,
            SlowStartBudget.Credit slowStart) {
        this.endpoint = endpoint;
        this.evidence = evidence;
        this.slowStart = slowStart;
    }

    long id() {
        return endpoint.id();
    }

    /** The host as discovery showed it last. */
    UpstreamHost endpoint() {
        return endpoint;
    }

    boolean isReady() {
        return endpoint.state() == HostState.READY;
    }

    /** Takes over an update of the same incarnation; only {@link HostRegistry} calls this. */
    void update(UpstreamHost updated) {
        endpoint = updated;
    }

    /** Attempts of this sidecar that occupy the host; a started response no longer does. */
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
