package appleridge.config;

import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * The addresses of one sidecar; all are literal, none was looked up.
 *
 * @param listen where clients connect
 * @param registry where the registry answers
 * @param admin where operators connect; empty if the admin server is off
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
