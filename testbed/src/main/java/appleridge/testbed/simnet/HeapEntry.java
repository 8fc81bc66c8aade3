package appleridge.testbed.simnet;

/**
 * A heap entry with a due time; entries due at the same time are ordered by a random tie-breaker.
 */
abstract class HeapEntry {
    private final long tie;
    private final long serial;
    private long when;

    /** The position in the heap; -1 if not in a heap. */
    private int index = -1;

    HeapEntry(long when, long tie, long serial) {
        this.when = when;
        this.tie = tie;
        this.serial = serial;
    }

    final long due() {
        return when;
    }

    /** Sets the due time; allowed only while the entry is in no heap. */
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

    final boolean before(HeapEntry other) {
        if (when != other.when) {
            return when < other.when;
        }
        return tie != other.tie ? tie < other.tie : serial < other.serial;
    }
}
