package appleridge.config.operator;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * {@code [membership]}: upstream hosts as ephemeral nodes in ZooKeeper. Read once; a change needs a
 * restart.
 *
 * @param source which sources make the endpoint list
 * @param servers the ensemble's servers
 * @param chroot the path that all others are under; empty for none
 * @param root the path that the servers' nodes stand under
 * @param shards whether they stand one level further down
 * @param sessionTimeout the session time-out to request
 * @param readOnly whether a coordination server that has lost the others will do
 * @param digestFile a file with {@code user:password}
 * @param answerLimit bytes of the largest answer that is taken from the ensemble
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
    /** Which sources make the endpoint list. */
    public enum Source implements SettingWord {
        /** Ephemeral nodes alone. */
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
     * {@code [membership.tls]}, and {@code [leases.tls]}.
     *
     * @param trustStore file of the trusted certificates: PEM, JKS or PKCS12, by its name's
     *     extension
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
            ValueKind<String> file = ValueKind.text(CoordinationKeys.MAX_FILE_NAME_CHARS);
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
            if (table.valid() && tls.keyPasswordFile.isPresent() && tls.keyStore.isEmpty()) {
                table.reject("key-password-file", "makes no sense without key-store");
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
                        keys.root(DEFAULT_ROOT, "the path that the servers' nodes stand under"),
                        shards(table),
                        keys.sessionTimeout("after how much silence a session ends"),
                        readOnly(table),
                        keys.digestFile(),
                        answerLimit(table),
                        keys.tls());
        if (section.root.equals("/") && section.chroot.isEmpty() && table.valid()) {
            table.reject(
                    "root", "is the path of everything; give the servers' nodes one of their own");
        }
        return section;
    }

    private static Source source(Table table) {
        return table.value(
                "source",
                ValueKind.choice(Source.class),
                Source.BOTH,
                "which sources make the list of servers");
    }

    private static boolean shards(Table table) {
        return table.value(
                "shards", ValueKind.flag(), false, "whether they stand one level further down");
    }

    private static boolean readOnly(Table table) {
        return table.value(
                "read-only",
                ValueKind.flag(),
                false,
                "whether a coordination server that has lost the others will do");
    }

    private static long answerLimit(Table table) {
        return table.value(
                "answer-limit",
                ValueKind.size(MIB, MAX_ANSWER_LIMIT_BYTES),
                DEFAULT_ANSWER_LIMIT_BYTES,
                "the largest answer that is taken");
    }

    /** What it means for the sidecar, for {@code check-config} to print. */
    List<String> consequences() {
        String where =
                CoordinationKeys.describe(
                        root + (shards ? "/SHARD" : ""), chroot, servers, tls, digestFile);
        return List.of(
                source == Source.NODES
                        ? "the list of servers comes from the nodes at "
                                + where
                                + "; the registry is not asked"
                        : "the list of servers comes from the registry and the nodes at " + where,
                "a change of [membership] needs a restart");
    }
}
