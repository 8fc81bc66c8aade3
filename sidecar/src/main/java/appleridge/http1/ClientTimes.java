package appleridge.http1;

import appleridge.config.UsualValues;

/**
 * How long a client's connection may stay as it is, in milliseconds.
 *
 * @param request from a request's first byte to its last
 * @param first from the connection's start to its first request's first byte
 * @param idle from an answer to the next request's first byte
 */
public record ClientTimes(long request, long first, long idle) {
    /** What {@link UsualValues} says, with the reasons. */
    public static final ClientTimes USUAL =
            new ClientTimes(
                    UsualValues.REQUEST_MILLIS,
                    UsualValues.FIRST_REQUEST_MILLIS,
                    UsualValues.IDLE_MILLIS);

    /** A client that means to ask has done so long since. */
    static final long HESITATES = 250;
}
