package appleridge.http1;

/**
 * The maximum numbers of bytes that one sidecar buffers for all its peers together.
 *
 * @param requestBytes for requests that are received, wait or are in flight
 * @param responseBytes for responses that are received or wait
 * @param unreadBytes for responses that are written and that clients do not read
 * @param unsentBytes for requests that are written and that upstreams do not read
 */
public record BufferLimits(
        long requestBytes, long responseBytes, long unreadBytes, long unsentBytes) {
    private static final int HEAP_PARTS_FOR_REQUESTS = 4;
    private static final int HEAP_PARTS_FOR_RESPONSES = 8;

    /** A third and a sixth of the memory outside the heap that the deploy file allows. */
    private static final long UNREAD_BYTES = 8 << 20;

    private static final long UNSENT_BYTES = 4 << 20;

    /** Returns limits that leave more than half of a heap to everything else. */
    public static BufferLimits ofHeap(long maxHeapBytes) {
        return new BufferLimits(
                maxHeapBytes / HEAP_PARTS_FOR_REQUESTS,
                maxHeapBytes / HEAP_PARTS_FOR_RESPONSES,
                UNREAD_BYTES,
                UNSENT_BYTES);
    }
}
