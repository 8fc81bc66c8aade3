package appleridge.testbed.simulation;

import appleridge.testbed.invariants.ObservedRequest;
import appleridge.testbed.simnet.Host;
import appleridge.testbed.simnet.NetworkConditions;
import appleridge.testbed.simnet.SeededRandom;
import appleridge.testbed.simnet.SimSocket;
import java.util.List;
import java.util.function.Consumer;

/**
 * Injects faults into sidecars, their links and whole zones, and starts floods and bad clients
 * against them.
 */
final class SidecarFaultInjector {

    /** For how long after a link fault delayed messages still arrive. */
    private static final long LINK_RECOVERY_NANOS = 1100 * Site.MS;

    /** Minimum length of a pause in which copies of responses arrive for certain. */
    private static final long MIN_PAUSE_FOR_COPIES_NANOS = 60 * Site.MS;

    private static final double COPIES_PROBABILITY = 0.5;

    /** By this time after the start of a pause, requests sent before it have arrived. */
    private static final long SETTLE_NANOS = 15 * Site.MS;

    private static final long MAX_REST_DELAY_NANOS = 300 * Site.MS;

    private final Day day;
    private final ProcessSlots slots;
    private final Fleet fleet;
    private final Discovery discovery;
    private final Links links;
    private final List<Traffic> traffic;
    private final BadClients badClients;
    private final FaultOverlaps overlaps;
    private final SeededRandom random;
    private final SeededRandom copyRandom;

    SidecarFaultInjector(
            Day day,
            ProcessSlots slots,
            Fleet fleet,
            Discovery discovery,
            Links links,
            List<Traffic> traffic,
            BadClients badClients,
            FaultOverlaps overlaps) {
        this.day = day;
        this.slots = slots;
        this.fleet = fleet;
        this.discovery = discovery;
        this.links = links;
        this.traffic = traffic;
        this.badClients = badClients;
        this.overlaps = overlaps;
        this.random = day.faults("sidecars");
        this.copyRandom = day.faults("copies");
    }

    void inject(Fault fault, ObservedRequest request) {
        String id = request == null ? null : request.id();
        if (fault.kind() == FaultKind.ZONE_CUT) {
            String zone = fault.who() != null ? fault.who() : random.pick(Site.ZONES);
            day.evidence.faultTriggered(fault.kind().word(), zone, id);
            cutZone(Site.ZONES.indexOf(zone), day.bounded(fault.value(FaultParameter.FOR)));
            return;
        }
        ProcessSlot slot = slots.slot(fault.who() != null ? fault.who() : request.sidecar());
        if (!slot.isRunning()) {
            return;
        }
        if (fault.kind() != FaultKind.NO_DESCRIPTORS) {
            day.evidence.faultTriggered(fault.kind().word(), slot.name(), id);
        }
        long duration =
                fault.kind().params().contains(FaultParameter.FOR)
                        ? day.bounded(fault.value(FaultParameter.FOR))
                        : 0;
        switch (fault.kind()) {
            case KILL -> slot.kill(fault.value(FaultParameter.DOWN));
            case TERM -> slot.term(fault.value(FaultParameter.DOWN));
            case PAUSE -> pause(slot, duration);
            case WALL_STEP -> slot.stepWall(fault.value(FaultParameter.BY));
            case NO_DESCRIPTORS -> {

                // It can't accept connections meanwhile and for a while after, so that its clients

                // wait through no failure of the sidecar.
                reportLinkFault(slot, duration);
                overlaps.descriptorLimitBegan(slot.host(), duration);
                slot.host()
                        .maxDescriptors(
                                slot.host().descriptors()
                                        + (int) fault.value(FaultParameter.COUNT));
                day.after(
                        duration,
                        () ->
                                slot.host()
                                        .maxDescriptors(day.plan.count(ScenarioParameter.SOCKETS)));
            }
            case LINK_LATE ->
                    changeClientLinks(
                            slot,
                            duration,
                            conditions -> conditions.delay += fault.value(FaultParameter.BY));
            case LINK_CHOPPED ->
                    changeClientLinks(
                            slot,
                            duration,
                            conditions ->
                                    conditions.segment = -(int) fault.value(FaultParameter.COUNT));
            case LINK_THIN ->
                    changeClientLinks(
                            slot,
                            duration,
                            conditions ->
                                    conditions.bytesPerSecond = fault.value(FaultParameter.BYTES));
            case FLOOD ->
                    traffic.get(slots.all().indexOf(slot))
                            .flood(duration, fault.value(FaultParameter.RATE) / 1e6);
            case BAD ->
                    badClients.connect(
                            FaultKind.of(BadClientKind.class, fault.style()),
                            slot,
                            fault.value(FaultParameter.COUNT));
            default ->
                    throw new IllegalArgumentException("not a fault of a sidecar: " + fault.text());
        }
    }

    /**
     * Pauses a sidecar; on some pauses the servers send their last responses again. No request can
     * cross these copies, and the sidecar finds them unread when it continues.
     */
    private void pause(ProcessSlot slot, long duration) {
        slot.pause(duration);
        if (duration < MIN_PAUSE_FOR_COPIES_NANOS || !copyRandom.hits(COPIES_PROBABILITY)) {
            return;
        }
        long restAfter =
                copyRandom.hits(0.5) ? duration + copyRandom.nextLong(MAX_REST_DELAY_NANOS) : 0;
        day.after(
                SETTLE_NANOS,
                () -> {
                    for (Machine each : fleet.machines()) {
                        NetworkConditions path = day.network.conditions(each.host(), slot.host());
                        boolean quick =
                                path.delay + path.jitter < duration / 4
                                        && path.lossDelayProbability == 0
                                        && !path.blackHole;
                        if (each.server() != null && quick) {
                            each.server().repeatAnswers(slot.name(), restAfter);
                        }
                    }
                });
    }

    private void reportLinkFault(ProcessSlot slot, long duration) {
        long until = day.now() + duration + LINK_RECOVERY_NANOS;
        day.evidence.clientLinkTroubled(slot.name(), null, day.now() - 1, until);
    }

    private void changeClientLinks(
            ProcessSlot slot, long duration, Consumer<NetworkConditions> how) {
        reportLinkFault(slot, duration);
        links.change(slot.host(), duration, how);
    }

    /**
     * Drops everything between a zone and the others. Afterwards each connection continues or is
     * reset.
     */
    private void cutZone(int zone, long duration) {
        for (ProcessSlot slot : slots.all()) {
            boolean inside = slot.zone() == zone;
            for (Machine each : fleet.machines()) {
                if (inside != (each.zone() == zone)) {
                    dropPackets(slot, each.host(), duration);
                }
            }
            if (inside != (Registry.ZONE == zone)) {
                day.evidence.discoveryUnreachable(slot.name(), day.now(), day.now() + duration);
                discovery.addresses().forEach(each -> dropPackets(slot, each.host(), duration));
            }
        }
    }

    private void dropPackets(ProcessSlot slot, Host other, long duration) {
        links.change(slot.host(), other, duration, conditions -> conditions.blackHole = true);
        links.change(other, slot.host(), duration, conditions -> conditions.blackHole = true);
        if (random.hits(0.5)) {
            day.after(
                    duration,
                    () -> {
                        for (SimSocket each : day.network.sockets(slot.host())) {
                            if (each.peerHost() == other) {
                                each.fault(SimSocket.Fault.RESET);
                            }
                        }
                    });
        }
    }
}
