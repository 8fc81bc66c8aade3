package appleridge.config.operator;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** The keys that {@code [membership]} and {@code [leases]} share: how to reach ZooKeeper. */
record CoordinationKeys(Table table) {
    /** Characters that the name of a file may have. */
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
                "the path on them that all others are under");
    }

    String root(String absent, String meaning) {
        return table.value("root", new ZooKeeperPathKind(false), absent, meaning);
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
                ValueKind.text(MAX_FILE_NAME_CHARS),
                "file that holds user:password");
    }

    Optional<MembershipSection.Tls> tls() {
        return MembershipSection.Tls.read(table.table("tls"));
    }

    /** Where the nodes stand and how they are reached, for {@code check-config} to print. */
    static String describe(
            String root,
            String chroot,
            List<InetSocketAddress> servers,
            Optional<MembershipSection.Tls> tls,
            Optional<String> digestFile) {
        return root
                + (chroot.isEmpty() ? "" : " under " + chroot)
                + " of "
                + (servers.size() == 1
                        ? "one coordination server"
                        : servers.size() + " coordination servers")
                + (tls.isPresent() ? ", over TLS" : "")
                + (digestFile.isPresent() ? ", as the user of digest-file" : "");
    }
}
