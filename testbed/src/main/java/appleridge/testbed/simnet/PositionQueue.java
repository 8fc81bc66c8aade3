package appleridge.testbed.simnet;

import java.util.Arrays;

/** A queue of stream positions with a time for each; both increase from entry to entry. */
final class PositionQueue {
    private long[] positions = new long[8];
    private long[] times = new long[8];
    private int head;
    private int size;

    boolean isEmpty() {
        return size == 0;
    }

    int size() {
        return size;
    }

    long position(int index) {
        return positions[head + index & positions.length - 1];
    }

    long time(int index) {
        return times[head + index & times.length - 1];
    }

    /**
     * Appends a position. If `time` is not later than that of the last entry, the position replaces
     * the last entry's and keeps its time.
     */
    void add(long position, long time) {
        if (size > 0) {
            int last = head + size - 1 & positions.length - 1;
            if (times[last] >= time) {
                positions[last] = position;
                return;
            }
        }
        if (size == positions.length) {
            grow();
        }
        int at = head + size++ & positions.length - 1;
        positions[at] = position;
        times[at] = time;
    }

    void removeFirst() {
        head = head + 1 & positions.length - 1;
        size--;
    }

    private void grow() {
        int length = positions.length;
        long[] morePositions = Arrays.copyOf(positions, 2 * length);
        long[] moreTimes = Arrays.copyOf(times, 2 * length);
        System.arraycopy(positions, 0, morePositions, length, head);
        System.arraycopy(times, 0, moreTimes, length, head);
        positions = morePositions;
        times = moreTimes;
    }
}
