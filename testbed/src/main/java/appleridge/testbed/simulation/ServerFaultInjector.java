package appleridge.testbed.simulation;

import appleridge.testbed.invariants.ObservedRequest;
import appleridge.testbed.simnet.NetworkConditions;
import appleridge.testbed.simnet.SeededRandom;
import java.util.function.Consumer;

/** Injects faults into one order server, its machine or its links to the sidecars. */
final class ServerFaultInjector {
    private final Day day;
    private final Fleet fleet;
    private final ProcessSlots slots;
    private final Links links;
    private final FaultOverlaps overlaps;
    private final SeededRandom random;

    ServerFaultInjector(
            Day day, Fleet fleet, ProcessSlots slots, Links links, FaultOverlaps overlaps) {
        this.day = day;
        this.fleet = fleet;
        this.slots = slots;
        this.links = links;
        this.overlaps = overlaps;
        this.random = day.faults("servers");
    }

    void inject(Fault fault, ObservedRequest request) {
        Machine machine = machine(fault, request);
        OrderServer server = machine.server();
        if (server == null) {
            return;
        }
        long duration =
                fault.kind().params().contains(FaultParameter.FOR)
                        ? day.bounded(fault.value(FaultParameter.FOR))
                        : 0;
        switch (fault.kind()) {
            case CONNECT_SLOW, CONNECT_REFUSED, CONNECT_SILENT, BACKLOG ->
                    overlaps.connectFaultBegan(machine, fault.kind(), duration);
            case CLOSE_IDLE -> {
                overlaps.idleConnectionsClosed(server.closeIdle(), server.uid());
                return;
            }
            default ->
                    day.evidence.faultTriggered(
                            fault.kind().word(),
                            server.uid(),
                            request == null ? null : request.id());
        }
        switch (fault.kind()) {
            case CONNECT_SLOW ->
                    changeLinks(
                            machine,
                            duration,
                            conditions -> conditions.delay += fault.value(FaultParameter.BY));
            case CONNECT_REFUSED ->
                    changeLinks(machine, duration, conditions -> conditions.refuse = true);
            case CONNECT_SILENT ->
                    changeLinks(machine, duration, conditions -> conditions.silentConnect = true);
            case DRAIN ->
                    machine.drain(
                            fault.value(FaultParameter.DOWN),
                            random.hits(0.5) ? 0 : day.plan.size(ScenarioParameter.NOTICE));
            case CRASH -> machine.crash(fault.value(FaultParameter.DOWN), false);
            case RESTART -> machine.crash(fault.value(FaultParameter.DOWN), true);
            case VANISH -> machine.isolate(duration);
            case LIST_FLAPS ->
                    fleet.instances()
                            .flap(
                                    server.uid(),
                                    random.hits(0.5) ? Instances.TERMINATING : Instances.GONE,
                                    (int) fault.value(FaultParameter.COUNT),
                                    fault.value(FaultParameter.BY));
            default -> injectIntoServer(fault, server, duration);
        }
    }

    private static void injectIntoServer(Fault fault, OrderServer server, long duration) {
        switch (fault.kind()) {
            case BACKLOG -> server.backlog(duration);
            case HANG -> server.hang(duration);
            case SLOW -> server.slow(duration, fault.value(FaultParameter.FACTOR) / 1e6);
            case FAILING -> server.fail(duration, fault.value(FaultParameter.COUNT) / 1e3);
            case FULL -> server.full(duration);
            case REPORTS ->
                    server.report(duration, FaultKind.of(LoadReportQuality.class, fault.style()));
            default ->
                    throw new IllegalArgumentException("not a fault of a server: " + fault.text());
        }
    }

    private void changeLinks(Machine machine, long duration, Consumer<NetworkConditions> how) {
        for (ProcessSlot each : slots.all()) {
            links.change(each.host(), machine.host(), duration, how);
        }
    }

    /** The machine that the fault names, else that of the request's server, else a random one. */
    private Machine machine(Fault fault, ObservedRequest request) {
        if (fault.who() != null) {
            return fleet.machine(fault.who());
        }
        Machine own = request.server() == null ? null : fleet.ofServer(request.server());
        return own != null ? own : random.pick(fleet.machines());
    }
}
