package appleridge.request;

import java.net.InetSocketAddress;

/**
 * An upstream host and the address it listens on. The address alone does not identify a host: a
 * host that takes over the address of another one must not get the other's connections.
 *
 * @param upstream the id of the host
 * @param address where it listens
 */
public record Endpoint(long upstream, InetSocketAddress address) {
    /** Written by hand, because the JVM generates a record's own methods anew at each start. */
    @Override
    public boolean equals(Object other) {
        return other instanceof Endpoint that
                && upstream == that.upstream
                && address.equals(that.address);
    }

    @Override
    public int hashCode() {
        return 31 * Long.hashCode(upstream) + address.hashCode();
    }
}
