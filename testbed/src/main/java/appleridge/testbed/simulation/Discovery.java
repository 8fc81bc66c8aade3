package appleridge.testbed.simulation;

import java.util.List;

/** Discovery as a whole: the address at which it is to be found just now, and its moves. */
final class Discovery {
    private final List<Registry> addresses;
    private final ProcessSlots seats;
    private int current;

    /**
     * @param addresses where it will be, one after the other
     */
    Discovery(List<Registry> addresses, ProcessSlots seats) {
        this.addresses = addresses;
        this.seats = seats;
    }

    Registry registry() {
        return addresses.get(current);
    }

    List<Registry> addresses() {
        return addresses;
    }

    /** Goes to its next address, and has all sidecars told; false if there is none left. */
    boolean move() {
        if (current == addresses.size() - 1) {
            return false;
        }
        Registry old = registry();
        current++;
        registry().listen();
        old.retire();
        seats.all().forEach(seat -> seat.hup(registry()));
        return true;
    }
}
