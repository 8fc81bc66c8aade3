package appleridge.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Injects faults into the system calls of a process, with errors that Linux documents, and steps in
 * its wall clock. Compiles a small C library ({@code system-faults.c}) that is preloaded into the
 * process and controlled through a memory-mapped file.
 */
final class SystemFaults {
    /** The kinds of fault, in the order of the library's control words. */
    enum Fault {
        /** Offset of the wall clock in seconds. */
        WALL_SECONDS,
        /** Accepting a connection fails. */
        ACCEPT,
        /** Creating a socket fails. */
        SOCKET,
        /** Connecting fails. */
        CONNECT,
        /** Waiting for events fails. */
        WAIT,
        /** Reading from or writing to a socket fails. */
        READ_WRITE,
        /** Reads and writes transfer only a few bytes. */
        SHORT,
        /** Connections to one port fail when they are read. */
        BREAK
    }

    static final int EINTR = 4;
    static final int EADDRNOTAVAIL = 99;
    static final int ECONNABORTED = 103;
    static final int ENFILE = 23;
    static final int ENOBUFS = 105;
    static final int ETIMEDOUT = 110;
    static final int EHOSTUNREACH = 113;

    private static final int ERRNO_OFFSET = 16;
    private static final int COUNT_OFFSET = 32;
    private static final int WORDS = 64;
    private static final int PER_MILLE = 1000;

    private final Path library;
    private final Path control;
    private final MappedByteBuffer words;

    private SystemFaults(Path library, Path control, MappedByteBuffer words) {
        this.library = library;
        this.control = control;
        this.words = words;
    }

    /** Compiles the library into a directory; requires the C compiler {@code cc}. */
    static SystemFaults in(Path folder) throws IOException, InterruptedException {
        Path source = folder.resolve("system-faults.c");
        Path library = folder.resolve("system-faults.so");
        try (InputStream text = SystemFaults.class.getResourceAsStream("system-faults.c")) {
            Files.copy(text, source);
        }
        Process compiler =
                new ProcessBuilder(
                                "cc",
                                "-O1",
                                "-shared",
                                "-fPIC",
                                "-o",
                                library.toString(),
                                source.toString(),
                                "-ldl")
                        .redirectErrorStream(true)
                        .start();
        String output =
                new String(compiler.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(0, compiler.waitFor(), output);
        Path control = Files.write(folder.resolve("system-faults"), new byte[WORDS * Long.BYTES]);
        try (FileChannel file =
                FileChannel.open(control, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            MappedByteBuffer words =
                    file.map(FileChannel.MapMode.READ_WRITE, 0, WORDS * Long.BYTES);
            words.order(ByteOrder.nativeOrder());
            return new SystemFaults(library, control, words);
        }
    }

    /** The environment variables with which a process has to be started. */
    Map<String, String> environment() {
        return Map.of("LD_PRELOAD", library.toString(), "SYSTEM_FAULTS", control.toString());
    }

    private void set(int word, long value) {
        words.putLong(word * Long.BYTES, value);
    }

    /** From now on {@code perMille} of 1000 calls fail with the error number; 0 for none. */
    void fail(Fault fault, int perMille, int errno) {
        set(ERRNO_OFFSET + fault.ordinal(), errno);
        set(fault.ordinal(), Math.min(PER_MILLE, perMille));
    }

    /** Selects the port on this machine to which {@link Fault#BREAK} applies. */
    void breakConnectionsTo(int port) {
        set(Fault.values().length, port);
    }

    /** Sets the offset of the wall clock from now on. */
    void stepWallClock(long offset, TimeUnit unit) {
        set(Fault.WALL_SECONDS.ordinal(), unit.toSeconds(offset));
    }

    /** The number of calls that have failed with this fault. */
    long count(Fault fault) {
        return words.getLong((COUNT_OFFSET + fault.ordinal()) * Long.BYTES);
    }
}
