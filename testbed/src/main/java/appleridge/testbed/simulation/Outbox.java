package appleridge.testbed.simulation;

import appleridge.testbed.simnet.SimSocket;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Writes to a connection, and keeps the bytes for which its send buffer has no room yet. */
final class Outbox {
    private final SimSocket socket;
    private byte[] pending = new byte[0];
    private int from;

    Outbox(SimSocket socket) {
        this.socket = socket;
    }

    /** Writes or keeps a text in ISO 8859-1; returns whether nothing is kept. */
    boolean send(CharSequence text) throws IOException {
        return send(text.toString().getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Writes or keeps these bytes; returns whether nothing is kept. */
    boolean send(byte[] bytes) throws IOException {
        int written = isEmpty() ? socket.write(bytes, 0, bytes.length) : 0;
        if (written < bytes.length) {
            int pendingBytes = pending.length - from;
            byte[] more =
                    Arrays.copyOfRange(pending, from, pending.length + bytes.length - written);
            System.arraycopy(bytes, written, more, pendingBytes, bytes.length - written);
            pending = more;
            from = 0;
        }
        return isEmpty();
    }

    /** To be called when the send buffer has room; returns whether nothing is kept any more. */
    boolean flush() throws IOException {
        if (!isEmpty()) {
            from += socket.write(pending, from, pending.length - from);
            if (from == pending.length) {
                pending = new byte[0];
                from = 0;
            }
        }
        return isEmpty();
    }

    boolean isEmpty() {
        return from == pending.length;
    }
}
