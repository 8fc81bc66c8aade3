package appleridge.testbed.simnet;

/**
 * A growable ring buffer over a byte stream. Positions count from the start of the stream; the ring
 * holds the bytes from {@link #start} (inclusive) to {@link #end} (exclusive).
 */
final class ByteRing {
    private static final int FIRST = 512;

    private byte[] bytes = new byte[0];
    private long start;
    private long end;

    long start() {
        return start;
    }

    long end() {
        return end;
    }

    void put(byte[] from, int offset, int length) {
        int needed = (int) (end - start) + length;
        if (needed > bytes.length) {
            grow(needed);
        }
        int at = (int) (end & bytes.length - 1);
        int first = Math.min(length, bytes.length - at);
        System.arraycopy(from, offset, bytes, at, first);
        System.arraycopy(from, offset + first, bytes, 0, length - first);
        end += length;
    }

    void take(byte[] into, int offset, int length) {
        copy(into, offset, length);
        start += length;
    }

    /** Drops all bytes held; {@link #start} moves to {@link #end}. */
    void clear() {
        bytes = new byte[0];
        start = end;
    }

    private void copy(byte[] into, int offset, int length) {
        int at = (int) (start & bytes.length - 1);
        int first = Math.min(length, bytes.length - at);
        System.arraycopy(bytes, at, into, offset, first);
        System.arraycopy(bytes, 0, into, offset + first, length - first);
    }

    private void grow(int needed) {
        int length = Math.max(FIRST, Integer.highestOneBit(needed - 1) << 1);
        byte[] more = new byte[length];
        int held = (int) (end - start);
        if (held > 0) {
            byte[] all = new byte[held];
            copy(all, 0, held);
            int at = (int) (start & length - 1);
            int first = Math.min(held, length - at);
            System.arraycopy(all, 0, more, at, first);
            System.arraycopy(all, first, more, 0, held - first);
        }
        bytes = more;
    }
}
