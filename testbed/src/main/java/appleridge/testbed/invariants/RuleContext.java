package appleridge.testbed.invariants;

/** State that the rules share. */
record RuleContext(
        ScheduledChecks checks,
        Findings findings,
        Requests requests,
        SidecarIncarnations incarnations,
        ExcusedTimes excuses,
        SocketObserver sockets) {
    /**
     * Returns whether the close of a connection crossed the request: nothing was sent for it, and
     * it was the first on its connection or the sidecar had not read it. Such a request has failed
     * but is not lost.
     */
    boolean crossed(AttemptRecord request) {
        return request.copies.isEmpty()
                && (sockets.positionOnConnection(request.id()) == 1
                        || !sockets.wasRead(request.id()));
    }
}
