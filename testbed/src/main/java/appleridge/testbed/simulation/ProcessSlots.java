package appleridge.testbed.simulation;

import appleridge.testbed.simnet.SeededRandom;
import java.util.ArrayList;
import java.util.List;

/** The process slots of all sidecars. */
final class ProcessSlots {
    private final List<ProcessSlot> all = new ArrayList<>();
    private final List<Runnable> readyCallbacks = new ArrayList<>();

    List<ProcessSlot> all() {
        return all;
    }

    /** Returns null if there is no sidecar of that name. */
    ProcessSlot slot(String name) {
        for (ProcessSlot each : all) {
            if (each.name().equals(name)) {
                return each;
            }
        }
        return null;
    }

    /** Adds a callback for when a sidecar becomes ready. */
    void onReady(Runnable callback) {
        readyCallbacks.add(callback);
    }

    void becameReady() {
        readyCallbacks.forEach(Runnable::run);
    }

    /** Returns the client's own sidecar if it is ready, else any other that is, else null. */
    ProcessSlot choose(int own, SeededRandom random) {
        if (all.get(own).isUsable()) {
            return all.get(own);
        }
        List<ProcessSlot> usable = new ArrayList<>(all);
        usable.removeIf(slot -> !slot.isUsable());
        return usable.isEmpty() ? null : random.pick(usable);
    }
}
