package appleridge.http1;

import appleridge.request.MonotonicClock;
import java.util.concurrent.TimeUnit;

/**
 * When something last happened on one client connection, and which of its times are up. Loop thread
 * only; all times are nanoseconds of the loop's clock.
 */
final class ClientActivity {
    /** Bytes a millisecond at which a request's body has to arrive at least. */
    private static final int MIN_BODY_BYTES_PER_MILLI = 60;

    /** A streamed response of which the client takes nothing for so long is cut off. */
    private static final long MAX_STREAM_WRITE_STALL_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final MonotonicClock clock;
    private boolean hasReceivedRequest;
    private boolean receiving;
    private long stateSinceNanos;
    private long lastReadNanos;
    private long readPausedAtNanos;
    private long lastStreamProgressNanos;

    ClientActivity(MonotonicClock clock) {
        this.clock = clock;
        this.stateSinceNanos = clock.nanoTime();
    }

    /** Everything that the socket held has been read. */
    void onReadComplete() {
        lastReadNanos = clock.nanoTime();
    }

    /** A request has begun to arrive: its time runs, however slowly the rest of it comes. */
    void onRequestStarted() {
        if (!receiving) {
            receiving = true;
            stateSinceNanos = clock.nanoTime();
        }
    }

    /** A request is complete, or its body is from now on streamed. */
    void onRequestReceived() {
        hasReceivedRequest = true;
        receiving = false;
        stateSinceNanos = clock.nanoTime();
    }

    /** The last byte of a streamed request body has arrived. */
    void onUploadComplete() {
        stateSinceNanos = clock.nanoTime();
    }

    /** A response, or a part of one, has been written or taken by the client. */
    void onResponseActivity() {
        stateSinceNanos = receiving ? stateSinceNanos : clock.nanoTime();
    }

    /** A streamed response starts, or the client has taken some of it. */
    void onStreamProgress() {
        lastStreamProgressNanos = clock.nanoTime();
    }

    /** Reading stops, for the upstream has enough of the request's body. */
    void onReadPaused() {
        readPausedAtNanos = clock.nanoTime();
    }

    /** Reading goes on; the pause does not count against the client. */
    void onReadResumed() {
        lastReadNanos = clock.nanoTime();
        stateSinceNanos += lastReadNanos - readPausedAtNanos;
        readPausedAtNanos = 0;
    }

    /** Whether a request has been received since the connection was opened. */
    boolean hasReceivedRequest() {
        return hasReceivedRequest;
    }

    /** Whether a request has begun to arrive and is not complete. */
    boolean isReceiving() {
        return receiving;
    }

    /** Whether reading is paused until the upstream has taken more. */
    boolean isReadPaused() {
        return readPausedAtNanos != 0;
    }

    /** Since when the connection is idle, or when the request being received began. */
    long stateSinceNanos() {
        return stateSinceNanos;
    }

    /** How long the connection has been as it is. */
    long stateMillis(long now) {
        return TimeUnit.NANOSECONDS.toMillis(now - stateSinceNanos);
    }

    /**
     * Whether the request being received takes too long: either nothing came for the time that a
     * request has, or all of it took longer than that and its body's time at the slowest rate.
     *
     * @param bodyBytes of the body that have arrived
     */
    boolean isRequestOverdue(long now, ClientTimeouts timeouts, long bodyBytes) {
        return TimeUnit.NANOSECONDS.toMillis(now - lastReadNanos) >= timeouts.requestMillis()
                || stateMillis(now)
                        >= timeouts.requestMillis() + bodyBytes / MIN_BODY_BYTES_PER_MILLI;
    }

    /** Whether the client has taken nothing of a streamed response for too long. */
    boolean isStreamStalled(long now) {
        return now - lastStreamProgressNanos >= MAX_STREAM_WRITE_STALL_NANOS;
    }
}
