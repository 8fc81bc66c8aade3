package appleridge.daemon;

import appleridge.config.Defaults;
import appleridge.http1.ClientTimeouts;

/**
 * What an operator may set of a sidecar.
 *
 * @param times timeouts of clients' connections
 * @param clientsPart part of the process's descriptors for connections of clients, 0 to 1
 * @param upstreamsPart part of them for connections to upstream hosts; the rest is the process's
 *     own
 * @param source makes the source of the endpoint list
 */
public record RuntimeOptions(
        ClientTimeouts times, double clientsPart, double upstreamsPart, DiscoveryFactory source) {
    /** Where there is no operator's file. */
    public static final RuntimeOptions DEFAULTS =
            new RuntimeOptions(
                    ClientTimeouts.DEFAULT,
                    Defaults.CLIENT_CONNECTIONS_FRACTION,
                    Defaults.UPSTREAM_CONNECTIONS_FRACTION,
                    DiscoveryFactory::registry);

    /** The same with other timeouts. */
    RuntimeOptions with(ClientTimeouts other) {
        return new RuntimeOptions(other, clientsPart, upstreamsPart, source);
    }

    /** The same with another source of the endpoint list. */
    public RuntimeOptions with(DiscoveryFactory other) {
        return new RuntimeOptions(times, clientsPart, upstreamsPart, other);
    }
}
