package appleridge.daemon;

import appleridge.config.Defaults;
import appleridge.http1.BufferLimits;
import appleridge.http1.ClientTimeouts;

/**
 * Settings of a sidecar that the operator's file can change; {@link #DEFAULTS} where there is none.
 *
 * @param clientTimeouts timeouts of client connections
 * @param clientConnectionsFraction fraction of the process's file descriptors that client
 *     connections may use, 0 to 1
 * @param upstreamConnectionsFraction fraction that connections to upstream hosts may use; the
 *     remaining descriptors are for the process itself
 * @param discovery creates the source of the endpoint list
 * @param bufferLimits the maximum numbers of bytes that are buffered for peers
 */
public record RuntimeOptions(
        ClientTimeouts clientTimeouts,
        double clientConnectionsFraction,
        double upstreamConnectionsFraction,
        DiscoveryFactory discovery,
        BufferLimits bufferLimits) {
    /** The options of a sidecar without an operator's file. */
    public static final RuntimeOptions DEFAULTS =
            new RuntimeOptions(
                    ClientTimeouts.DEFAULT,
                    Defaults.CLIENT_CONNECTIONS_FRACTION,
                    Defaults.UPSTREAM_CONNECTIONS_FRACTION,
                    DiscoveryFactory::registry,
                    BufferLimits.ofHeap(Runtime.getRuntime().maxMemory()));

    /** Returns a copy with other client timeouts. */
    RuntimeOptions withClientTimeouts(ClientTimeouts other) {
        return new RuntimeOptions(
                other,
                clientConnectionsFraction,
                upstreamConnectionsFraction,
                discovery,
                bufferLimits);
    }

    /** Returns a copy with another source of the endpoint list. */
    public RuntimeOptions withDiscovery(DiscoveryFactory other) {
        return new RuntimeOptions(
                clientTimeouts,
                clientConnectionsFraction,
                upstreamConnectionsFraction,
                other,
                bufferLimits);
    }

    /** Returns a copy with other limits of what is buffered. */
    public RuntimeOptions withBufferLimits(BufferLimits other) {
        return new RuntimeOptions(
                clientTimeouts,
                clientConnectionsFraction,
                upstreamConnectionsFraction,
                discovery,
                other);
    }
}
