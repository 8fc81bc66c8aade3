package appleridge.testbed.simulation;

import appleridge.testbed.invariants.Message;
import appleridge.testbed.simnet.SimSocket;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Incremental parser for the HTTP/1.1 messages of one connection. It is as lenient as the clients
 * and servers that it stands for: it accepts bare LF line ends, both Content-Length and chunked
 * encoding (the chunks count), and blank lines before a message.
 */
final class HttpReader {
    private static final int MAX_HEAD = 64 * 1024;
    private static final int MAX_BODY = 1 << 20;

    private enum Step {
        HEAD,
        LENGTH,
        TO_END,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILER,
        WHOLE,
        BROKEN
    }

    private final boolean responses;
    private byte[] bytes = new byte[512];
    private int from;
    private int to;
    private int scanned;
    private Step step = Step.HEAD;
    private String head;
    private byte[] body = new byte[0];
    private int bodyLength;

    /** Bytes of the body or of the current chunk that have not been consumed. */
    private long remaining;

    /**
     * @param responses whether to parse responses; otherwise requests
     */
    HttpReader(boolean responses) {
        this.responses = responses;
    }

    /** Reads up to {@code maxBytes}; returns 0 if none are available, -1 at the end of input. */
    int read(SimSocket socket, int maxBytes) throws IOException {
        if (to == bytes.length) {
            if (from > 0) {
                System.arraycopy(bytes, from, bytes, 0, to - from);
                to -= from;
                scanned -= from;
                from = 0;
            } else {
                bytes = Arrays.copyOf(bytes, 2 * bytes.length);
            }
        }
        int read = socket.read(bytes, to, Math.min(maxBytes, bytes.length - to));
        if (read > 0) {
            to += read;
        } else if (read < 0 && step == Step.TO_END) {
            step = Step.WHOLE;
        }
        return read;
    }

    /** How many bytes the message still needs; 1 while that is not known. */
    int missingBytes() {
        boolean known = step == Step.LENGTH || step == Step.CHUNK;
        return known ? (int) Math.min(Integer.MAX_VALUE, Math.max(1, remaining - (to - from))) : 1;
    }

    /** Whether there are bytes of a message that has not been finished with {@link #next}. */
    boolean hasPartialMessage() {
        return to > from || step != Step.HEAD;
    }

    boolean hasHead() {
        return head != null;
    }

    boolean isWhole() {
        return step == Step.WHOLE;
    }

    boolean isBroken() {
        return step == Step.BROKEN;
    }

    /** Parses the bytes read so far; returns true if the message is complete or invalid. */
    boolean advance() {
        while (step != Step.WHOLE && step != Step.BROKEN && step()) {
            continue;
        }
        return step == Step.WHOLE || step == Step.BROKEN;
    }

    /** Moves on to the next message. */
    void next() {
        step = Step.HEAD;
        head = null;
        bodyLength = 0;
        remaining = 0;
        scanned = from;
        if (from == to) {
            from = 0;
            to = 0;
            scanned = 0;
        }
    }

    /** Performs one parsing step; returns false if more bytes are needed. */
    private boolean step() {
        switch (step) {
            case HEAD:
                return readHead();
            case LENGTH:
                return readBody(Step.WHOLE);
            case TO_END:
                remaining = to - from;
                return readBody(Step.TO_END) && false;
            case CHUNK:
                return readBody(Step.CHUNK_END);
            default:
                return readLine();
        }
    }

    private boolean readHead() {
        for (; scanned < to; scanned++) {
            if (bytes[scanned] != '\n') {
                continue;
            }
            int lineEnd = scanned > from && bytes[scanned - 1] == '\r' ? scanned - 2 : scanned - 1;
            if (lineEnd < from) {
                // A blank line before the head.
                from = scanned + 1;
            } else if (bytes[lineEnd] == '\n') {
                head = new String(bytes, from, lineEnd + 1 - from, StandardCharsets.ISO_8859_1);
                from = scanned + 1;
                scanned = from;
                selectFraming();
                return true;
            }
        }
        if (to - from > MAX_HEAD) {
            step = Step.BROKEN;
        }
        return false;
    }

