package appleridge.daemon;

import appleridge.config.SidecarConfig;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * {@code java -jar appleridge.jar serve}: a sidecar as a process. Ends the process with status 2
 * where a file is wrong and with status 1 where the start fails; SIGTERM is {@link
 * GracefulShutdown}'s, SIGHUP {@link ConfigReloader}'s.
 */
final class ServeCommand {
    private static final System.Logger LOG = System.getLogger("appleridge");
    private static final int STATUS_START_FAILED = 1;
    private static final int STATUS_BAD_FILE = 2;

    private ServeCommand() {}

    /** With the operator's file, or null where there is none. Returns when the sidecar is ready. */
    static void main(Path operatorFile) {
        useJdkLogging();
        ConfigReloader reloader = new ConfigReloader();
        boolean sighupArrives = HangupSignal.handle(reloader::requested);
        Path configFile = configFile();
        SidecarConfig config = readConfig(configFile);
        RuntimeOptions options = RuntimeOptions.DEFAULTS;
        if (operatorFile != null) {
            reloader.fixed(operatorFile);
            options = readOptions(operatorFile);
        }
        SidecarRunner runner = new SidecarRunner();
        runner.shutdown().install();
        try {
            runner.inherit(config);
            runner.open(config, options);
            runner.warmUp(config);
            reloader.begin(runner, configFile, config);
            logStarted(config, sighupArrives);
            // Last: clients come all at once when it says that it is ready, and whatever a start
            // had still to do then would have the core while their requests wait unread.
            runner.markWarmedUp();
        } catch (Exception e) {
            // Also the checked ones that Netty throws undeclared, such as an address in use.
            runner.shutdown().onStartFailed();
            System.err.println("appleridge: can't start: " + firstLine(e));
            System.exit(STATUS_START_FAILED);
        }
    }

    private static void logStarted(SidecarConfig config, boolean sighupArrives) {
        if (!sighupArrives) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "SIGHUP is ignored by who started this process: a new "
                            + "configuration needs a restart");
        }
        LOG.log(System.Logger.Level.INFO, config.name() + " serves at " + config.listenAddress());
    }

    /**
     * Only loads and runs what a start loads and runs: to archive the classes while building, since
     * loading them is most of the time that a restart takes.
     */
    static void warmUp() {
        useJdkLogging();
        SidecarConfig config = readConfig(configFile());
        try {
            SidecarRunner runner = new SidecarRunner();
            runner.open(atAnyPort(config), RuntimeOptions.DEFAULTS);
            runner.switchRegistry(runner.address());
            runner.warmUp(config);
            runner.markWarmedUp();
            LOG.log(System.Logger.Level.INFO, config.name() + " is warm");
            runner.close();
        } catch (Exception e) {
            System.err.println("appleridge: can't warm up: " + firstLine(e));
            System.exit(STATUS_START_FAILED);
        }
    }

    /** The configured port may be held by another build on the same machine. */
    private static SidecarConfig atAnyPort(SidecarConfig config) {
        return config.withListenAddress(
                new InetSocketAddress(config.listenAddress().getAddress(), 0));
    }

    /** By itself Netty would load SLF4J, which is here for ZooKeeper's client alone. */
    private static void useJdkLogging() {
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    }

    /** The platform's configuration; empty where its variable is not set. */
    private static Path configFile() {
        return Path.of(System.getenv().getOrDefault("BALANCER_CONFIG", ""));
    }

    private static SidecarConfig readConfig(Path file) {
        try {
            if (file.toString().isEmpty()) {
                throw new IllegalArgumentException("BALANCER_CONFIG is not set");
            }
            return withAdmin(SidecarConfig.parse(Files.readAllBytes(file)));
        } catch (IOException | IllegalArgumentException e) {
            System.err.println("appleridge: configuration: " + firstLine(e));
            System.exit(STATUS_BAD_FILE);
            throw new IllegalStateException(e);
        }
    }

    /** With the address for operators that the platform gives beside the configuration, if any. */
    static SidecarConfig withAdmin(SidecarConfig config) {
        String admin = System.getenv("BALANCER_ADMIN");
        boolean used = config.adminAddress().isEmpty() && admin != null && !admin.isBlank();
        return used ? config.withAdminAddress(SidecarConfig.literalAddress(admin.strip())) : config;
    }

    private static RuntimeOptions readOptions(Path operatorFile) {
        try {
            return OperatorFileStartup.options(operatorFile);
        } catch (IllegalArgumentException e) {
            System.err.println("appleridge: " + e.getMessage());
            System.exit(STATUS_BAD_FILE);
            throw e;
        }
    }

    private static String firstLine(Exception failure) {
        return String.valueOf(failure.getMessage()).split("\n")[0];
    }
}
