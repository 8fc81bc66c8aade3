package appleridge.testbed.simulation;

import appleridge.testbed.invariants.ObservedRequest;
import appleridge.testbed.simnet.Host;
import appleridge.testbed.simnet.NetworkConditions;
import appleridge.testbed.simnet.SeededRandom;
import appleridge.testbed.simnet.SimSocket;
import java.util.List;
import java.util.function.Consumer;

/**
 * Faults of sidecars, of their links, of whole sites, and what too many or bad clients do to them.
 */
final class SidecarFaultInjector {
    /** What was held up goes on arriving for so long. */
    private static final long AFTERMATH = 1100 * Site.MS;

    /** A pause in which copies of answers arrive for certain. */
    private static final long LEAST_FOR_COPIES = 60 * Site.MS;

    private static final double COPIES = 0.5;

    /** What was sent ahead of a pause has arrived by then. */
    private static final long SETTLE = 15 * Site.MS;

    private static final long LONGEST_REST = 300 * Site.MS;

    private final Day day;
    private final ProcessSlots seats;
    private final Fleet fleet;
    private final Discovery discovery;
    private final Links links;
    private final List<Traffic> traffic;
    private final BadClients badClients;
    private final FaultOverlaps meetings;
    private final SeededRandom chance;
    private final SeededRandom copies;

    SidecarFaultInjector(
            Day day,
            ProcessSlots seats,
            Fleet fleet,
            Discovery discovery,
            Links links,
            List<Traffic> traffic,
            BadClients badClients,
            FaultOverlaps meetings) {
        this.day = day;
        this.seats = seats;
        this.fleet = fleet;
        this.discovery = discovery;
        this.links = links;
        this.traffic = traffic;
        this.badClients = badClients;
        this.meetings = meetings;
        this.chance = day.faults("sidecars");
        this.copies = day.faults("copies");
    }

    void strike(Fault fault, ObservedRequest request) {
        String id = request == null ? null : request.id();
        if (fault.kind() == FaultKind.ZONE_CUT) {
            String zone = fault.who() != null ? fault.who() : chance.pick(Site.ZONES);
            day.evidence.faultStruck(fault.kind().word(), zone, id);
            cut(Site.ZONES.indexOf(zone), day.bounded(fault.value(FaultParameter.FOR)));
            return;
        }
        ProcessSlot seat = seats.seat(fault.who() != null ? fault.who() : request.sidecar());
        if (!seat.isRunning()) {
            return;
        }
        if (fault.kind() != FaultKind.NO_DESCRIPTORS) {
            day.evidence.faultStruck(fault.kind().word(), seat.name(), id);
        }
        long duration =
                fault.kind().params().contains(FaultParameter.FOR)
                        ? day.bounded(fault.value(FaultParameter.FOR))
                        : 0;
        switch (fault.kind()) {
            case KILL -> seat.kill(fault.value(FaultParameter.DOWN));
            case TERM -> seat.term(fault.value(FaultParameter.DOWN));
            case PAUSE -> pause(seat, duration);
            case WALL_STEP -> seat.stepWall(fault.value(FaultParameter.BY));
            case NO_DESCRIPTORS -> {
                // It can't accept meanwhile, and for a while after; its clients wait by no fault of
                // its own.
                troubled(seat, duration);
                meetings.noDescriptors(seat.host(), duration);
                seat.host()
                        .maxDescriptors(
                                seat.host().descriptors()
                                        + (int) fault.value(FaultParameter.COUNT));
                day.after(
                        duration,
                        () ->
                                seat.host()
                                        .maxDescriptors(day.plan.count(ScenarioParameter.SOCKETS)));
            }
            case LINK_LATE ->
                    link(
                            seat,
                            duration,
                            weather -> weather.delay += fault.value(FaultParameter.BY));
            case LINK_CHOPPED ->
                    link(
                            seat,
                            duration,
                            weather -> weather.segment = -(int) fault.value(FaultParameter.COUNT));
            case LINK_THIN ->
                    link(
                            seat,
                            duration,
                            weather -> weather.bytesPerSecond = fault.value(FaultParameter.BYTES));
            case FLOOD ->
                    traffic.get(seats.all().indexOf(seat))
                            .flood(duration, fault.value(FaultParameter.RATE) / 1e6);
            case BAD ->
                    badClients.come(
                            FaultKind.of(BadKind.class, fault.style()),
                            seat,
                            fault.value(FaultParameter.COUNT));
            default -> throw new IllegalArgumentException("no fault of a sidecar: " + fault.text());
        }
    }

    /**
     * While it stands still nothing that it asks can cross an answer: servers repeat theirs, and it
     * will find the copies unread.
     */
    private void pause(ProcessSlot seat, long duration) {
        seat.pause(duration);
        if (duration < LEAST_FOR_COPIES || !copies.hits(COPIES)) {
            return;
        }
        long rest = copies.hits(0.5) ? duration + copies.nextLong(LONGEST_REST) : 0;
        day.after(
                SETTLE,
                () -> {
                    for (Machine each : fleet.machines()) {
                        NetworkConditions way = day.network.conditions(each.host(), seat.host());
                        boolean quick =
                                way.delay + way.jitter < duration / 4
                                        && way.lossDelayProbability == 0
                                        && !way.blackHole;
                        if (each.server() != null && quick) {
                            each.server().repeatAnswers(seat.name(), rest);
                        }
                    }
                });
    }

    private void troubled(ProcessSlot seat, long duration) {
        long until = day.now() + duration + AFTERMATH;
        day.evidence.clientLinkTroubled(seat.name(), null, day.now() - 1, until);
    }

    private void link(ProcessSlot seat, long duration, Consumer<NetworkConditions> how) {
        troubled(seat, duration);
        links.change(seat.host(), duration, how);
    }

    /**
     * Nothing passes between a site and the others; afterwards connections go on, or turn out to be
     * reset.
     */
    private void cut(int zone, long duration) {
        for (ProcessSlot seat : seats.all()) {
            boolean inside = seat.zone() == zone;
            for (Machine each : fleet.machines()) {
                if (inside != (each.zone() == zone)) {
                    silence(seat, each.host(), duration);
                }
            }
            if (inside != (Registry.ZONE == zone)) {
                day.evidence.discoveryUnreachable(seat.name(), day.now(), day.now() + duration);
                discovery.addresses().forEach(each -> silence(seat, each.host(), duration));
            }
        }
    }

    private void silence(ProcessSlot seat, Host other, long duration) {
        links.change(seat.host(), other, duration, weather -> weather.blackHole = true);
        links.change(other, seat.host(), duration, weather -> weather.blackHole = true);
        if (chance.hits(0.5)) {
            day.after(
                    duration,
                    () -> {
                        for (SimSocket each : day.network.sockets(seat.host())) {
                            if (each.peerHost() == other) {
                                each.fault(SimSocket.Fault.RESET);
                            }
                        }
                    });
        }
    }
}
