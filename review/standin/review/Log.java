package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: one line an event, with the milliseconds since the start. */
public final class Log {
    private final PrintWriter out;
    private final long start = System.nanoTime();

    public Log(Path file) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(file));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    public synchronized void line(String text) {
        out.printf("%9.3f %s%n", (System.nanoTime() - start) / 1e6, text);
        out.flush();
    }
}
