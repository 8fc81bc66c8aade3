package appleridge.testbed.simulation;

import appleridge.testbed.invariants.DayListener;

/** The coordination service and the servers' registrations there, on days that have them. */
final class CoordinationService implements DayListener {
    private Ensemble ensemble;
    private Registrations registrations;

    /** From here on there is one. */
    void begin(Day day, Fleet fleet) {
        ensemble = new Ensemble(day);
        registrations = new Registrations(day, ensemble, fleet);
    }

    /** Null where there is none. */
    Ensemble ensemble() {
        return ensemble;
    }

    NodeFaultInjector strikes(Day day, Fleet fleet, ProcessSlots seats) {
        return new NodeFaultInjector(day, ensemble, registrations, fleet, seats);
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
