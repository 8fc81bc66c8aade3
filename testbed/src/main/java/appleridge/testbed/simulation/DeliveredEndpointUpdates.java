package appleridge.testbed.simulation;

import appleridge.testbed.invariants.DayListener;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What each sidecar has been told of the list, by whomever. */
final class DeliveredEndpointUpdates {
    private final DayListener evidence;
    private final Map<String, Map<String, Instances.Entry>> bySidecar = new LinkedHashMap<>();

    DeliveredEndpointUpdates(DayListener evidence) {
        this.evidence = evidence;
    }

    /**
     * A list has been written to it; a whole one also says of those that it leaves out that they
     * are gone.
     */
    void record(String sidecar, boolean all, List<Instances.Entry> entries) {
        Map<String, Instances.Entry> known =
                bySidecar.computeIfAbsent(sidecar, any -> new LinkedHashMap<>());
        if (all) {
            List<Instances.Entry> left = new ArrayList<>(known.values());
            for (Instances.Entry each : entries) {
                left.removeIf(entry -> entry.uid().equals(each.uid()));
            }
            for (Instances.Entry each : left) {
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

    /** Its process is a new one that knows nothing but this. */
    void restart(String sidecar, List<Instances.Entry> entries) {
        bySidecar.remove(sidecar);
        record(sidecar, true, entries);
    }
}
