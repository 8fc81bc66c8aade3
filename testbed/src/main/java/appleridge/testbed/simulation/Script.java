package appleridge.testbed.simulation;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** The parts to write to a connection, and what happens to the connection afterwards. */
final class Script {
    /** What happens to the connection after the last part. */
    enum End {
        KEEP,
        CLOSE,
        RESET
    }

    /**
     * Bytes to write.
     *
     * @param pause delay in nanoseconds after the part before
     */
    record Part(byte[] bytes, long pause) {}

    private final List<Part> parts = new ArrayList<>(1);
    private End end = End.KEEP;

    static Script of(CharSequence text) {
        return new Script().then(0, text);
    }

    /** Adds a part in ISO 8859-1 after a pause in nanoseconds. */
    Script then(long pause, CharSequence text) {
        parts.add(new Part(text.toString().getBytes(StandardCharsets.ISO_8859_1), pause));
        return this;
    }

    Script then(long pause, byte[] bytes) {
        parts.add(new Part(bytes, pause));
        return this;
    }

    /** Adds the same part several times. */
    Script repeat(int times, long pause, CharSequence text) {
        Part part = new Part(text.toString().getBytes(StandardCharsets.ISO_8859_1), pause);
        for (int i = 0; i < times; i++) {
            parts.add(part);
        }
        return this;
    }

    Script ending(End how) {
        end = how;
        return this;
    }

    List<Part> parts() {
        return parts;
    }

    End end() {
        return end;
    }
}
