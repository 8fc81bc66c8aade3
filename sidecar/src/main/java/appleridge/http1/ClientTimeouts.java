package appleridge.http1;

import appleridge.config.Defaults;

/**
 * How long a client connection may stay as it is, in milliseconds.
 *
 * @param requestMillis from a request's first byte to its last
 * @param firstRequestMillis from the connection's start to its first request's first byte
 * @param idleMillis from a response to the next request's first byte
 */
public record ClientTimeouts(long requestMillis, long firstRequestMillis, long idleMillis) {
    /** What {@link Defaults} says, with the reasons. */
    public static final ClientTimeouts DEFAULT =
            new ClientTimeouts(
                    Defaults.REQUEST_TIMEOUT_MILLIS,
                    Defaults.FIRST_REQUEST_TIMEOUT_MILLIS,
                    Defaults.IDLE_TIMEOUT_MILLIS);

    /** A client that means to send a request has done so by then. */
    static final long MAX_HESITATION_MILLIS = 250;
}
