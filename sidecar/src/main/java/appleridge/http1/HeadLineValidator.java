package appleridge.http1;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Checks the lines of a head ahead of the decoder. Danger: the decoder forgives what another reader
 * of the same bytes would read in another way: lines without a colon, lines folded into the one
 * before, control bytes ahead of the first line.
 */
final class HeadLineValidator {
    private static final String TOKEN_MARKS = "!#$%&'*+-.^_`|~";

    /** Whether empty lines may stand ahead of a head, as they may ahead of a request's. */
    private final boolean emptyAhead;

    private boolean inHead = true;
    private boolean begun;

    HeadLineValidator(boolean emptyAhead) {
        this.emptyAhead = emptyAhead;
    }

    /**
     * Whether all whole lines of a head that are there are in order. To be called before each step
     * of the decoder, which takes all whole lines out.
     */
    boolean inOrder(ByteBuf in) {
        if (!inHead) {
            return true;
        }
        int from = in.readerIndex();
        if (!begun && from < in.writerIndex() && !mayBegin(in.getByte(from))) {
            return false;
        }
        while (true) {
            int lf = in.indexOf(from, in.writerIndex(), (byte) '\n');
            if (lf < 0) {
                return true;
            }
            int end = lf - 1;
            if (lf == from && !begun && emptyAhead) {
                // The decoder has taken the other half of this empty line.
                end = from;
            } else if (lf == from || in.getByte(end) != '\r') {
                return false;
            }
            if (end == from) {
                if (begun) {
                    return true;
                }
                if (!emptyAhead) {
                    return false;
                }
            } else if (begun ? !isField(in, from, end) : !isFirst(in, from, end)) {
                return false;
            } else {
                begun = true;
            }
            from = lf + 1;
        }
    }

    /** What the decoder made of a step: from the first new object in its list on. */
    void decoded(List<Object> objects, int first) {
        for (Object each : objects.subList(first, objects.size())) {
            if (each instanceof HttpMessage) {
                inHead = false;
            }
            if (each instanceof LastHttpContent) {
                inHead = true;
                begun = false;
            }
        }
    }

    private boolean mayBegin(byte first) {
        return first > ' ' && first < 0x7f || emptyAhead && (first == '\r' || first == '\n');
    }

    private static boolean isFirst(ByteBuf in, int from, int end) {
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
                            || TOKEN_MARKS.indexOf(c) >= 0;
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
