package appleridge.config.operator;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** The keys that {@code [membership]} and {@code [leases]} share: the connection to ZooKeeper. */
record CoordinationKeys(Table table) {
    /** Maximum number of characters in a file name. */
    static final int MAX_FILE_NAME_CHARS = 1024;

    private static final int MAX_SERVERS = 9;
    private static final Duration MIN_SESSION_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration MAX_SESSION_TIMEOUT = Duration.ofMinutes(1);
    private static final Duration DEFAULT_SESSION_TIMEOUT = Duration.ofSeconds(6);

    List<InetSocketAddress> servers() {
        return table.required(
                "servers",
                ValueKind.list(ValueKind.address(), 1, MAX_SERVERS),
                List.of(),
                "the coordination servers");
    }

    String chroot() {
        return table.value(
                "chroot",
                new ZooKeeperPathKind(true),
                "",
                "the ZooKeeper path that all other paths are relative to");
    }

    String root(String defaultRoot, String meaning) {
        return table.value("root", new ZooKeeperPathKind(false), defaultRoot, meaning);
    }

    Duration sessionTimeout(String meaning) {
        return table.value(
                "session-timeout",
                ValueKind.duration(MIN_SESSION_TIMEOUT, MAX_SESSION_TIMEOUT),
                DEFAULT_SESSION_TIMEOUT,
                meaning);
    }

    Optional<String> digestFile() {
        return table.optional(
                "digest-file",
                ValueKind.string(MAX_FILE_NAME_CHARS),
                "file that contains user:password");
    }

    Optional<MembershipSection.Tls> tls() {
        return MembershipSection.Tls.read(table.table("tls"));
    }

    /** Describes the path of the nodes and the connection, for {@code check-config} to print. */
    static String describe(
            String root,
            String chroot,
            List<InetSocketAddress> servers,
            Optional<MembershipSection.Tls> tls,
            Optional<String> digestFile) {
        return root
                + (chroot.isEmpty() ? "" : " under " + chroot)
                + " on "
                + (servers.size() == 1
                        ? "one coordination server"
                        : servers.size() + " coordination servers")
                + (tls.isPresent() ? ", over TLS" : "")
                + (digestFile.isPresent() ? ", authenticated by digest-file" : "");
    }
}
