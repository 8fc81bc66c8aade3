package appleridge.testbed.invariants;

/** What the rules share. */
record Shared(
        Alarms alarms,
        Findings findings,
        Requests requests,
        SidecarIncarnations lives,
        ExcusedTimes excuses,
        SocketObserver wires) {
    /**
     * Whether nothing was sent on for a request whose connection ended, and it was the connection's
     * first or the sidecar had not read it: then the end has crossed it, and it has failed but is
     * not lost.
     */
    boolean crossed(AttemptRecord request) {
        return request.sent.isEmpty()
                && (wires.place(request.id()) == 1 || !wires.wasRead(request.id()));
    }
}
