package appleridge.http1;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Validates the lines of a message head ahead of Netty's decoder, which accepts input that another
 * parser may interpret differently: header lines without a colon, folded lines, and control bytes
 * before the start line. Also limits the number of header lines, because each occupies many times
 * the memory of its characters. Holds the state of one connection.
 */
final class HeadLineValidator {
    private static final String TOKEN_PUNCTUATION = "!#$%&'*+-.^_`|~";

    /** Whether empty lines may precede a head, as RFC 9112, 2.2, allows for requests. */
    private final boolean leadingEmptyLinesAllowed;

    private boolean inHead = true;
    private boolean startLineSeen;
    private int headerLines;

    HeadLineValidator(boolean leadingEmptyLinesAllowed) {
        this.leadingEmptyLinesAllowed = leadingEmptyLinesAllowed;
    }

    /**
     * Whether all complete head lines in the buffer are well formed. Must be called before each
     * step of the decoder: a step consumes all complete lines, which can't be validated later.
     */
    boolean isWellFormed(ByteBuf in) {
        if (!inHead) {
            return true;
        }
        int from = in.readerIndex();
        if (!startLineSeen && from < in.writerIndex() && !mayStartHead(in.getByte(from))) {
            return false;
        }
        while (true) {
            int lf = in.indexOf(from, in.writerIndex(), (byte) '\n');
            if (lf < 0) {
                return true;
            }
            int end = lf - 1;
            if (lf == from && !startLineSeen && leadingEmptyLinesAllowed) {
                // An empty line whose carriage return the decoder has consumed in an earlier step.
                end = from;
            } else if (lf == from || in.getByte(end) != '\r') {
                return false;
            }
            if (end == from) {
                if (startLineSeen) {
                    return true;
                }
                if (!leadingEmptyLinesAllowed) {
                    return false;
                }
            } else if (startLineSeen ? !isField(in, from, end) : !isStartLine(in, from, end)) {
                return false;
            } else if (startLineSeen && ++headerLines > MessageFraming.MAX_HEADER_LINES) {
                return false;
            } else {
                startLineSeen = true;
            }
            from = lf + 1;
        }
    }

    /** Tracks the objects decoded in one step, from the index of the first new one on. */
    void onDecoded(List<Object> objects, int first) {
        for (Object object : objects.subList(first, objects.size())) {
            if (object instanceof HttpMessage) {
                inHead = false;
                headerLines = 0;
            }
            if (object instanceof LastHttpContent) {
                inHead = true;
                startLineSeen = false;
            }
        }
    }

    private boolean mayStartHead(byte first) {
        return first > ' ' && first < 0x7f
                || leadingEmptyLinesAllowed && (first == '\r' || first == '\n');
    }

    private static boolean isStartLine(ByteBuf in, int from, int end) {
        return isText(in, from, end) && in.getByte(from) > ' ';
    }

    /**
     * Whether a line is a field name of token characters, directly followed by a colon, and text.
     */
    private static boolean isField(ByteBuf in, int from, int end) {
        int colon = in.indexOf(from, end, (byte) ':');
        if (colon <= from) {
            return false;
        }
        for (int i = from; i < colon; i++) {
            char c = (char) (in.getByte(i) & 0xff);
            boolean token =
                    c >= '0' && c <= '9'
                            || c >= 'a' && c <= 'z'
                            || c >= 'A' && c <= 'Z'
                            || TOKEN_PUNCTUATION.indexOf(c) >= 0;
            if (!token) {
                return false;
            }
        }
        return isText(in, colon, end);
    }

    /**
     * Whether there are no control bytes other than tabs. Bytes above ASCII are allowed, because no
     * parser takes them for the end of a line.
     */
    private static boolean isText(ByteBuf in, int from, int end) {
        for (int i = from; i < end; i++) {
            int c = in.getByte(i) & 0xff;
            if (c < ' ' && c != '\t' || c == 0x7f) {
                return false;
            }
        }
        return true;
    }
}
