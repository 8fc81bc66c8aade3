package appleridge.testbed.invariants;

/** What the rules share. */
record RuleContext(
        ScheduledChecks checks,
        Findings findings,
        Requests requests,
        SidecarIncarnations incarnations,
        ExcusedTimes excuses,
        SocketObserver sockets) {
    /**
     * Whether nothing was sent on for a request whose connection ended, and it was the connection's
     * first or the sidecar had not read it: then the end has crossed it, and it has failed but is
     * not lost.
     */
    boolean crossed(AttemptRecord request) {
        return request.copies.isEmpty()
                && (sockets.place(request.id()) == 1 || !sockets.wasRead(request.id()));
    }
}
