package appleridge.testbed.simulation;

import appleridge.testbed.invariants.ObservedRequest;

/** Faults of discovery. */
final class ListFaultInjector {
    private final Day day;
    private final Discovery discovery;
    private final ProcessSlots seats;

    ListFaultInjector(Day day, Discovery discovery, ProcessSlots seats) {
        this.day = day;
        this.discovery = discovery;
        this.seats = seats;
    }

    void inject(Fault fault, ObservedRequest request) {
        Registry registry = discovery.registry();
        day.evidence.faultStruck(fault.kind().word(), null, request == null ? null : request.id());
        long duration =
                fault.kind().params().contains(FaultParameter.FOR)
                        ? day.bounded(fault.value(FaultParameter.FOR))
                        : 0;
        switch (fault.kind()) {
            case LIST_DOWN -> {
                unreachable(duration);
                registry.down(duration);
            }
            case LIST_SILENT -> {
                unreachable(duration);
                registry.silent(duration);
            }
            case LIST_HANG -> {
                unreachable(duration);
                registry.hang(duration);
            }
            case LIST_503 -> {
                unreachable(duration);
                registry.failing(duration);
            }
            case LIST_SLOW -> registry.slow(duration, fault.value(FaultParameter.BY));
            case LIST_LOSES_WATCHES -> registry.loseWatches();
            case LIST_CUT -> registry.cut(fault.value(FaultParameter.COUNT));
            case LIST_GARBLED -> registry.garble(fault.value(FaultParameter.COUNT));
            case LIST_STALE -> registry.stale(duration, fault.value(FaultParameter.BY));
            case MOVE -> discovery.move();
            default -> throw new IllegalArgumentException("no fault of discovery: " + fault.text());
        }
    }

    private void unreachable(long duration) {
        for (ProcessSlot each : seats.all()) {
            day.evidence.discoveryUnreachable(each.name(), day.now(), day.now() + duration);
        }
    }
}
