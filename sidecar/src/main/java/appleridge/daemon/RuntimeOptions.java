package appleridge.daemon;

import appleridge.config.Defaults;
import appleridge.http1.ClientTimeouts;

/**
 * What an operator may set of a sidecar; what nobody sets is as usual.
 *
 * @param times how long a client's connection may stay as it is
 * @param clientsPart part of the process's descriptors for connections of clients
 * @param upstreamsPart part of them for connections to upstreams; the rest is the process's own
 * @param source makes the source of the list
 */
public record RuntimeOptions(
        ClientTimeouts times, double clientsPart, double upstreamsPart, DiscoveryFactory source) {
    /** Where there is no operator's file. */
    public static final RuntimeOptions USUAL =
            new RuntimeOptions(
                    ClientTimeouts.USUAL,
                    Defaults.CLIENTS_PART,
                    Defaults.UPSTREAMS_PART,
                    DiscoveryFactory::registry);

    RuntimeOptions with(ClientTimeouts other) {
        return new RuntimeOptions(other, clientsPart, upstreamsPart, source);
    }

    /** The same with another source of the list. */
    public RuntimeOptions with(DiscoveryFactory other) {
        return new RuntimeOptions(times, clientsPart, upstreamsPart, other);
    }
}
