package appleridge.testbed.simulation;

import appleridge.testbed.invariants.Message;
import appleridge.testbed.simnet.SimSocket;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Reads the HTTP/1.1 messages of one connection as their bytes come. It forgives much, as those do
 * whom it stands for: plain line ends, both a length and chunks (the chunks count), blank lines
 * ahead.
 */
final class HttpReader {
    private static final int MOST_HEAD = 64 * 1024;
    private static final int MOST_BODY = 1 << 20;

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

    private final boolean answers;
    private byte[] bytes = new byte[512];
    private int from;
    private int to;
    private int scanned;
    private Step step = Step.HEAD;
    private String head;
    private byte[] body = new byte[0];
    private int bodyLength;

    /** Bytes of the body, or of the chunk, that are still to come. */
    private long missing;

    /**
     * @param answers whether it reads answers; requests otherwise
     */
    HttpReader(boolean answers) {
        this.answers = answers;
    }

    /** Reads up to so many bytes; 0 if none are there, -1 at the end. */
    int read(SimSocket socket, int most) throws IOException {
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
        int read = socket.read(bytes, to, Math.min(most, bytes.length - to));
        if (read > 0) {
            to += read;
        } else if (read < 0 && step == Step.TO_END) {
            step = Step.WHOLE;
        }
        return read;
    }

    /** How many bytes the message lacks; 1 while that is not known. */
    int missingBytes() {
        boolean known = step == Step.LENGTH || step == Step.CHUNK;
        return known ? (int) Math.min(Integer.MAX_VALUE, Math.max(1, missing - (to - from))) : 1;
    }

    /** Whether some bytes of a message have come that is not done with. */
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

    /** Goes on with what has been read; true if the message is whole or broken. */
    boolean advance() {
        while (step != Step.WHOLE && step != Step.BROKEN && proceed()) {
            continue;
        }
        return step == Step.WHOLE || step == Step.BROKEN;
    }

    /** On to the next message. */
    void next() {
        step = Step.HEAD;
        head = null;
        bodyLength = 0;
        missing = 0;
        scanned = from;
        if (from == to) {
            from = 0;
            to = 0;
            scanned = 0;
        }
    }

    /** One step; false if it takes more bytes. */
    private boolean proceed() {
        switch (step) {
            case HEAD:
                return readHead();
            case LENGTH:
                return readBody(Step.WHOLE);
            case TO_END:
                missing = to - from;
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
            int before = scanned > from && bytes[scanned - 1] == '\r' ? scanned - 2 : scanned - 1;
            if (before < from) {
                // A blank line ahead of the head.
                from = scanned + 1;
            } else if (bytes[before] == '\n') {
                head = new String(bytes, from, before + 1 - from, StandardCharsets.ISO_8859_1);
                from = scanned + 1;
                scanned = from;
                delimit();
                return true;
            }
        }
        if (to - from > MOST_HEAD) {
            step = Step.BROKEN;
        }
        return false;
    }

    private void delimit() {
        String length = header("content-length");
        if (answers && status() < 0 || !answers && !head.contains(" HTTP/1.")) {
            step = Step.BROKEN;
        } else if (answers && (status() < 200 || status() == 204 || status() == 304)) {
            step = Step.WHOLE;
        } else if ("chunked".equalsIgnoreCase(header("transfer-encoding"))) {
            step = Step.CHUNK_SIZE;
        } else if (length != null) {
            try {
                missing = Long.parseLong(length);
                step = missing < 0 || missing > MOST_BODY ? Step.BROKEN : Step.LENGTH;
            } catch (NumberFormatException e) {
                step = Step.BROKEN;
            }
        } else {
            step = answers ? Step.TO_END : Step.WHOLE;
        }
    }

    private boolean readBody(Step after) {
        int more = (int) Math.min(missing, to - from);
        if (bodyLength + more > MOST_BODY) {
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
        missing -= more;
        if (missing == 0) {
            step = after;
            return true;
        }
        return false;
    }

    /** A line between the chunks: a size, the end of one, or of the trailer. */
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
                    missing = Long.parseLong(size.trim(), 16);
                    step = missing < 0 ? Step.BROKEN : missing == 0 ? Step.TRAILER : Step.CHUNK;
                } catch (NumberFormatException e) {
                    step = Step.BROKEN;
                }
            }
            case CHUNK_END -> step = line.isEmpty() ? Step.CHUNK_SIZE : Step.BROKEN;
            default -> step = line.isEmpty() ? Step.WHOLE : Step.TRAILER;
        }
        return true;
    }

    /** An answer's status, or -1 if it can't be read. */
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

    /** The n-th word of a request's first line; empty if there is none. */
    String word(int number) {
        int end = head.indexOf('\n');
        String[] words = head.substring(0, end).strip().split(" ");
        return number < words.length ? words[number] : "";
    }

    /** The first word of a head that has not come whole. */
    String firstPartialWord() {
        int end = from;
        while (end < to && bytes[end] != ' ') {
            end++;
        }
        return new String(bytes, from, end - from, StandardCharsets.ISO_8859_1);
    }

    /** The first header of that name (in lower case), or null. */
    String header(String name) {
        return head == null ? null : find(head, name);
    }

    /** The same in a head that has not come whole. */
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

    /** A request as it came. */
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
