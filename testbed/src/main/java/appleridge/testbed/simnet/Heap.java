package appleridge.testbed.simnet;

import java.util.Arrays;

/** A binary heap ordered by due time. Entries can be removed from any position. */
final class Heap<T extends HeapEntry> {
    private HeapEntry[] entries = new HeapEntry[64];
    private int size;

    int size() {
        return size;
    }

    boolean isEmpty() {
        return size == 0;
    }

    /** The entry that is due first; null if the heap is empty. */
    @SuppressWarnings("unchecked")
    T first() {
        return (T) entries[0];
    }

    void add(T entry) {
        if (size == entries.length) {
            entries = Arrays.copyOf(entries, 2 * size);
        }
        siftUp(size++, entry);
    }

    void remove(T entry) {
        int at = entry.index();
        if (at < 0) {
            return;
        }
        entry.index(-1);
        HeapEntry last = entries[--size];
        entries[size] = null;
        if (last != entry) {
            if (at > 0 && last.before(entries[(at - 1) >>> 1])) {
                siftUp(at, last);
            } else {
                siftDown(at, last);
            }
        }
    }

    void clear() {
        for (int i = 0; i < size; i++) {
            entries[i].index(-1);
            entries[i] = null;
        }
        size = 0;
    }

    private void siftUp(int from, HeapEntry entry) {
        int at = from;
        while (at > 0) {
            int parent = (at - 1) >>> 1;
            if (!entry.before(entries[parent])) {
                break;
            }
            put(at, entries[parent]);
            at = parent;
        }
        put(at, entry);
    }

    private void siftDown(int from, HeapEntry entry) {
        int at = from;
        for (int child = 2 * at + 1; child < size; child = 2 * at + 1) {
            if (child + 1 < size && entries[child + 1].before(entries[child])) {
                child++;
            }
            if (!entries[child].before(entry)) {
                break;
            }
            put(at, entries[child]);
            at = child;
        }
        put(at, entry);
    }

    private void put(int at, HeapEntry entry) {
        entries[at] = entry;
        entry.index(at);
    }
}
