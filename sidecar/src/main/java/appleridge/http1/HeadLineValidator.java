package appleridge.http1;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Checks the lines of a head before Netty's decoder, which accepts what another reader of the same
 * bytes would read in another way: lines without a colon, folded lines, control bytes before the
 * first line. One for each connection.
 */
final class HeadLineValidator {
    private static final String TOKEN_PUNCTUATION = "!#$%&'*+-.^_`|~";

    /** Whether empty lines may stand before a head, as they may before a request's. */
    private final boolean leadingEmptyLinesAllowed;

    private boolean inHead = true;
    private boolean startLineSeen;

    HeadLineValidator(boolean emptyAhead) {
        this.leadingEmptyLinesAllowed = emptyAhead;
    }

    /**
     * Whether all complete lines of a head are well formed. To be called before each step of the
     * decoder, which takes all complete lines out.
     */
    boolean areWellFormed(ByteBuf in) {
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
                // The decoder has taken the other half of this empty line.
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
            } else {
                startLineSeen = true;
            }
            from = lf + 1;
        }
    }

    /** What the decoder made of a step: its list, from the index of the first new object on. */
    void onDecoded(List<Object> objects, int first) {
        for (Object each : objects.subList(first, objects.size())) {
            if (each instanceof HttpMessage) {
                inHead = false;
            }
            if (each instanceof LastHttpContent) {
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
        return mayBeText(in, from, end) && in.getByte(from) > ' ';
    }

    /** A name of token characters with a colon right behind it. */
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
        return mayBeText(in, colon, end);
    }

    /** No control bytes but tabs; what is above ASCII is nobody's line end. */
    private static boolean mayBeText(ByteBuf in, int from, int end) {
        for (int i = from; i < end; i++) {
            int c = in.getByte(i) & 0xff;
            if (c < ' ' && c != '\t' || c == 0x7f) {
                return false;
            }
        }
        return true;
    }
}
