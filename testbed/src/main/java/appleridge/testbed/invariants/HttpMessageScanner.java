package appleridge.testbed.invariants;

import java.nio.charset.StandardCharsets;

/**
 * Follows HTTP/1.1 messages through chunks of bytes of any size, far enough to know where each
 * message begins and ends and which request id it names. It does not validate: only connections of
 * well-behaved peers are scanned.
 */
final class HttpMessageScanner {
    private static final int MAX_LINE = 256;
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

    private final byte[] line = new byte[MAX_LINE];
    private int lineLength;
    private Part part = Part.START;
    private boolean first;
    private boolean interim;
    private boolean chunked;
    private long remaining;
    private String id;

    /** Returns the id of the current or just completed message; null while it is unknown. */
    String id() {
        return id;
    }

    /** Returns whether the next byte begins a message. */
    boolean isBetweenMessages() {
        return part == Part.START;
    }

    /** Returns whether the message is an interim response, which precedes the final one. */
    boolean isInterim() {
        return interim;
    }

    /**
     * Scans to the end of a message at most, or of the line that names its id.
     *
     * @return how many bytes were consumed
     */
    int scan(byte[] bytes, int offset, int length) {
        int at = offset;
        int end = offset + length;
        if (part == Part.START && at < end) {
            begin();
        }
        boolean idKnown = id != null;
        while (at < end && part != Part.START && (idKnown || id == null)) {
            if (part == Part.BODY || part == Part.CHUNK) {
                int consumed = (int) Math.min(remaining, end - at);
                at += consumed;
                remaining -= consumed;
                if (remaining == 0) {
                    part = part == Part.BODY ? Part.START : Part.SIZE;
                }
            } else {
                consumeLineByte(bytes[at++]);
            }
        }
        return at - offset;
    }

    private void begin() {
        part = Part.HEAD;
        lineLength = 0;
        first = true;
        interim = false;
        chunked = false;
        remaining = 0;
        id = null;
    }

    private void consumeLineByte(byte next) {
        if (next != '\n') {
            if (lineLength < MAX_LINE) {
                line[lineLength++] = next;
            }
            return;
        }
        if (lineLength > 0 && line[lineLength - 1] == '\r') {
            lineLength--;
        }
        switch (part) {
            case HEAD -> {
                if (lineLength > 0) {
                    parseHeaderLine();
                } else if (!first) {
                    part = chunked ? Part.SIZE : remaining > 0 ? Part.BODY : Part.START;
                }
            }
            case SIZE -> {
                long size = parseChunkSize();
                remaining = size + 2;
                part = size > 0 ? Part.CHUNK : Part.TRAILER;
            }
            default -> part = lineLength > 0 ? Part.TRAILER : Part.START;
        }
        lineLength = 0;
    }

    private long parseChunkSize() {
        long size = 0;
        for (int i = 0; i < lineLength; i++) {
            int digit = Character.digit(line[i], 16);
            if (digit < 0) {
                break;
            }
            size = size * 16 + digit;
        }
        return size;
    }

    private void parseHeaderLine() {
        if (first) {
            // An interim response begins with "HTTP/1.1 1xx".
            interim = lineLength > 9 && line[0] == 'H' && line[4] == '/' && line[9] == '1';
            first = false;
        } else if (startsWith(ID)) {
            id = headerValue(ID.length);
        } else if (startsWith(LENGTH)) {
            for (int i = LENGTH.length; i < lineLength; i++) {
                remaining =
                        line[i] >= '0' && line[i] <= '9'
                                ? remaining * 10 + line[i] - '0'
                                : remaining;
            }
        } else if (startsWith(CODING)) {
            chunked = true;
        }
    }

    private boolean startsWith(byte[] name) {
        if (lineLength < name.length) {
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

    private String headerValue(int from) {
        int begin = from;
        int end = lineLength;
        while (begin < end && line[begin] == ' ') {
            begin++;
        }
        while (end > begin && line[end - 1] == ' ') {
            end--;
        }
        return new String(line, begin, end - begin, StandardCharsets.US_ASCII);
    }
}
