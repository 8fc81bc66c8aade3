package appleridge.config.operator;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;

/** Reads the platform's configuration, for {@link CheckConfig}. */
@FunctionalInterface
public interface PlatformFile {
    /**
     * Reads a file just as a start would.
     *
     * @throws IOException if the file can't be read or is malformed
     * @throws IllegalArgumentException if it makes no sense, with what is wrong as its message
     */
    Summary read(Path file) throws IOException;

    /**
     * What a person wants to know of it.
     *
     * @param descriptors file descriptors that the process may hold
     * @param settings names and values, in the order in which to show them
     */
    record Summary(int descriptors, Map<String, String> settings) {}
}
