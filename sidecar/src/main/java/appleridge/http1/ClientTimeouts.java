package appleridge.http1;

import appleridge.config.Defaults;

/**
 * The time limits of a client connection, in milliseconds.
 *
 * @param requestMillis from the first byte of a request to its last byte
 * @param firstRequestMillis from the start of a connection to the first byte of its first request
 * @param idleMillis from a response to the first byte of the next request
 */
public record ClientTimeouts(long requestMillis, long firstRequestMillis, long idleMillis) {
    /** The defaults, whose reasons are given in {@link Defaults}. */
    public static final ClientTimeouts DEFAULT =
            new ClientTimeouts(
                    Defaults.REQUEST_TIMEOUT_MILLIS,
                    Defaults.FIRST_REQUEST_TIMEOUT_MILLIS,
                    Defaults.IDLE_TIMEOUT_MILLIS);

    /** How long a client that intends to send a request may take to do so after connecting. */
    static final long MAX_HESITATION_MILLIS = 250;
}
