package appleridge.testbed.simulation;

import appleridge.testbed.invariants.DayListener;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The endpoint list as it has been delivered to each sidecar, from any source. */
final class DeliveredEndpointUpdates {
    private final DayListener evidence;
    private final Map<String, Map<String, Instances.Entry>> bySidecar = new LinkedHashMap<>();

    DeliveredEndpointUpdates(DayListener evidence) {
        this.evidence = evidence;
    }

    /**
     * Records a list that has been written to a sidecar.
     *
     * @param all whether the list is a snapshot; entries that it does not contain are then gone
     */
    void record(String sidecar, boolean all, List<Instances.Entry> entries) {
        Map<String, Instances.Entry> known =
                bySidecar.computeIfAbsent(sidecar, any -> new LinkedHashMap<>());
        if (all) {
            List<Instances.Entry> missing = new ArrayList<>(known.values());
            for (Instances.Entry each : entries) {
                missing.removeIf(entry -> entry.uid().equals(each.uid()));
            }
            for (Instances.Entry each : missing) {
                known.remove(each.uid());
                evidence.listDelivered(sidecar, each.uid(), Instances.GONE, each.bornAt());
            }
        }
        for (Instances.Entry each : entries) {
            if (each.state().equals(Instances.GONE)) {
                known.remove(each.uid());
            } else {
                known.put(each.uid(), each);
            }
            evidence.listDelivered(sidecar, each.uid(), each.state(), each.bornAt());
        }
    }

    /** A new process has started on this sidecar and knows only these entries. */
    void restart(String sidecar, List<Instances.Entry> entries) {
        bySidecar.remove(sidecar);
        record(sidecar, true, entries);
    }
}
