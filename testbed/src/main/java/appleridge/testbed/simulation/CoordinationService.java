package appleridge.testbed.simulation;

import appleridge.testbed.invariants.DayListener;

/** The coordination service and the servers' registrations in it, on days that have one. */
final class CoordinationService implements DayListener {
    private Ensemble ensemble;
    private Registrations registrations;

    /** Creates the coordination service; without this call the day has none. */
    void begin(Day day, Fleet fleet) {
        ensemble = new Ensemble(day);
        registrations = new Registrations(day, ensemble, fleet);
    }

    /** Returns null on a day without a coordination service. */
    Ensemble ensemble() {
        return ensemble;
    }

    NodeFaultInjector faultInjector(Day day, Fleet fleet, ProcessSlots slots) {
        return new NodeFaultInjector(day, ensemble, registrations, fleet, slots);
    }

    @Override
    public void serverState(String server, int life, String state, long bornAt) {
        if (registrations != null) {
            registrations.serverState(server, life, state, bornAt);
        }
    }

    @Override
    public void sidecarKilled(String sidecar, int life) {
        if (ensemble != null) {
            ensemble.ended(sidecar);
        }
    }

    @Override
    public void sidecarExited(String sidecar, int life, int status) {
        if (ensemble != null) {
            ensemble.ended(sidecar);
        }
    }

    @Override
    public void sidecarPaused(String sidecar, long from, long until) {
        if (ensemble != null) {
            ensemble.paused(sidecar, from, until);
        }
    }
}
