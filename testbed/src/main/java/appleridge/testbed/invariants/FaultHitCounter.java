package appleridge.testbed.invariants;

/**
 * Counts the requests that a fault strikes, by the state that they are in at that moment. A fault
 * aimed at a request counts that request; another counts all requests at the sidecar or server that
 * it strikes; one that strikes neither a request nor a sidecar nor a server counts none. A lasting
 * fault counts the requests for which a hit is reported.
 */
public final class FaultHitCounter implements DayListener {
    private final RequestStates states;
    private final Coverage coverage;

    public FaultHitCounter(RequestStates states, Coverage coverage) {
        this.states = states;
        this.coverage = coverage;
    }

    @Override
    public void faultTriggered(String kind, String at, String id) {
        coverage.expect(kind);
        if (id != null) {
            RequestState state = states.state(id);
            if (state != null) {
                coverage.add(kind, state);
            }
            return;
        }
        if (at != null && states.knows(at)) {
            states.at(at).forEach(each -> coverage.add(kind, each.state()));
        }
    }

    @Override
    public void faultHit(String what, String id, RequestState state) {
        coverage.add(what, state);
    }

    @Override
    public void faultArmed(String kind, String at) {
        coverage.expect(kind);
    }
}
