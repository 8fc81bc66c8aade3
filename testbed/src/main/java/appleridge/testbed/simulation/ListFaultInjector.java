package appleridge.testbed.simulation;

import appleridge.testbed.invariants.ObservedRequest;

/** Injects faults into the discovery service. */
final class ListFaultInjector {
    private final Day day;
    private final Discovery discovery;
    private final ProcessSlots slots;

    ListFaultInjector(Day day, Discovery discovery, ProcessSlots slots) {
        this.day = day;
        this.discovery = discovery;
        this.slots = slots;
    }

    void inject(Fault fault, ObservedRequest request) {
        Registry registry = discovery.registry();
        day.evidence.faultTriggered(
                fault.kind().word(), null, request == null ? null : request.id());
        long duration =
                fault.kind().params().contains(FaultParameter.FOR)
                        ? day.bounded(fault.value(FaultParameter.FOR))
                        : 0;
        switch (fault.kind()) {
            case LIST_DOWN -> {
                reportUnreachable(duration);
                registry.down(duration);
            }
            case LIST_SILENT -> {
                reportUnreachable(duration);
                registry.silent(duration);
            }
            case LIST_HANG -> {
                reportUnreachable(duration);
                registry.hang(duration);
            }
            case LIST_503 -> {
                reportUnreachable(duration);
                registry.failing(duration);
            }
            case LIST_SLOW -> registry.slow(duration, fault.value(FaultParameter.BY));
            case LIST_LOSES_WATCHES -> registry.loseWatches();
            case LIST_CUT -> registry.cut(fault.value(FaultParameter.COUNT));
            case LIST_GARBLED -> registry.garble(fault.value(FaultParameter.COUNT));
            case LIST_STALE -> registry.stale(duration, fault.value(FaultParameter.BY));
            case MOVE -> discovery.move();
            default ->
                    throw new IllegalArgumentException("not a fault of discovery: " + fault.text());
        }
    }

    private void reportUnreachable(long duration) {
        for (ProcessSlot each : slots.all()) {
            day.evidence.discoveryUnreachable(each.name(), day.now(), day.now() + duration);
        }
    }
}
