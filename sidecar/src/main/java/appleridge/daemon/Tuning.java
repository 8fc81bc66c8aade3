package appleridge.daemon;

import appleridge.config.UsualValues;
import appleridge.http1.ClientTimes;

/**
 * What an operator may set of a sidecar; what nobody sets is as usual.
 *
 * @param times how long a client's connection may stay as it is
 * @param clientsPart part of the process's descriptors for connections of clients
 * @param upstreamsPart part of them for connections to upstreams; the rest is the process's own
 * @param source makes the source of the list
 */
public record Tuning(
        ClientTimes times, double clientsPart, double upstreamsPart, SourceFactory source) {
    /** Where there is no operator's file. */
    public static final Tuning USUAL =
            new Tuning(
                    ClientTimes.USUAL,
                    UsualValues.CLIENTS_PART,
                    UsualValues.UPSTREAMS_PART,
                    SourceFactory::registry);

    Tuning with(ClientTimes other) {
        return new Tuning(other, clientsPart, upstreamsPart, source);
    }

    /** The same with another source of the list. */
    public Tuning with(SourceFactory other) {
        return new Tuning(times, clientsPart, upstreamsPart, other);
    }
}
