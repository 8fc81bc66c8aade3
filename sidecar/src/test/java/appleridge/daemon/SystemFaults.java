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
 * System calls of a process that fail as Linux documents, and a wall clock that steps: a small
 * library in C ({@code system-faults.c}) that is compiled here and preloaded into the process.
 */
final class SystemFaults {
    /** What can fail; the order is that of the library's words. */
    enum Fault {
        /** Seconds by which the wall clock is off. */
        WALL_SECONDS,
        /** Accepting a connection. */
        ACCEPT,
        /** Making a socket. */
        SOCKET,
        /** Connecting. */
        CONNECT,
        /** Waiting for events. */
        WAIT,
        /** Reading from and writing to sockets. */
        READ_WRITE,
        /** Sockets take or give a few bytes at a time. */
        SHORT,
        /** Connections to one port break when they are read. */
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
    private static final int THOUSAND = 1000;

    private final Path library;
    private final Path control;
    private final MappedByteBuffer words;

    private SystemFaults(Path library, Path control, MappedByteBuffer words) {
        this.library = library;
        this.control = control;
        this.words = words;
    }

    /** Compiles the library into a folder; needs a C compiler, {@code cc}. */
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
        String told = new String(compiler.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(0, compiler.waitFor(), told);
        Path control = Files.write(folder.resolve("system-faults"), new byte[WORDS * Long.BYTES]);
        try (FileChannel file =
                FileChannel.open(control, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            MappedByteBuffer words =
                    file.map(FileChannel.MapMode.READ_WRITE, 0, WORDS * Long.BYTES);
            words.order(ByteOrder.nativeOrder());
            return new SystemFaults(library, control, words);
        }
    }

    /** What a process has to be started with. */
    Map<String, String> environment() {
        return Map.of("LD_PRELOAD", library.toString(), "SYSTEM_FAULTS", control.toString());
    }

    private void set(int word, long value) {
        words.putLong(word * Long.BYTES, value);
    }

    /** From now on so many of a thousand calls fail with an error number; 0 for none. */
    void fail(Fault what, int ofThousand, int errno) {
        set(ERRNO_OFFSET + what.ordinal(), errno);
        set(what.ordinal(), Math.min(THOUSAND, ofThousand));
    }

    /** Connections to a port on this machine are those that break. */
    void breakConnectionsTo(int port) {
        set(Fault.values().length, port);
    }

    /** From now on the wall clock is off by so much. */
    void stepWallClock(long offset, TimeUnit unit) {
        set(Fault.WALL_SECONDS.ordinal(), unit.toSeconds(offset));
    }

    /** Times that something has failed. */
    long count(Fault what) {
        return words.getLong((COUNT_OFFSET + what.ordinal()) * Long.BYTES);
    }
}
