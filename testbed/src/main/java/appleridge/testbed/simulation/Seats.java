package appleridge.testbed.simulation;

import appleridge.testbed.simnet.Chance;
import java.util.ArrayList;
import java.util.List;

/** The places of all sidecars. */
final class Seats {
    private final List<Seat> all = new ArrayList<>();
    private final List<Runnable> told = new ArrayList<>();

    List<Seat> all() {
        return all;
    }

    /** Null if there is none of that name. */
    Seat seat(String name) {
        for (Seat each : all) {
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
    Seat choose(int own, Chance chance) {
        if (all.get(own).isUsable()) {
            return all.get(own);
        }
        List<Seat> usable = new ArrayList<>(all);
        usable.removeIf(seat -> !seat.isUsable());
        return usable.isEmpty() ? null : chance.pick(usable);
    }
}
