package appleridge.daemon;

import appleridge.config.SidecarConfig;
import appleridge.transport.SystemTime;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The command {@code java -jar appleridge.jar serve}: runs a sidecar as a process. Exits with
 * status 2 if a file is invalid and with status 1 if the start fails. {@link GracefulShutdown}
 * handles SIGTERM and {@link ConfigReloader} handles SIGHUP.
 */
final class ServeCommand {
    private static final System.Logger LOG = System.getLogger("appleridge");
    private static final int STATUS_START_FAILED = 1;
    private static final int STATUS_BAD_FILE = 2;

    private ServeCommand() {}

    /**
     * Starts the sidecar and returns when it is ready.
     *
     * @param operatorFile the operator's file; null if there is none
     */
    static void main(Path operatorFile) {
        useJdkLogging();
        ConfigReloader reloader = new ConfigReloader();
        boolean sighupArrives = HangupSignal.handle(reloader::onHangup);
        Path configFile = configFile();
        SidecarConfig config = readConfig(configFile);
        RuntimeOptions options = RuntimeOptions.DEFAULTS;
        if (operatorFile != null) {
            reloader.watchOperatorFile(operatorFile);
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
            // Must be the last step: once the sidecar reports that it is ready, all clients send at
            // once, and remaining start-up work would take CPU time while their requests wait
            // unread.
            runner.markWarmedUp();
        } catch (Exception e) {
            // Exception, because Netty throws undeclared checked exceptions, such as BindException.
            runner.shutdown().onStartFailed();
            System.err.println("appleridge: can't start: " + firstLine(e));
            System.exit(STATUS_START_FAILED);
        }
    }

    private static void logStarted(SidecarConfig config, boolean sighupArrives) {
        if (!sighupArrives) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "SIGHUP is ignored, as set by the parent process: a new configuration"
                            + " needs a restart");
        }
        LOG.log(System.Logger.Level.INFO, config.name() + " serves at " + config.listenAddress());
    }

    /**
     * The command {@code warm-up}: starts a sidecar, warms it up and closes it. The build runs it
     * to archive the loaded classes, because class loading is most of the time that a restart
     * takes.
     */
    static void warmUp() {
        useJdkLogging();
        SidecarConfig config = readConfig(configFile());
        try {
            // A sidecar that polls a local agent loads this too.
            SystemTime.processAgeNanos();
            SidecarRunner runner = new SidecarRunner();
            runner.open(onEphemeralPort(config), RuntimeOptions.DEFAULTS);
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

    /** Another build on the same machine may listen on the configured port. */
    private static SidecarConfig onEphemeralPort(SidecarConfig config) {
        return config.withListenAddress(
                new InetSocketAddress(config.listenAddress().getAddress(), 0));
    }

    /**
     * Netty would otherwise log through SLF4J, which is on the class path for the ZooKeeper client.
     */
    private static void useJdkLogging() {
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    }

    /** Returns the platform's configuration file; an empty path if BALANCER_CONFIG is not set. */
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

    /** Applies the admin address in BALANCER_ADMIN, unless the configuration has one. */
    static SidecarConfig withAdmin(SidecarConfig config) {
        String admin = System.getenv("BALANCER_ADMIN");
        boolean override = config.adminAddress().isEmpty() && admin != null && !admin.isBlank();
        return override
                ? config.withAdminAddress(SidecarConfig.literalAddress(admin.strip()))
                : config;
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
