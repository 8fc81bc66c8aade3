package appleridge.testbed.simnet;

/** Something with a moment; what has the same one is ordered by a drawn tie. */
abstract class Planned {
    private final long tie;
    private final long serial;
    private long when;

    /** Where its heap has it; -1: nowhere. */
    private int index = -1;

    Planned(long when, long tie, long serial) {
        this.when = when;
        this.tie = tie;
        this.serial = serial;
    }

    final long due() {
        return when;
    }

    /** Only while no heap has it. */
    final void due(long then) {
        when = then;
    }

    final long serial() {
        return serial;
    }

    final int index() {
        return index;
    }

    final void index(int at) {
        index = at;
    }

    final boolean before(Planned other) {
        if (when != other.when) {
            return when < other.when;
        }
        return tie != other.tie ? tie < other.tie : serial < other.serial;
    }
}
