package appleridge.testbed.simulation;

import appleridge.testbed.invariants.ObservedRequest;
import appleridge.testbed.simnet.SeededRandom;

/**
 * Injects faults into the coordination service, its nodes and the sidecars' sessions; does nothing
 * on days without one.
 */
final class NodeFaultInjector {
    private final Day day;
    private final Ensemble ensemble;
    private final Registrations registrations;
    private final Fleet fleet;
    private final ProcessSlots slots;
    private final SeededRandom random;

    /** {@code ensemble} and {@code registrations}: null on days without a coordination service. */
    NodeFaultInjector(
            Day day,
            Ensemble ensemble,
            Registrations registrations,
            Fleet fleet,
            ProcessSlots slots) {
        this.day = day;
        this.ensemble = ensemble;
        this.registrations = registrations;
        this.fleet = fleet;
        this.slots = slots;
        this.random = day.faults("nodes");
    }

    void inject(Fault fault, ObservedRequest request) {
        if (ensemble == null) {
            return;
        }
        long duration =
                fault.kind().params().contains(FaultParameter.FOR)
                        ? day.bounded(fault.value(FaultParameter.FOR))
                        : 0;
        String id = request == null ? null : request.id();
        switch (fault.kind()) {
            case NODE_FLAPS, NODE_GARBLED -> {
                OrderServer server = machine(fault, request).server();
                if (server != null) {
                    day.evidence.faultTriggered(fault.kind().word(), server.uid(), id);
                    if (fault.kind() == FaultKind.NODE_FLAPS) {
                        registrations.flap(
                                server.uid(),
                                (int) fault.value(FaultParameter.COUNT),
                                fault.value(FaultParameter.BY));
                    } else {
                        registrations.garble(server.uid(), duration);
                    }
                }
            }
            case NODES_LOST -> {
                String sidecar =
                        fault.who() != null ? fault.who() : random.pick(slots.all()).name();
                day.evidence.faultTriggered(fault.kind().word(), sidecar, id);
                ensemble.lose(sidecar, duration);
            }
            default -> {
                day.evidence.faultTriggered(fault.kind().word(), null, id);
                injectIntoService(fault, duration);
            }
        }
    }

    private void injectIntoService(Fault fault, long duration) {
        switch (fault.kind()) {
            case NODES_DOWN -> ensemble.down(duration);
            case NODES_READ_ONLY -> ensemble.readOnly(duration);
            case NODES_LAG -> ensemble.lag(duration, fault.value(FaultParameter.BY));
            case NODES_SLOW -> ensemble.slow(duration, fault.value(FaultParameter.BY));
            case NODES_WIPED -> {
                ensemble.wipe();
                registrations.reregister(day.bounded(fault.value(FaultParameter.DOWN)));
            }
            default ->
                    throw new IllegalArgumentException(
                            "not a fault of the coordination service: " + fault.text());
        }
    }

    /** The machine that the fault names, else that of the request's server, else a random one. */
    private Machine machine(Fault fault, ObservedRequest request) {
        if (fault.who() != null) {
            return fleet.machine(fault.who());
        }
        Machine own =
                request == null || request.server() == null
                        ? null
                        : fleet.ofServer(request.server());
        return own != null ? own : random.pick(fleet.machines());
    }
}
