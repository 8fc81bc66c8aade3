package appleridge.request;

import java.net.InetSocketAddress;

/**
 * An upstream and where it listens. Danger: one may take over the address of another that has gone,
 * and must not take over its connections.
 */
public record Endpoint(long upstream, InetSocketAddress address) {
    /** Written out: what a record brings by itself the JVM makes at each start. */
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
