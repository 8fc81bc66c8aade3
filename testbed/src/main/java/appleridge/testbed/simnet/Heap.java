package appleridge.testbed.simnet;

import java.util.Arrays;

/** What is planned, the first on top; what is taken back leaves at once. */
final class Heap<T extends Planned> {
    private Planned[] planned = new Planned[64];
    private int size;

    int size() {
        return size;
    }

    boolean isEmpty() {
        return size == 0;
    }

    /** Null if there is none. */
    @SuppressWarnings("unchecked")
    T first() {
        return (T) planned[0];
    }

    void add(T one) {
        if (size == planned.length) {
            planned = Arrays.copyOf(planned, 2 * size);
        }
        rise(size++, one);
    }

    void remove(T one) {
        int at = one.index();
        if (at < 0) {
            return;
        }
        one.index(-1);
        Planned last = planned[--size];
        planned[size] = null;
        if (last != one) {
            if (at > 0 && last.before(planned[(at - 1) >>> 1])) {
                rise(at, last);
            } else {
                sink(at, last);
            }
        }
    }

    void clear() {
        for (int i = 0; i < size; i++) {
            planned[i].index(-1);
            planned[i] = null;
        }
        size = 0;
    }

    private void rise(int from, Planned one) {
        int at = from;
        while (at > 0) {
            int parent = (at - 1) >>> 1;
            if (!one.before(planned[parent])) {
                break;
            }
            put(at, planned[parent]);
            at = parent;
        }
        put(at, one);
    }

    private void sink(int from, Planned one) {
        int at = from;
        for (int child = 2 * at + 1; child < size; child = 2 * at + 1) {
            if (child + 1 < size && planned[child + 1].before(planned[child])) {
                child++;
            }
            if (!planned[child].before(one)) {
                break;
            }
            put(at, planned[child]);
            at = child;
        }
        put(at, one);
    }

    private void put(int at, Planned one) {
        planned[at] = one;
        one.index(at);
    }
}
