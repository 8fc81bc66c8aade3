package appleridge.http1;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;
import java.util.List;

/** The protocol's own headers, and which headers are hop-by-hop. */
public final class Headers {
    /** Names a request; required, once. */
    public static final AsciiString REQUEST_ID = AsciiString.cached("x-request-id");

    /** The request's class, by its name in the settings; required, once. */
    public static final AsciiString CLASS = AsciiString.cached("x-class");

    /** The request's tenant, by its name in the settings; once at most. */
    public static final AsciiString TENANT = AsciiString.cached("x-tenant");

    /** Seconds that the client waits, or that are left for an upstream; required, once. */
    public static final AsciiString DEADLINE = AsciiString.cached("x-deadline");

    /** {@code 1} where the client itself retries. */
    public static final AsciiString RETRY = AsciiString.cached("x-retry");

    /** The client's estimate of the work, in microseconds. */
    public static final AsciiString COST_HINT = AsciiString.cached("x-cost-hint");

    /** Required for classes that are idempotent by key; once at most. */
    public static final AsciiString IDEMPOTENCY_KEY = AsciiString.cached("idempotency-key");

    /** {@code 1} in a 503 or 504 of an upstream that did not run the request. */
    public static final AsciiString NOT_RUN = AsciiString.cached("x-not-run");

    /** An upstream's load report: {@code name=value}, separated by commas. */
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

    private Headers() {}

    /** A copy without hop-by-hop headers and framing, which are made anew at each hop. */
    static HttpHeaders endToEnd(HttpHeaders headers) {
        HttpHeaders copy = new DefaultHttpHeaders().set(headers);
        for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String named : value.split(",")) {
                if (!named.isBlank()) {
                    copy.remove(named.trim());
                }
            }
        }
        HOP_BY_HOP.forEach(copy::remove);
        return copy;
    }

    /** A duration in seconds as the protocol writes it, with three decimals; not below 0. */
    static String seconds(long nanos) {
        return Double.toString(Math.max(0, nanos / 1_000_000) / 1000.0);
    }
}
