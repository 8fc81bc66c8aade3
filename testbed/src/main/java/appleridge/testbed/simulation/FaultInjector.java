package appleridge.testbed.simulation;

import appleridge.testbed.invariants.ObservedRequest;

/** Carries faults out, each by the part of the world that it concerns. */
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
     * Strikes now; nothing happens where what it is aimed at is no more.
     *
     * @param request the one that sprang the trap; null for a timed fault
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
     * Whether it can be carried out in the middle of something else: it changes sockets from
     * outside alone.
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
