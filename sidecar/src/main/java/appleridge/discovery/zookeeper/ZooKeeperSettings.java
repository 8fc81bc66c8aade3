package appleridge.discovery.zookeeper;

import appleridge.config.Addresses;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;

/**
 * Settings of the connection to a ZooKeeper ensemble, and of the nodes' path.
 *
 * @param servers the addresses of the ensemble's servers
 * @param chroot the prefix of all other paths, such as {@code /a/b}; empty for none
 * @param root the parent path of the servers' nodes
 * @param shards whether the nodes are one level further down, at {@code root/SHARD/NAME}
 * @param sessionTimeoutMillis the session time-out to request
 * @param readOnly whether to connect to a server that has lost its quorum
 * @param digest credentials, {@code user:password}; null for none
 * @param tls null for plain TCP
 * @param maxResponseBytes the size limit of a response, in bytes
 */
public record ZooKeeperSettings(
        List<InetSocketAddress> servers,
        String chroot,
        String root,
        boolean shards,
        int sessionTimeoutMillis,
        boolean readOnly,
        String digest,
        Tls tls,
        int maxResponseBytes) {
    /**
     * Settings of TLS.
     *
     * @param trustStore file of the trusted certificates
     * @param trustPasswordFile file with the password of the trust store; null for none
     * @param keyStore file of the client's certificate and key; null for none
     * @param keyPasswordFile file with the password of the key store; null for none
     * @param checkAddress whether a server's certificate must name its address
     */
    public record Tls(
            Path trustStore,
            Path trustPasswordFile,
            Path keyStore,
            Path keyPasswordFile,
            boolean checkAddress) {}

    /** Size limit of a node's data, in bytes. */
    static final int MAX_NODE_BYTES = 64 * 1024;

    /** Returns the client's connect string: addresses separated by commas, and the chroot. */
    String connectString() {
        List<String> addresses = servers.stream().map(Addresses::format).toList();
        return String.join(",", addresses) + chroot;
    }
}
