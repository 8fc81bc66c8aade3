package appleridge.config.operator;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * {@code [membership]}: order servers as ephemeral nodes in ZooKeeper. Read once; a change needs a
 * restart.
 *
 * @param source which sources make the list
 * @param servers the ensemble's servers
 * @param chroot the path that all others are under; empty for none
 * @param root the path that the servers' nodes stand under
 * @param shards whether they stand one level further down
 * @param sessionTimeout the session time-out to ask for
 * @param readOnly whether a coordination server that has lost the others will do
 * @param digestFile a file with {@code user:password}
 * @param answerLimit the largest answer in bytes that is taken from the ensemble
 * @param tls {@code [membership.tls]}; empty for plain TCP
 */
public record MembershipSection(
        Source source,
        List<InetSocketAddress> servers,
        String chroot,
        String root,
        boolean shards,
        Duration sessionTimeout,
        boolean readOnly,
        Optional<String> digestFile,
        long answerLimit,
        Optional<Tls> tls) {
    /** Which sources make the list. */
    public enum Source {
        /** Ephemeral nodes alone. */
        NODES,
        /** Ephemeral nodes and the registry. */
        BOTH
    }

    /**
     * {@code [membership.tls]}, and {@code [leases.tls]}.
     *
     * @param trustStore file of the certificates to believe: PEM, JKS or PKCS12, by its name's end
     * @param trustPasswordFile file that holds its password
     * @param keyStore file of one's own certificate and key
     * @param keyPasswordFile file that holds its password
     * @param checkAddress whether a server's certificate has to name its address
     */
    public record Tls(
            String trustStore,
            Optional<String> trustPasswordFile,
            Optional<String> keyStore,
            Optional<String> keyPasswordFile,
            boolean checkAddress) {
        /** Of a table of the coordination service's; empty if it isn't there. */
        static Optional<Tls> read(Table table) {
            if (!table.present()) {
                return Optional.empty();
            }
            ValueKind<String> file = ValueKind.text(LONGEST);
            Tls tls =
                    new Tls(
                            table.required(
                                    "trust-store", file, "", "file of the certificates to believe"),
                            table.optional(
                                    "trust-password-file", file, "file that holds its password"),
                            table.optional(
                                    "key-store",
                                    file,
                                    "file of the sidecar's own certificate and key"),
                            table.optional(
                                    "key-password-file", file, "file that holds its password"),
                            table.value(
                                    "check-address",
                                    ValueKind.flag(),
                                    true,
                                    "whether a coordination server's certificate has to name its"
                                            + " address"));
            if (table.sound() && tls.keyPasswordFile.isPresent() && tls.keyStore.isEmpty()) {
                table.wrong("key-password-file", "makes no sense without key-store");
            }
            return Optional.of(tls);
        }
    }

    static final int MOST_SERVERS = 9;
    static final int LONGEST = 1024;
    private static final long MIB = 1024 * 1024;
    static final List<InetSocketAddress> NONE = List.of();

    static MembershipSection read(Table table) {
        ValueKind<List<InetSocketAddress>> servers =
                ValueKind.list(ValueKind.address(), 1, MOST_SERVERS);
        MembershipSection section =
                new MembershipSection(
                        table.value(
                                "source",
                                ValueKind.choice(Source.class),
                                Source.BOTH,
                                "which sources make the list of servers"),
                        table.required("servers", servers, NONE, "the coordination servers"),
                        table.value(
                                "chroot",
                                new ZooKeeperPathKind(true),
                                "",
                                "the path on them that all others are under"),
                        table.value(
                                "root",
                                new ZooKeeperPathKind(false),
                                "/appleridge/servers",
                                "the path that the servers' nodes stand under"),
                        table.value(
                                "shards",
                                ValueKind.flag(),
                                false,
                                "whether they stand one level further down"),
                        table.value(
                                "session-timeout",
                                ValueKind.duration(Duration.ofSeconds(2), Duration.ofMinutes(1)),
                                Duration.ofSeconds(6),
                                "after how much silence a session ends"),
                        table.value(
                                "read-only",
                                ValueKind.flag(),
                                false,
                                "whether a coordination server that has lost the others will do"),
                        table.optional(
                                "digest-file",
                                ValueKind.text(LONGEST),
                                "file that holds user:password"),
                        table.value(
                                "answer-limit",
                                ValueKind.size(MIB, 64 * MIB),
                                4 * MIB,
                                "the largest answer that is taken"),
                        Tls.read(table.table("tls")));
        if (section.root.equals("/") && section.chroot.isEmpty() && table.sound()) {
            table.wrong(
                    "root", "is the path of everything; give the servers' nodes one of their own");
        }
        return section;
    }

    /** What it comes to, in plain words. */
    List<String> consequences() {
        String where =
                root
                        + (shards ? "/SHARD" : "")
                        + (chroot.isEmpty() ? "" : " under " + chroot)
                        + " of "
                        + (servers.size() == 1
                                ? "one coordination server"
                                : servers.size() + " coordination servers")
                        + (tls.isPresent() ? ", over TLS" : "")
                        + (digestFile.isPresent() ? ", as the user of digest-file" : "");
        return List.of(
                source == Source.NODES
                        ? "the list of servers comes from the nodes at "
                                + where
                                + "; the registry is not asked"
                        : "the list of servers comes from the registry and the nodes at " + where,
                "a change of [membership] needs a restart");
    }
}
