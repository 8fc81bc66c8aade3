package appleridge.testbed.simulation;

import appleridge.testbed.simnet.SimSocket;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** What is to be written to a connection, for as long as its send buffer has no room. */
final class Outbox {
    private final SimSocket socket;
    private byte[] waiting = new byte[0];
    private int from;

    Outbox(SimSocket socket) {
        this.socket = socket;
    }

    /** Writes, or keeps, this text; true if nothing is kept. */
    boolean send(CharSequence text) throws IOException {
        return send(text.toString().getBytes(StandardCharsets.ISO_8859_1));
    }

    boolean send(byte[] bytes) throws IOException {
        int written = isEmpty() ? socket.write(bytes, 0, bytes.length) : 0;
        if (written < bytes.length) {
            int left = waiting.length - from;
            byte[] more =
                    Arrays.copyOfRange(waiting, from, waiting.length + bytes.length - written);
            System.arraycopy(bytes, written, more, left, bytes.length - written);
            waiting = more;
            from = 0;
        }
        return isEmpty();
    }

    /** To be called when there is room; true if nothing is kept any more. */
    boolean flush() throws IOException {
        if (!isEmpty()) {
            from += socket.write(waiting, from, waiting.length - from);
            if (from == waiting.length) {
                waiting = new byte[0];
                from = 0;
            }
        }
        return isEmpty();
    }

    boolean isEmpty() {
        return from == waiting.length;
    }
}
