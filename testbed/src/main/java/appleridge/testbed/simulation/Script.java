package appleridge.testbed.simulation;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** What is written to a connection piece by piece, and how that ends. */
final class Script {
    /** How it ends. */
    enum End {
        KEEP,
        CLOSE,
        RESET
    }

    /** Some bytes, so long after those before. */
    record Part(byte[] bytes, long pause) {}

    private final List<Part> parts = new ArrayList<>(1);
    private End end = End.KEEP;

    static Script of(CharSequence text) {
        return new Script().then(0, text);
    }

    Script then(long pause, CharSequence text) {
        parts.add(new Part(text.toString().getBytes(StandardCharsets.ISO_8859_1), pause));
        return this;
    }

    Script then(long pause, byte[] bytes) {
        parts.add(new Part(bytes, pause));
        return this;
    }

    /** The same piece over and over. */
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
