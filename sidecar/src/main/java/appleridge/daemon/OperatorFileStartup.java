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
 * Builds runtime options from the operator's file, and runs the commands that read it. Separate
 * from {@link ServeCommand} so that its classes are loaded only if there is such a file or one of
 * these commands runs.
 */
final class OperatorFileStartup {
    /** Limit of a response from the lease store; the longest is the list of waiters' node names. */
    private static final int MAX_LEASE_RESPONSE_BYTES = 1 << 20;

    private OperatorFileStartup() {}

    /**
     * Reads the runtime options that the file sets.
     *
     * @throws IllegalArgumentException listing every problem of the file, one a line
     */
    static RuntimeOptions options(Path file) {
        OperatorFile operatorFile = OperatorFile.read(file);
        ClientsSection clients = operatorFile.clients().orElse(ClientsSection.DEFAULTS);
        LimitsSection limits = operatorFile.limits().orElse(LimitsSection.DEFAULTS);
        return new RuntimeOptions(
                new ClientTimeouts(
                        clients.requestTimeout().toMillis(),
                        clients.firstRequestTimeout().toMillis(),
                        clients.idleTimeout().toMillis()),
                limits.clientsPart(),
                limits.upstreamsPart(),
                operatorFile
                        .membership()
                        .map(OperatorFileStartup::discoveryFactory)
                        .orElse(DiscoveryFactory::registry),
                RuntimeOptions.DEFAULTS.bufferLimits());
    }

    /** Runs the command {@code register} and returns its exit status. */
    static int register(List<String> arguments) {
        return RegisterCommand.run(
                arguments,
                file ->
                        nodeSettings(
                                OperatorFile.read(file)
                                        .membership()
                                        .orElseThrow(
                                                () ->
                                                        new IllegalArgumentException(
                                                                file
                                                                        + ": has no section"
                                                                        + " [membership]"))));
    }

    /** Runs the command {@code task} and returns its exit status. */
    static int task(List<String> arguments) {
        return TaskCommand.run(
                arguments,
                file ->
                        taskSettings(
                                OperatorFile.read(file)
                                        .leases()
                                        .orElseThrow(
                                                () ->
                                                        new IllegalArgumentException(
                                                                file
                                                                        + ": has no section"
                                                                        + " [leases]"))));
    }

    private static TaskSettings taskSettings(LeasesSection section) {
        ZooKeeperSettings store =
                new ZooKeeperSettings(
                        section.servers(),
                        section.chroot(),
                        section.root(),
                        false,
                        (int) section.sessionTimeout().toMillis(),
                        false,
                        section.digestFile().map(OperatorFileStartup::readDigest).orElse(null),
                        section.tls().map(OperatorFileStartup::tls).orElse(null),
                        MAX_LEASE_RESPONSE_BYTES);
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

    private static DiscoveryFactory discoveryFactory(MembershipSection section) {
        return ZooKeeperStartup.factory(
                section.source() == MembershipSection.Source.NODES
                        ? SourceSelection.NODES
                        : SourceSelection.BOTH,
                nodeSettings(section));
    }

    /**
     * Returns how to reach and read the ephemeral nodes.
     *
     * @throws IllegalArgumentException if a file that the section names can't be read
     */
    private static ZooKeeperSettings nodeSettings(MembershipSection section) {
        ZooKeeperSettings settings =
                new ZooKeeperSettings(
                        section.servers(),
                        section.chroot(),
                        section.root(),
                        section.shards(),
                        (int) section.sessionTimeout().toMillis(),
                        section.readOnly(),
                        section.digestFile().map(OperatorFileStartup::readDigest).orElse(null),
                        section.tls().map(OperatorFileStartup::tls).orElse(null),
                        (int) section.answerLimit());
        ZooKeeperClientFactory.check(settings);
        return settings;
    }

    private static ZooKeeperSettings.Tls tls(MembershipSection.Tls tls) {
        return new ZooKeeperSettings.Tls(
                readableFile(tls.trustStore()),
                tls.trustPasswordFile().map(OperatorFileStartup::readableFile).orElse(null),
                tls.keyStore().map(OperatorFileStartup::readableFile).orElse(null),
                tls.keyPasswordFile().map(OperatorFileStartup::readableFile).orElse(null),
                tls.checkAddress());
    }

    private static String readDigest(String name) {
        try {
            String text = Files.readString(readableFile(name)).strip();
            if (text.indexOf(':') < 1 || text.lines().count() != 1) {
                throw new IllegalArgumentException(name + ": must be one line user:password");
            }
            return text;
        } catch (IOException e) {
            throw new IllegalArgumentException(name + ": can't be read");
        }
    }

    private static Path readableFile(String name) {
        Path file = Path.of(name);
        if (!Files.isReadable(file)) {
            throw new IllegalArgumentException(name + ": can't be read");
        }
        return file;
    }

    /** Runs the command {@code check-config} and returns its exit status. */
    static int check(List<String> arguments) {
        return new CheckConfig(OperatorFileStartup::summarize, System.out)
                .run(arguments, System.getenv("BALANCER_CONFIG"));
    }

    private static PlatformFile.Summary summarize(Path file) throws IOException {
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
