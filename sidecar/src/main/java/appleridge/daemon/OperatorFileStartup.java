package appleridge.daemon;

import appleridge.config.SidecarConfig;
import appleridge.config.operator.CheckConfig;
import appleridge.config.operator.ClientsSection;
import appleridge.config.operator.LeasesSection;
import appleridge.config.operator.LimitsSection;
import appleridge.config.operator.MembershipSection;
import appleridge.config.operator.OperatorFile;
import appleridge.config.operator.PlatformFile;
import appleridge.discovery.ephemeral.SourceSelection;
import appleridge.discovery.registration.RegisterCommand;
import appleridge.discovery.zookeeper.ZooKeeperClientFactory;
import appleridge.discovery.zookeeper.ZooKeeperSettings;
import appleridge.http1.ClientTimeouts;
import appleridge.lease.LeaseParameters;
import appleridge.lease.task.TaskCommand;
import appleridge.lease.task.TaskSettings;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * All that has to do with the operator's file. A class of its own because it is loaded only where
 * there is such a file, or one of its commands runs.
 */
final class OperatorFileStartup {
    /** The longest answer of the lease store: a list of the names of those who wait. */
    private static final int LEASE_ANSWER_BYTES = 1 << 20;

    private OperatorFileStartup() {}

    /**
     * What the file sets.
     *
     * @throws IllegalArgumentException with all that is wrong with it, in several lines
     */
    static RuntimeOptions options(Path file) {
        OperatorFile read = OperatorFile.read(file);
        ClientsSection clients = read.clients().orElse(ClientsSection.DEFAULTS);
        LimitsSection limits = read.limits().orElse(LimitsSection.DEFAULTS);
        return new RuntimeOptions(
                new ClientTimeouts(
                        clients.requestTimeout().toMillis(),
                        clients.firstRequestTimeout().toMillis(),
                        clients.idleTimeout().toMillis()),
                limits.clientsPart(),
                limits.upstreamsPart(),
                read.membership()
                        .map(OperatorFileStartup::source)
                        .orElse(DiscoveryFactory::registry));
    }

    /** The command {@code register}; its exit status. */
    static int register(List<String> words) {
        return RegisterCommand.run(
                words,
                file ->
                        nodes(
                                OperatorFile.read(file)
                                        .membership()
                                        .orElseThrow(
                                                () ->
                                                        new IllegalArgumentException(
                                                                file
                                                                        + ": has no section"
                                                                        + " [membership]"))));
    }

    /** The command {@code task}; its exit status. */
    static int task(List<String> words) {
        return TaskCommand.run(
                words,
                file ->
                        leases(
                                OperatorFile.read(file)
                                        .leases()
                                        .orElseThrow(
                                                () ->
                                                        new IllegalArgumentException(
                                                                file
                                                                        + ": has no section"
                                                                        + " [leases]"))));
    }

    private static TaskSettings leases(LeasesSection section) {
        ZooKeeperSettings store =
                new ZooKeeperSettings(
                        section.servers(),
                        section.chroot(),
                        section.root(),
                        false,
                        (int) section.sessionTimeout().toMillis(),
                        false,
                        section.digestFile().map(OperatorFileStartup::digest).orElse(null),
                        section.tls().map(OperatorFileStartup::tls).orElse(null),
                        LEASE_ANSWER_BYTES);
        ZooKeeperClientFactory.check(store);
        return new TaskSettings(
                store,
                LeaseParameters.timed(
                        section.term().toNanos(),
                        section.driftPpm(),
                        section.guard().toNanos(),
                        section.renewEvery().toNanos(),
                        section.longestPause().toNanos(),
                        section.longestAct().toNanos()),
                section.killAfter().toNanos(),
                LeasesSection.KILL_ALLOWANCE.toNanos());
    }

    private static DiscoveryFactory source(MembershipSection section) {
        return ZooKeeperStartup.with(
                section.source() == MembershipSection.Source.NODES
                        ? SourceSelection.NODES
                        : SourceSelection.BOTH,
                nodes(section));
    }

    /**
     * Where the ephemeral nodes are.
     *
     * @throws IllegalArgumentException where a file can't be read
     */
    private static ZooKeeperSettings nodes(MembershipSection section) {
        ZooKeeperSettings settings =
                new ZooKeeperSettings(
                        section.servers(),
                        section.chroot(),
                        section.root(),
                        section.shards(),
                        (int) section.sessionTimeout().toMillis(),
                        section.readOnly(),
                        section.digestFile().map(OperatorFileStartup::digest).orElse(null),
                        section.tls().map(OperatorFileStartup::tls).orElse(null),
                        (int) section.answerLimit());
        ZooKeeperClientFactory.check(settings);
        return settings;
    }

    private static ZooKeeperSettings.Tls tls(MembershipSection.Tls tls) {
        return new ZooKeeperSettings.Tls(
                file(tls.trustStore()),
                tls.trustPasswordFile().map(OperatorFileStartup::file).orElse(null),
                tls.keyStore().map(OperatorFileStartup::file).orElse(null),
                tls.keyPasswordFile().map(OperatorFileStartup::file).orElse(null),
                tls.checkAddress());
    }

    private static String digest(String name) {
        try {
            String text = Files.readString(file(name)).strip();
            if (text.indexOf(':') < 1 || text.lines().count() != 1) {
                throw new IllegalArgumentException(name + ": doesn't hold one line user:password");
            }
            return text;
        } catch (IOException e) {
            throw new IllegalArgumentException(name + ": can't be read");
        }
    }

    private static Path file(String name) {
        Path file = Path.of(name);
        if (!Files.isReadable(file)) {
            throw new IllegalArgumentException(name + ": can't be read");
        }
        return file;
    }

    /** The command {@code check-config}; its exit status. */
    static int check(List<String> arguments) {
        return new CheckConfig(OperatorFileStartup::summary, System.out)
                .run(arguments, System.getenv("BALANCER_CONFIG"));
    }

    private static PlatformFile.Summary summary(Path file) throws IOException {
        SidecarConfig config = SidecarConfig.parse(Files.readAllBytes(file));
        Map<String, String> settings = new LinkedHashMap<>();
        settings.put("name", config.name());
        settings.put("listen", String.valueOf(config.listenAddress()));
        settings.put("discovery", String.valueOf(config.registryAddress()));
        settings.put("limits.sockets", String.valueOf(config.maxDescriptors()));
        settings.put("classes", String.join(", ", config.requestClassNames()));
        settings.put("caps.maxOpen", String.valueOf(config.maxOpenRequests()));
        return new PlatformFile.Summary(config.maxDescriptors(), settings);
    }
}
