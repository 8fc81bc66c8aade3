package appleridge.daemon;

import appleridge.config.SidecarConfig;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

/**
 * Reloads the configuration on SIGHUP. Only the address of discovery can change while the sidecar
 * runs; other changes are logged as needing a restart, and a file that can't be used changes
 * nothing. Files are read on the thread that brings the signal, so that the event loop does not
 * wait for them. Thread-safe.
 */
final class ConfigReloader {
    private static final System.Logger LOG = System.getLogger("appleridge");

    /** Null before {@link #begin}. */
    private SidecarRunner runner;

    private Path file;

    /** What the sidecar runs with, but for the address of discovery. */
    private SidecarConfig started;

    private InetSocketAddress discovery;

    /** The operator's file, and what it held at the start; null where there is none. */
    private Path operatorFile;

    private byte[] operatorBytes;
    private boolean requestedEarly;

    /** From here on reloads are carried out; one that was requested before is carried out now. */
    synchronized void begin(SidecarRunner running, Path path, SidecarConfig config) {
        runner = running;
        file = path;
        started = config;
        discovery = config.registryAddress();
        if (requestedEarly) {
            requested();
        }
    }

    /** There is an operator's file, which only a start reads: a change of it is logged. */
    synchronized void fixed(Path path) {
        operatorFile = path;
        operatorBytes = read(path);
    }

    private static byte[] read(Path file) {
        try {
            return Files.readAllBytes(file);
        } catch (IOException e) {
            return new byte[0];
        }
    }

    /** SIGHUP has come. */
    synchronized void requested() {
        if (runner == null) {
            requestedEarly = true;
            return;
        }
        if (operatorFile != null && !Arrays.equals(operatorBytes, read(operatorFile))) {
            logNeedsRestart(operatorFile.toString());
        }
        try {
            reload(ServeCommand.withAdmin(SidecarConfig.parse(Files.readAllBytes(file))));
        } catch (IOException | RuntimeException e) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "new configuration not used: " + String.valueOf(e.getMessage()).split("\n")[0]);
        }
    }

    private void reload(SidecarConfig next) {
        List<String> fixed = started.partsNeedingRestart(next);
        if (!fixed.isEmpty()) {
            logNeedsRestart(String.join(", ", fixed));
        }
        if (!next.registryAddress().equals(discovery)) {
            discovery = next.registryAddress();
            LOG.log(System.Logger.Level.INFO, "discovery is now at " + discovery);
            runner.switchRegistry(discovery);
        }
    }

    private static void logNeedsRestart(String what) {
        LOG.log(System.Logger.Level.WARNING, "needs a restart to take effect: " + what);
    }
}
