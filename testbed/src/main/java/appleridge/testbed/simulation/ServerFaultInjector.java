package appleridge.testbed.simulation;

import appleridge.testbed.invariants.ObservedRequest;
import appleridge.testbed.simnet.NetworkConditions;
import appleridge.testbed.simnet.SeededRandom;
import java.util.function.Consumer;

/** Faults of one order server, its machine, or the ways to it. */
final class ServerFaultInjector {
    private final Day day;
    private final Fleet fleet;
    private final ProcessSlots seats;
    private final Links links;
    private final FaultOverlaps meetings;
    private final SeededRandom chance;

    ServerFaultInjector(
            Day day, Fleet fleet, ProcessSlots seats, Links links, FaultOverlaps meetings) {
        this.day = day;
        this.fleet = fleet;
        this.seats = seats;
        this.links = links;
        this.meetings = meetings;
        this.chance = day.faults("servers");
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
                    meetings.connectFaultBegan(machine, fault.kind(), duration);
            case CLOSE_IDLE -> {
                meetings.idleConnectionsClosed(server.closeIdle(), server.uid());
                return;
            }
            default ->
                    day.evidence.faultStruck(
                            fault.kind().word(),
                            server.uid(),
                            request == null ? null : request.id());
        }
        switch (fault.kind()) {
            case CONNECT_SLOW ->
                    ways(
                            machine,
                            duration,
                            weather -> weather.delay += fault.value(FaultParameter.BY));
            case CONNECT_REFUSED -> ways(machine, duration, weather -> weather.refuse = true);
            case CONNECT_SILENT -> ways(machine, duration, weather -> weather.silentConnect = true);
            case DRAIN ->
                    machine.drain(
                            fault.value(FaultParameter.DOWN),
                            chance.hits(0.5) ? 0 : day.plan.size(ScenarioParameter.NOTICE));
            case CRASH -> machine.crash(fault.value(FaultParameter.DOWN), false);
            case RESTART -> machine.crash(fault.value(FaultParameter.DOWN), true);
            case VANISH -> machine.vanish(duration);
            case LIST_FLAPS ->
                    fleet.instances()
                            .flap(
                                    server.uid(),
                                    chance.hits(0.5) ? Instances.TERMINATING : Instances.GONE,
                                    (int) fault.value(FaultParameter.COUNT),
                                    fault.value(FaultParameter.BY));
            default -> own(fault, server, duration);
        }
    }

    private static void own(Fault fault, OrderServer server, long duration) {
        switch (fault.kind()) {
            case BACKLOG -> server.backlog(duration);
            case HANG -> server.hang(duration);
            case SLOW -> server.slow(duration, fault.value(FaultParameter.FACTOR) / 1e6);
            case FAILING -> server.fail(duration, fault.value(FaultParameter.COUNT) / 1e3);
            case FULL -> server.full(duration);
            case REPORTS -> server.report(duration, FaultKind.of(Report.class, fault.style()));
            default -> throw new IllegalArgumentException("no fault of a server: " + fault.text());
        }
    }

    private void ways(Machine machine, long duration, Consumer<NetworkConditions> how) {
        for (ProcessSlot each : seats.all()) {
            links.change(each.host(), machine.host(), duration, how);
        }
    }

    /** The one that is named, the request's, or any. */
    private Machine machine(Fault fault, ObservedRequest request) {
        if (fault.who() != null) {
            return fleet.machine(fault.who());
        }
        Machine own = request.server() == null ? null : fleet.ofServer(request.server());
        return own != null ? own : chance.pick(fleet.machines());
    }
}
