package appleridge.testbed.simulation;

import java.util.List;

/** The discovery service: its current address, and its moves to other addresses. */
final class Discovery {
    private final List<Registry> addresses;
    private final ProcessSlots slots;
    private int current;

    /**
     * @param addresses the addresses that it uses one after the other
     */
    Discovery(List<Registry> addresses, ProcessSlots slots) {
        this.addresses = addresses;
        this.slots = slots;
    }

    Registry registry() {
        return addresses.get(current);
    }

    List<Registry> addresses() {
        return addresses;
    }

    /** Moves to the next address and sends SIGHUP to all sidecars; false if there is none left. */
    boolean move() {
        if (current == addresses.size() - 1) {
            return false;
        }
        Registry previous = registry();
        current++;
        registry().listen();
        previous.retire();
        slots.all().forEach(slot -> slot.hup(registry()));
        return true;
    }
}
