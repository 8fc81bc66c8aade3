package appleridge.testbed.invariants;

import java.util.ArrayList;
import java.util.List;

/** The entries that discovery itself holds, in the order in which it learned them. */
final class DiscoveryHistory {
    /** One change of a server, or its first entry. */
    record Entry(long at, String uid, String state, long bornAt) {
        /** Compares state and start; lists give a start to the millisecond. */
        boolean matches(String otherState, long otherBornAt) {
            return state.equals(otherState) && Math.abs(bornAt - otherBornAt) < TimeSpans.MS;
        }
    }

    private final List<Entry> entries = new ArrayList<>();

    void add(Entry entry) {
        entries.add(entry);
    }

    int size() {
        return entries.size();
    }

    Entry get(int index) {
        return entries.get(index);
    }

    /**
     * Returns the index of the last matching entry; -1 if there is none, as for what was known
     * before the day.
     */
    int lastIndex(String uid, String state, long bornAt) {
        for (int i = entries.size() - 1; i >= 0; i--) {
            Entry each = entries.get(i);
            if (each.uid.equals(uid) && each.matches(state, bornAt)) {
                return i;
            }
        }
        return -1;
    }
}
