package appleridge.loadbalancing;

/** Sends attempts and informs every rule that keeps account of them. No other class sends. */
final class AttemptDispatcher {
    private final TenantQueues queues;
    private final SlowStartBudget slowStart;
    private final ZoneHealth zones;
    private final UnansweredAttemptMonitor monitor;
    private final PolicyActions actions;

    AttemptDispatcher(
            HostRules hosts,
            TenantQueues queues,
            UnansweredAttemptMonitor monitor,
            PolicyActions actions) {
        this.slowStart = hosts.slowStart;
        this.zones = hosts.zones;
        this.queues = queues;
        this.monitor = monitor;
        this.actions = actions;
    }

    /**
     * Removes the request from its queue and sends it. The caller has checked that the host is
     * eligible.
     */
    void send(long now, TrackedRequest request, TrackedHost host) {
        TrackedAttempt attempt = new TrackedAttempt(host, now);
        request.addAttempt(attempt);
        queues.remove(request);
        slowStart.charge(now, host, request);
        host.attemptSent();
        zones.onAttemptSent(now, host);
        actions.sendAttempt(request.info().id(), host.id(), 0);
        monitor.watch(request, attempt);
        queues.of(request).onSent(now, request);
    }
}
