package appleridge.testbed.simulation;

import appleridge.testbed.simnet.SeededRandom;
import java.util.ArrayList;
import java.util.List;

/** The places of all sidecars. */
final class ProcessSlots {
    private final List<ProcessSlot> all = new ArrayList<>();
    private final List<Runnable> told = new ArrayList<>();

    List<ProcessSlot> all() {
        return all;
    }

    /** Null if there is none of that name. */
    ProcessSlot slot(String name) {
        for (ProcessSlot each : all) {
            if (each.name().equals(name)) {
                return each;
            }
        }
        return null;
    }

    /** Told when one has become ready. */
    void onReady(Runnable what) {
        told.add(what);
    }

    void becameReady() {
        told.forEach(Runnable::run);
    }

    /** The own one, another one if that isn't ready, or null. */
    ProcessSlot choose(int own, SeededRandom chance) {
        if (all.get(own).isUsable()) {
            return all.get(own);
        }
        List<ProcessSlot> usable = new ArrayList<>(all);
        usable.removeIf(seat -> !seat.isUsable());
        return usable.isEmpty() ? null : chance.pick(usable);
    }
}
