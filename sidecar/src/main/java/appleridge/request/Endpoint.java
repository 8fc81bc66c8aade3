package appleridge.request;

import java.net.InetSocketAddress;

/**
 * An upstream host and where it listens. A host is not its address: one that takes over the address
 * of another that has gone must not be given the other's connections.
 */
public record Endpoint(long upstream, InetSocketAddress address) {
    /** Written out, because the JVM generates a record's own methods anew at each start. */
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
