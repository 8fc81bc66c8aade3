package appleridge.testbed.simulation;

import appleridge.testbed.invariants.ObservedRequest;

/** Passes each fault to the injector for the part of the simulated world that it affects. */
final class FaultInjector {
    private final Day day;
    private final ConnectionFaultInjector connections;
    private final ServerFaultInjector servers;
    private final ListFaultInjector lists;
    private final SidecarFaultInjector sidecars;
    private final NodeFaultInjector nodes;

    FaultInjector(
            Day day,
            ConnectionFaultInjector connections,
            ServerFaultInjector servers,
            ListFaultInjector lists,
            SidecarFaultInjector sidecars,
            NodeFaultInjector nodes) {
        this.day = day;
        this.connections = connections;
        this.servers = servers;
        this.lists = lists;
        this.sidecars = sidecars;
        this.nodes = nodes;
    }

    /**
     * Injects a fault now. Does nothing if its target no longer exists.
     *
     * @param request the request that fired the state trigger; null for a timed fault
     */
    void inject(Fault fault, ObservedRequest request) {
        if (day.faultsMayOccur() && fault.kind().affectsCoordination()) {
            nodes.inject(fault, request);
        } else if (day.faultsMayOccur()) {
            switch (fault.kind().target()) {
                case UPSTREAM, ANSWER, CLIENT -> connections.inject(fault, request);
                case SERVER -> servers.inject(fault, request);
                case LIST -> lists.inject(fault, request);
                default -> sidecars.inject(fault, request);
            }
        }
    }

    /**
     * Whether the fault can be injected while a state change is being processed, because it only
     * changes sockets from outside.
     */
    static boolean isImmediate(FaultKind kind) {
        return switch (kind) {
            case UP_RESET,
                    UP_RESET_LATE,
                    UP_END,
                    UP_SILENT,
                    UP_STALL,
                    UP_CUT_REQUEST,
                    UP_CUT_ANSWER,
                    SPOIL,
                    EXTRA,
                    DOWN_RESET,
                    DOWN_RESET_LATE,
                    DOWN_SILENT,
                    DOWN_CUT_ANSWER ->
                    true;
            default -> false;
        };
    }
}
