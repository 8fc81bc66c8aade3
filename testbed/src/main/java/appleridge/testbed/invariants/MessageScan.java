package appleridge.testbed.invariants;

import java.nio.charset.StandardCharsets;

/**
 * Follows HTTP/1.1 messages through bytes in pieces of any size, far enough to know where each
 * begins and ends and which request id it names. It trusts what it reads: only well-behaved sides
 * are followed.
 */
final class MessageScan {
    private static final int LONGEST_LINE = 256;
    private static final byte[] ID = "x-request-id:".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] LENGTH = "content-length:".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] CODING = "transfer-encoding:".getBytes(StandardCharsets.US_ASCII);

    private enum Part {
        START,
        HEAD,
        BODY,
        SIZE,
        CHUNK,
        TRAILER
    }

    private final byte[] line = new byte[LONGEST_LINE];
    private int held;
    private Part part = Part.START;
    private boolean first;
    private boolean interim;
    private boolean chunked;
    private long left;
    private String id;

    /**
     * The id of the message that is being followed or has just ended; null while it isn't known.
     */
    String id() {
        return id;
    }

    /** Whether the next byte begins a message. */
    boolean between() {
        return part == Part.START;
    }

    /** Whether the message is an answer that announces another one. */
    boolean isInterim() {
        return interim;
    }

    /**
     * Follows bytes to the end of a message at most, or of the line that names its id.
     *
     * @return how many those were
     */
    int follow(byte[] bytes, int offset, int length) {
        int at = offset;
        int end = offset + length;
        if (part == Part.START && at < end) {
            begin();
        }
        boolean known = id != null;
        while (at < end && part != Part.START && (known || id == null)) {
            if (part == Part.BODY || part == Part.CHUNK) {
                int some = (int) Math.min(left, end - at);
                at += some;
                left -= some;
                if (left == 0) {
                    part = part == Part.BODY ? Part.START : Part.SIZE;
                }
            } else {
                lineGoesOn(bytes[at++]);
            }
        }
        return at - offset;
    }

    private void begin() {
        part = Part.HEAD;
        held = 0;
        first = true;
        interim = false;
        chunked = false;
        left = 0;
        id = null;
    }

    private void lineGoesOn(byte next) {
        if (next != '\n') {
            if (held < LONGEST_LINE) {
                line[held++] = next;
            }
            return;
        }
        if (held > 0 && line[held - 1] == '\r') {
            held--;
        }
        switch (part) {
            case HEAD -> {
                if (held > 0) {
                    header();
                } else if (!first) {
                    part = chunked ? Part.SIZE : left > 0 ? Part.BODY : Part.START;
                }
            }
            case SIZE -> {
                long size = size();
                left = size + 2;
                part = size > 0 ? Part.CHUNK : Part.TRAILER;
            }
            default -> part = held > 0 ? Part.TRAILER : Part.START;
        }
        held = 0;
    }

    private long size() {
        long size = 0;
        for (int i = 0; i < held; i++) {
            int digit = Character.digit(line[i], 16);
            if (digit < 0) {
                break;
            }
            size = size * 16 + digit;
        }
        return size;
    }

    private void header() {
        if (first) {
            // "HTTP/1.1 100 ..."
            interim = held > 9 && line[0] == 'H' && line[4] == '/' && line[9] == '1';
            first = false;
        } else if (begins(ID)) {
            id = value(ID.length);
        } else if (begins(LENGTH)) {
            for (int i = LENGTH.length; i < held; i++) {
                left = line[i] >= '0' && line[i] <= '9' ? left * 10 + line[i] - '0' : left;
            }
        } else if (begins(CODING)) {
            chunked = true;
        }
    }

    private boolean begins(byte[] name) {
        if (held < name.length) {
            return false;
        }
        for (int i = 0; i < name.length; i++) {
            int lower = line[i] >= 'A' && line[i] <= 'Z' ? line[i] + 32 : line[i];
            if (lower != name[i]) {
                return false;
            }
        }
        return true;
    }

    private String value(int from) {
        int begin = from;
        int end = held;
        while (begin < end && line[begin] == ' ') {
            begin++;
        }
        while (end > begin && line[end - 1] == ' ') {
            end--;
        }
        return new String(line, begin, end - begin, StandardCharsets.US_ASCII);
    }
}
