package appleridge.discovery.zookeeper;

import appleridge.config.Addresses;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;

/**
 * Where the nodes are, and how to get there.
 *
 * @param servers the ensemble's servers
 * @param chroot the path that all others are under, {@code /a/b}; empty for none
 * @param root the path that the nodes of servers stand under
 * @param shards whether they stand one level further down, under {@code root/SHARD/NAME}
 * @param sessionTimeoutMillis the session time-out to ask for
 * @param readOnly whether a server that has lost the others will do
 * @param digest who to be, {@code user:password}; null for nobody
 * @param tls null for plain TCP
 * @param maxResponseBytes the largest answer that is taken
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
     * How to prove who one is, and who to believe.
     *
     * @param trustStore certificates that the ensemble's must follow from
     * @param trustPassword a file that holds its password; null for none
     * @param keyStore one's own certificate and key; null for none
     * @param keyPassword a file that holds its password; null for none
     * @param checkAddress whether a server's certificate has to name its address
     */
    public record Tls(
            Path trustStore,
            Path trustPassword,
            Path keyStore,
            Path keyPassword,
            boolean checkAddress) {}

    /** The largest number of bytes that a node's data may have. */
    static final int NODE_BYTES = 64 * 1024;

    /** The connect string that the client takes: addresses, parted by commas, and the chroot. */
    String connect() {
        List<String> addresses = servers.stream().map(Addresses::format).toList();
        return String.join(",", addresses) + chroot;
    }
}