    private void selectFraming() {
        String length = header("content-length");
        if (responses && status() < 0 || !responses && !head.contains(" HTTP/1.")) {
            step = Step.BROKEN;
        } else if (responses && (status() < 200 || status() == 204 || status() == 304)) {
            step = Step.WHOLE;
        } else if ("chunked".equalsIgnoreCase(header("transfer-encoding"))) {
            step = Step.CHUNK_SIZE;
        } else if (length != null) {
            try {
                remaining = Long.parseLong(length);
                step = remaining < 0 || remaining > MAX_BODY ? Step.BROKEN : Step.LENGTH;
            } catch (NumberFormatException e) {
                step = Step.BROKEN;
            }
        } else {
            step = responses ? Step.TO_END : Step.WHOLE;
        }
    }

    private boolean readBody(Step after) {
        int more = (int) Math.min(remaining, to - from);
        if (bodyLength + more > MAX_BODY) {
            step = Step.BROKEN;
            return false;
        }
        if (body.length < bodyLength + more) {
            body = Arrays.copyOf(body, Math.max(2 * body.length, bodyLength + more));
        }
        System.arraycopy(bytes, from, body, bodyLength, more);
        bodyLength += more;
        from += more;
        scanned = from;
        remaining -= more;
        if (remaining == 0) {
            step = after;
            return true;
        }
        return false;
    }

    /** Reads a line of the chunked encoding: a chunk size, the end of a chunk, or a trailer. */
    private boolean readLine() {
        while (scanned < to && bytes[scanned] != '\n') {
            scanned++;
        }
        if (scanned == to) {
            return false;
        }
        int end = scanned > from && bytes[scanned - 1] == '\r' ? scanned - 1 : scanned;
        String line = new String(bytes, from, end - from, StandardCharsets.ISO_8859_1);
        from = scanned + 1;
        scanned = from;
        switch (step) {
            case CHUNK_SIZE -> {
                try {
                    int extension = line.indexOf(';');
                    String size = extension < 0 ? line : line.substring(0, extension);
                    remaining = Long.parseLong(size.trim(), 16);
                    step = remaining < 0 ? Step.BROKEN : remaining == 0 ? Step.TRAILER : Step.CHUNK;
                } catch (NumberFormatException e) {
                    step = Step.BROKEN;
                }
            }
            case CHUNK_END -> step = line.isEmpty() ? Step.CHUNK_SIZE : Step.BROKEN;
            default -> step = line.isEmpty() ? Step.WHOLE : Step.TRAILER;
        }
        return true;
    }

    /** Returns the status of a response, or -1 if it is unreadable. */
    int status() {
        if (head == null || !head.startsWith("HTTP/1.") || head.length() < 12) {
            return -1;
        }
        int status = 0;
        for (int i = 9; i < 12; i++) {
            char digit = head.charAt(i);
            if (digit < '0' || digit > '9') {
                return -1;
            }
            status = status * 10 + digit - '0';
        }
        return status;
    }

    /** Returns the n-th word of the request line, counted from 0; empty if there is none. */
    String word(int number) {
        int end = head.indexOf('\n');
        String[] words = head.substring(0, end).strip().split(" ");
        return number < words.length ? words[number] : "";
    }

    /** Returns the first word of an incomplete head. */
    String firstPartialWord() {
        int end = from;
        while (end < to && bytes[end] != ' ') {
            end++;
        }
        return new String(bytes, from, end - from, StandardCharsets.ISO_8859_1);
    }

    /** Returns the first header with this name (in lower case), or null. */
    String header(String name) {
        return head == null ? null : find(head, name);
    }

    /** Returns the first header with this name, also from an incomplete head, or null. */
    String partialHeader(String name) {
        return head != null
                ? header(name)
                : find(new String(bytes, from, to - from, StandardCharsets.ISO_8859_1), name);
    }

    private static String find(String head, String name) {
        int line = head.indexOf('\n') + 1;
        while (line > 0) {
            int end = head.indexOf('\n', line);
            if (end < 0) {
                return null;
            }
            int colon = line + name.length();
            if (colon < end
                    && head.charAt(colon) == ':'
                    && head.regionMatches(true, line, name, 0, name.length())) {
                return head.substring(colon + 1, end).strip();
            }
            line = end + 1;
        }
        return null;
    }

    /** Returns the complete request. */
    Message message() {
        return Message.of(word(0), word(1), header("idempotency-key"), body, bodyLength);
    }

    String body() {
        return new String(body, 0, bodyLength, StandardCharsets.ISO_8859_1);
    }

    int bodyLength() {
        return bodyLength;
    }
}
