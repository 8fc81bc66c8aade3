package appleridge.daemon;

import appleridge.config.SidecarConfig;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

/**
 * New configurations while the sidecar runs. The file is read on the thread that brings the signal,
 * so that the loop does not wait for it; a file that can't be used changes nothing.
 */
final class ConfigReloader {
    private static final System.Logger LOG = System.getLogger("appleridge");

    private ServeCommand serve;
    private Path file;

    /** What the sidecar runs with, but for the address of discovery. */
    private SidecarConfig started;

    private InetSocketAddress discovery;

    /** The operator's file, and what it held at the start; null where there is none. */
    private Path operator;

    private byte[] operatorHeld;
    private boolean early;

    /** From here on requests are carried out; one that came before is carried out now. */
    synchronized void begin(ServeCommand running, Path path, SidecarConfig config) {
        serve = running;
        file = path;
        started = config;
        discovery = config.registryAddress();
        if (early) {
            requested();
        }
    }

    /** There is an operator's file, which only a start reads. */
    synchronized void fixed(Path operatorsFile) {
        operator = operatorsFile;
        operatorHeld = held(operatorsFile);
    }

    private static byte[] held(Path file) {
        try {
            return Files.readAllBytes(file);
        } catch (IOException e) {
            return new byte[0];
        }
    }

    synchronized void requested() {
        if (serve == null) {
            early = true;
            return;
        }
        if (operator != null && !Arrays.equals(operatorHeld, held(operator))) {
            LOG.log(System.Logger.Level.WARNING, "needs a restart to take effect: " + operator);
        }
        SidecarConfig next;
        try {
            next = ServeCommand.withAdmin(SidecarConfig.parse(Files.readAllBytes(file)));
        } catch (IOException | RuntimeException e) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "new configuration not used: " + String.valueOf(e.getMessage()).split("\n")[0]);
            return;
        }
        List<String> fixed = started.fixedParts(next);
        if (!fixed.isEmpty()) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "needs a restart to take effect: " + String.join(", ", fixed));
        }
        if (!next.registryAddress().equals(discovery)) {
            discovery = next.registryAddress();
            LOG.log(System.Logger.Level.INFO, "discovery is now at " + discovery);
            serve.follow(discovery);
        }
    }
}
