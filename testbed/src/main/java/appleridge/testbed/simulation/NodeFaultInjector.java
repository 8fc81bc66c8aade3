package appleridge.testbed.simulation;

import appleridge.testbed.invariants.ObservedRequest;
import appleridge.testbed.simnet.SeededRandom;

/**
 * Faults of the coordination service, of its nodes and of sidecars' sessions; none where it is not
 * asked.
 */
final class NodeFaultInjector {
    private final Day day;
    private final Ensemble ensemble;
    private final Registrations registrations;
    private final Fleet fleet;
    private final ProcessSlots seats;
    private final SeededRandom chance;

    /** {@code ensemble} and {@code registrations} null: it is not asked. */
    NodeFaultInjector(
            Day day,
            Ensemble ensemble,
            Registrations registrations,
            Fleet fleet,
            ProcessSlots seats) {
        this.day = day;
        this.ensemble = ensemble;
        this.registrations = registrations;
        this.fleet = fleet;
        this.seats = seats;
        this.chance = day.faults("nodes");
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
                    day.evidence.faultStruck(fault.kind().word(), server.uid(), id);
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
                        fault.who() != null ? fault.who() : chance.pick(seats.all()).name();
                day.evidence.faultStruck(fault.kind().word(), sidecar, id);
                ensemble.lose(sidecar, duration);
            }
            default -> {
                day.evidence.faultStruck(fault.kind().word(), null, id);
                ofAll(fault, duration);
            }
        }
    }

    private void ofAll(Fault fault, long duration) {
        switch (fault.kind()) {
            case NODES_DOWN -> ensemble.down(duration);
            case NODES_READ_ONLY -> ensemble.readOnly(duration);
            case NODES_LAG -> ensemble.lag(duration, fault.value(FaultParameter.BY));
            case NODES_SLOW -> ensemble.slow(duration, fault.value(FaultParameter.BY));
            case NODES_WIPED -> {
                ensemble.wipe();
                registrations.again(day.bounded(fault.value(FaultParameter.DOWN)));
            }
            default -> throw new IllegalArgumentException("no fault of nodes: " + fault.text());
        }
    }

    /** The one that is named, the request's, or any. */
    private Machine machine(Fault fault, ObservedRequest request) {
        if (fault.who() != null) {
            return fleet.machine(fault.who());
        }
        Machine own =
                request == null || request.server() == null
                        ? null
                        : fleet.ofServer(request.server());
        return own != null ? own : chance.pick(fleet.machines());
    }
}
