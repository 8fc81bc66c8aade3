package appleridge.http1;

import appleridge.request.MonotonicClock;
import java.util.concurrent.TimeUnit;

/**
 * Tracks when a client connection was last active and tells which of its time limits have passed.
 * Event loop only; all times are nanoseconds on the loop's clock.
 */
final class ClientActivity {
    /** The minimum rate, in bytes per millisecond, at which a request body must arrive. */
    private static final int MIN_BODY_BYTES_PER_MILLI = 60;

    /**
     * How long the client of a streamed response may read nothing before the connection is reset.
     */
    private static final long MAX_STREAM_WRITE_STALL_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final MonotonicClock clock;
    private boolean hasReceivedRequest;
    private boolean receiving;
    private long stateSinceNanos;
    private long lastReadNanos;

    /** When reading was paused; 0 while it is not paused. */
    private long readPausedAtNanos;

    private long lastStreamProgressNanos;

    ClientActivity(MonotonicClock clock) {
        this.clock = clock;
        this.stateSinceNanos = clock.nanoTime();
    }

    /** Records that all available input has been read from the socket. */
    void onReadComplete(long now) {
        lastReadNanos = now;
    }

    /**
     * Records that a request has begun to arrive, which starts its time limit. No-op while one
     * arrives.
     */
    void onRequestStarted() {
        if (!receiving) {
            receiving = true;
            stateSinceNanos = clock.nanoTime();
        }
    }

    /** Records that a request is complete, or that its body is streamed from now on. */
    void onRequestReceived() {
        hasReceivedRequest = true;
        receiving = false;
        stateSinceNanos = clock.nanoTime();
    }

    /** Records that the last byte of a streamed request body has arrived. */
    void onUploadComplete() {
        stateSinceNanos = clock.nanoTime();
    }

    /** Records that a response or a part of one has been written to, or read by, the client. */
    void onResponseActivity() {
        stateSinceNanos = receiving ? stateSinceNanos : clock.nanoTime();
    }

    /** Records that a streamed response has started, or that the client has read some of it. */
    void onStreamProgress() {
        lastStreamProgressNanos = clock.nanoTime();
    }

    /** Records that reading pauses, because the upstream cannot take more of the request body. */
    void onReadPaused() {
        readPausedAtNanos = clock.nanoTime();
    }

    /** Records that reading resumes. The pause does not count against the time of the request. */
    void onReadResumed() {
        lastReadNanos = clock.nanoTime();
        stateSinceNanos += lastReadNanos - readPausedAtNanos;
        readPausedAtNanos = 0;
    }

    /** Whether a request has been received since the connection was opened. */
    boolean hasReceivedRequest() {
        return hasReceivedRequest;
    }

    /** Whether a request has begun to arrive and is neither complete nor streamed. */
    boolean isReceiving() {
        return receiving;
    }

    /** Whether reading is paused until the upstream takes more of the request body. */
    boolean isReadPaused() {
        return readPausedAtNanos != 0;
    }

    /** When the connection became idle, or when the request being received began. */
    long stateSinceNanos() {
        return stateSinceNanos;
    }

    /** How long the connection has been in its current state, in milliseconds. */
    long stateMillis(long now) {
        return TimeUnit.NANOSECONDS.toMillis(now - stateSinceNanos);
    }

    /**
     * Whether the request being received takes too long: either nothing has arrived for the request
     * timeout, or the whole request has taken longer than that timeout plus the time of its body at
     * the minimum rate.
     *
     * @param bodyBytes the number of body bytes received so far
     */
    boolean isRequestOverdue(long now, ClientTimeouts timeouts, long bodyBytes) {
        return TimeUnit.NANOSECONDS.toMillis(now - lastReadNanos) >= timeouts.requestMillis()
                || stateMillis(now)
                        >= timeouts.requestMillis() + bodyBytes / MIN_BODY_BYTES_PER_MILLI;
    }

    /** Whether the client has read nothing of a streamed response for too long. */
    boolean isStreamStalled(long now) {
        return now - lastStreamProgressNanos >= MAX_STREAM_WRITE_STALL_NANOS;
    }
}
