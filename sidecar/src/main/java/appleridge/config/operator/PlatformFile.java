package appleridge.config.operator;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;

/** Reads the platform's configuration, for {@link CheckConfig}. */
@FunctionalInterface
public interface PlatformFile {
    /**
     * Reads and validates a file exactly as a sidecar does at its start.
     *
     * @throws IOException if the file can't be read or is malformed
     * @throws IllegalArgumentException if a value is not allowed; the message describes the problem
     */
    Summary read(Path file) throws IOException;

    /**
     * The settings to show to an operator.
     *
     * @param descriptors maximum number of file descriptors that the process may hold
     * @param settings names and values, in the order in which to show them
     */
    record Summary(int descriptors, Map<String, String> settings) {}
}
