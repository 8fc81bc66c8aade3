package appleridge.config.operator;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Section {@code [membership]}: discovery of upstream hosts from ephemeral nodes in ZooKeeper. Read
 * once; a change needs a restart.
 *
 * @param source the sources of the endpoint list
 * @param servers the ensemble's servers
 * @param chroot the ZooKeeper path that all other paths are relative to; empty for none
 * @param root the parent path of the upstream hosts' nodes
 * @param shards whether the nodes are one level deeper, under shard nodes
 * @param sessionTimeout the session time-out to request
 * @param readOnly whether a read-only session will do, with a coordination server that has lost its
 *     quorum
 * @param digestFile a file with {@code user:password}
 * @param answerLimit maximum size of a response from the ensemble, in bytes
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
    /** The sources of the endpoint list. */
    public enum Source implements SettingWord {
        /** Ephemeral nodes only. */
        NODES("nodes"),
        /** Ephemeral nodes and the registry. */
        BOTH("both");

        private final String settingWord;

        Source(String settingWord) {
            this.settingWord = settingWord;
        }

        @Override
        public String settingWord() {
            return settingWord;
        }
    }

    /**
     * Sections {@code [membership.tls]} and {@code [leases.tls]}.
     *
     * @param trustStore file with the trusted certificates: PEM, JKS or PKCS12, by its extension
     * @param trustPasswordFile file with the password of the trust store
     * @param keyStore file with the sidecar's own certificate and key
     * @param keyPasswordFile file with the password of the key store
     * @param checkAddress whether a server's certificate has to name the server's address
     */
    public record Tls(
            String trustStore,
            Optional<String> trustPasswordFile,
            Optional<String> keyStore,
            Optional<String> keyPasswordFile,
            boolean checkAddress) {
        /** Reads the table; empty if the file doesn't have it. */
        static Optional<Tls> read(Table table) {
            if (!table.present()) {
                return Optional.empty();
            }
            ValueKind<String> file = ValueKind.string(CoordinationKeys.MAX_FILE_NAME_CHARS);
            Tls tls =
                    new Tls(
                            table.required(
                                    "trust-store", file, "", "file with the trusted certificates"),
                            table.optional(
                                    "trust-password-file",
                                    file,
                                    "file with the password of trust-store"),
                            table.optional(
                                    "key-store",
                                    file,
                                    "file with the sidecar's own certificate and key"),
                            table.optional(
                                    "key-password-file",
                                    file,
                                    "file with the password of key-store"),
                            table.value(
                                    "check-address",
                                    ValueKind.bool(),
                                    true,
                                    "whether a coordination server's certificate has to name its"
                                            + " address"));
            if (table.valid() && tls.keyPasswordFile.isPresent() && tls.keyStore.isEmpty()) {
                table.reject("key-password-file", "requires key-store");
            }
            return Optional.of(tls);
        }
    }

    private static final long MIB = 1024 * 1024;
    private static final String DEFAULT_ROOT = "/appleridge/servers";
    private static final long DEFAULT_ANSWER_LIMIT_BYTES = 4 * MIB;
    private static final long MAX_ANSWER_LIMIT_BYTES = 64 * MIB;

    static MembershipSection read(Table table) {
        CoordinationKeys keys = new CoordinationKeys(table);
        MembershipSection section =
                new MembershipSection(
                        source(table),
                        keys.servers(),
                        keys.chroot(),
                        keys.root(DEFAULT_ROOT, "the parent path of the servers' nodes"),
                        shards(table),
                        keys.sessionTimeout("session time-out"),
                        readOnly(table),
                        keys.digestFile(),
                        answerLimit(table),
                        keys.tls());
        if (section.root.equals("/") && section.chroot.isEmpty() && table.valid()) {
            table.reject(
                    "root", "is the ZooKeeper root; give the servers' nodes a path of their own");
        }
        return section;
    }

    private static Source source(Table table) {
        return table.value(
                "source",
                ValueKind.choice(Source.class),
                Source.BOTH,
                "the sources of the list of servers");
    }

    private static boolean shards(Table table) {
        return table.value(
                "shards",
                ValueKind.bool(),
                false,
                "whether the nodes are one level deeper, under shard nodes");
    }

    private static boolean readOnly(Table table) {
        return table.value(
                "read-only",
                ValueKind.bool(),
                false,
                "whether a coordination server that has lost its quorum will do, read-only");
    }

    private static long answerLimit(Table table) {
        return table.value(
                "answer-limit",
                ValueKind.size(MIB, MAX_ANSWER_LIMIT_BYTES),
                DEFAULT_ANSWER_LIMIT_BYTES,
                "maximum size of a response from a coordination server");
    }

    /** Describes the effect on the sidecar, for {@code check-config} to print. */
    List<String> consequences() {
        String where =
                CoordinationKeys.describe(
                        root + (shards ? "/SHARD" : ""), chroot, servers, tls, digestFile);
        return List.of(
                source == Source.NODES
                        ? "the list of servers comes from the nodes at "
                                + where
                                + "; the registry is not polled"
                        : "the list of servers comes from the registry and the nodes at " + where,
                "a change of [membership] needs a restart");
    }
}
