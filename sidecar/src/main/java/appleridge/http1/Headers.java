package appleridge.http1;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/** The headers of the load balancer's protocol, and the handling of hop-by-hop headers. */
public final class Headers {
    /** The id of the request. Required exactly once. */
    public static final AsciiString REQUEST_ID = AsciiString.cached("x-request-id");

    /** The name of the request class in the settings. Required exactly once. */
    public static final AsciiString CLASS = AsciiString.cached("x-class");

    /** The name of the tenant in the settings. At most once. */
    public static final AsciiString TENANT = AsciiString.cached("x-tenant");

    /**
     * The seconds that the client waits, or that are left for an upstream. Required exactly once.
     */
    public static final AsciiString DEADLINE = AsciiString.cached("x-deadline");

    /** {@code 1} if the request is a retry by the client itself. */
    public static final AsciiString RETRY = AsciiString.cached("x-retry");

    /** The client's estimate of the work of the request, in microseconds. */
    public static final AsciiString COST_HINT = AsciiString.cached("x-cost-hint");

    /** The idempotency key. Required for classes that are idempotent by key; at most once. */
    public static final AsciiString IDEMPOTENCY_KEY = AsciiString.cached("idempotency-key");

    /** {@code 1} in a 503 or 504 response of an upstream that did not run the request. */
    public static final AsciiString NOT_RUN = AsciiString.cached("x-not-run");

    /** The load report of an upstream: {@code name=value} pairs, separated by commas. */
    public static final AsciiString LOAD = AsciiString.cached("x-load");

    private static final List<AsciiString> HOP_BY_HOP =
            List.of(
                    HttpHeaderNames.CONNECTION,
                    AsciiString.cached("keep-alive"),
                    HttpHeaderNames.PROXY_AUTHENTICATE,
                    HttpHeaderNames.PROXY_AUTHORIZATION,
                    AsciiString.cached("proxy-connection"),
                    HttpHeaderNames.TE,
                    HttpHeaderNames.TRAILER,
                    HttpHeaderNames.TRANSFER_ENCODING,
                    HttpHeaderNames.UPGRADE,
                    HttpHeaderNames.EXPECT,
                    HttpHeaderNames.CONTENT_LENGTH);

    /** What a header occupies beside the characters of its name and value. */
    private static final int HEADER_OBJECT_BYTES = 128;

    private static final int MIN_HEADER_LINE_BYTES = 4;

    private Headers() {}

    /**
     * The memory that a part of a head occupies at most, of which the number of lines is limited.
     */
    static long maxMemoryBytes(long headBytes) {
        long lines = Math.min(MessageFraming.MAX_HEADER_LINES, headBytes / MIN_HEADER_LINE_BYTES);
        return headBytes + lines * HEADER_OBJECT_BYTES;
    }

    /** Estimates the memory that headers occupy. */
    static long memoryBytes(HttpHeaders headers) {
        long bytes = 0;
        Iterator<Map.Entry<CharSequence, CharSequence>> all = headers.iteratorCharSequence();
        while (all.hasNext()) {
            Map.Entry<CharSequence, CharSequence> header = all.next();
            bytes += HEADER_OBJECT_BYTES + header.getKey().length() + header.getValue().length();
        }
        return bytes;
    }

    /** Returns a copy without hop-by-hop and framing headers, which each hop sets itself. */
    static HttpHeaders endToEnd(HttpHeaders headers) {
        HttpHeaders copy = new DefaultHttpHeaders().set(headers);
        for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : value.split(",")) {
                if (!name.isBlank()) {
                    copy.remove(name.trim());
                }
            }
        }
        HOP_BY_HOP.forEach(copy::remove);
        return copy;
    }

    /** Formats a duration as seconds with up to three decimals; a negative one as 0. */
    static String seconds(long nanos) {
        return Double.toString(Math.max(0, nanos / 1_000_000) / 1000.0);
    }
}
