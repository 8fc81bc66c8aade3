package appleridge.testbed.invariants;

/**
 * Counts which requests a fault strikes, in the state that they are in at that moment: one aimed at
 * a request that one; another all at the sidecar or server that it strikes. What is told with a
 * request has changed what happens to that one; what strikes neither a request nor a sidecar nor a
 * server counts none.
 */
public final class FaultHitCounter implements DayListener {
    private final RequestStates states;
    private final Coverage coverage;

    public FaultHitCounter(RequestStates states, Coverage coverage) {
        this.states = states;
        this.coverage = coverage;
    }

    @Override
    public void faultStruck(String kind, String at, String id) {
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
