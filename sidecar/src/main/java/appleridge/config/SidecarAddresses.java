package appleridge.config;

import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * The addresses of one sidecar. All are literal IP addresses; no name is resolved.
 *
 * @param listen the address on which clients connect
 * @param registry the registry's address
 * @param admin the admin server's address; empty if the admin server is off
 */
public record SidecarAddresses(
        InetSocketAddress listen, InetSocketAddress registry, Optional<InetSocketAddress> admin) {
    SidecarAddresses withListen(InetSocketAddress other) {
        return new SidecarAddresses(other, registry, admin);
    }

    SidecarAddresses withAdmin(InetSocketAddress other) {
        return new SidecarAddresses(listen, registry, Optional.of(other));
    }
}
