package appleridge.http1;

import appleridge.config.SidecarConfig;
import appleridge.loadbalancing.Idempotency;
import appleridge.loadbalancing.RequestClass;
import appleridge.request.ClientRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.cookie.Cookie;
import io.netty.handler.codec.http.cookie.ServerCookieDecoder;
import io.netty.util.AsciiString;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.TimeUnit;

/** Turns what a client sent into a {@link ClientRequest}, or says what is wrong with it. */
public final class RequestParser {
    /** What a client sent makes no sense; answered at once, with nothing sent to an upstream. */
    static final class BadRequest extends Exception {
        private static final long serialVersionUID = 1L;
        private final transient HttpResponseStatus status;
        private final transient HttpMethod[] allowed;

        BadRequest(HttpResponseStatus status, String message, HttpMethod... allowed) {
            super(message, null, false, false);
            this.status = status;
            this.allowed = allowed;
        }

        /** The methods that would have been right, if the method was wrong. */
        HttpMethod[] allowed() {
            return allowed;
        }

        HttpResponseStatus status() {
            return status;
        }
    }

    private static final String PATH = "/api";

    /**
     * A larger deadline is no one's, unless its class's clients wait for longer; up to it one
     * beyond the class's own is valid, and cut to that.
     */
    private static final double LONGEST_SECONDS = 60;

    /**
     * Headers that tell what a request is. Danger: of two lines only the first would be looked at
     * here, while both are sent on, and who reads them next may go by the other.
     */
    private static final List<AsciiString> SAID_ONCE =
            List.of(
                    Headers.REQUEST_ID,
                    Headers.CLASS,
                    Headers.TENANT,
                    Headers.DEADLINE,
                    Headers.IDEMPOTENCY_KEY);

    private final SidecarConfig config;

    /** For the classes and tenants of a configuration. */
    public RequestParser(SidecarConfig config) {
        this.config = config;
    }

    ClientRequest read(HttpRequest head, byte[] body, long arrived) throws BadRequest {
        String uri = head.uri();
        String path = uri.indexOf('?') < 0 ? uri : uri.substring(0, uri.indexOf('?'));
        if (!path.equals(PATH) && !path.startsWith(PATH + "/")) {
            throw new BadRequest(HttpResponseStatus.NOT_FOUND, "no such path");
        }
        if (!head.method().equals(HttpMethod.GET) && !head.method().equals(HttpMethod.POST)) {
            throw new BadRequest(
                    HttpResponseStatus.METHOD_NOT_ALLOWED,
                    "method not allowed",
                    HttpMethod.GET,
                    HttpMethod.POST);
        }
        HttpHeaders headers = Headers.endToEnd(head.headers());
        for (AsciiString each : SAID_ONCE) {
            if (headers.getAll(each).size() > 1) {
                throw bad(each + " more than once");
            }
        }
        String name = headers.get(Headers.REQUEST_ID, "");
        if (name.isBlank()) {
            throw bad("X-Request-Id missing");
        }
        int requestClass = position(config.requestClassNames(), headers.get(Headers.CLASS, ""));
        if (requestClass < 0) {
            throw bad("X-Class missing or unknown");
        }
        RequestClass kind = config.settings().classes().get(requestClass);
        HttpMethod method =
                kind.idempotency() == Idempotency.IDEMPOTENT ? HttpMethod.GET : HttpMethod.POST;
        if (!head.method().equals(method)) {
            throw new BadRequest(
                    HttpResponseStatus.METHOD_NOT_ALLOWED, "the class wants " + method, method);
        }
        if (kind.idempotency() == Idempotency.IDEMPOTENT_BY_KEY
                && headers.get(Headers.IDEMPOTENCY_KEY, "").isBlank()) {
            throw bad("Idempotency-Key missing");
        }
        double seconds = number(headers.get(Headers.DEADLINE));
        double longest =
                Math.max(
                        LONGEST_SECONDS,
                        kind.deadlineNanos() / (double) TimeUnit.SECONDS.toNanos(1));
        if (!(seconds > 0 && seconds <= longest)) {
            throw bad("X-Deadline missing or senseless");
        }
        // Danger: what is held for longer than its class's clients wait would hold its place for as
        // long,
        // and would outlive the end of the service, which waits for the longest class.
        long patience =
                Math.min((long) (seconds * TimeUnit.SECONDS.toNanos(1)), kind.deadlineNanos());
        // Danger: one request with a guess without bounds would count for more work than all others
        // together.
        double hint = number(headers.get(Headers.COST_HINT)) * TimeUnit.MICROSECONDS.toNanos(1);
        boolean guessed = hint > 0 && hint <= kind.deadlineNanos();
        return new ClientRequest(
                name,
                arrived,
                patience,
                requestClass,
                tenant(headers.get(Headers.TENANT, "").strip()),
                key(headers.get(HttpHeaderNames.COOKIE)),
                guessed ? (long) hint : 0,
                "1".equals(headers.get(Headers.RETRY)),
                new HttpUpstreamRequest(head.method(), uri, headers, body));
    }

    /**
     * The tenant's place in the settings; the first one's where a request names none. Danger: taken
     * for the first one, a name that nobody has would use up that one's quota.
     */
    private int tenant(String name) throws BadRequest {
        int tenant = position(config.tenantNames(), name);
        boolean named =
                !name.isEmpty()
                        && !config.tenantNames().isEmpty()
                        && !config.tenantNames().contains("");
        if (tenant < 0 && named) {
            throw bad("X-Tenant unknown");
        }
        return Math.max(0, tenant);
    }

    /** Danger: bytes of a head are read as Latin-1, while the settings have a name's letters. */
    private static int position(List<String> names, String told) {
        int at = names.indexOf(told);
        return at >= 0
                ? at
                : names.indexOf(
                        new String(
                                told.getBytes(StandardCharsets.ISO_8859_1),
                                StandardCharsets.UTF_8));
    }

    private static BadRequest bad(String message) {
        return new BadRequest(HttpResponseStatus.BAD_REQUEST, message);
    }

    private static double number(String text) {
        try {
            return text == null ? Double.NaN : Double.parseDouble(text);
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }

    /** What the request is about, as a number; 0 for nothing. */
    private static long key(String cookies) {
        if (cookies == null) {
            return 0;
        }
        for (Cookie cookie : ServerCookieDecoder.LAX.decode(cookies)) {
            if (cookie.name().equals("user")) {
                try {
                    return Long.parseUnsignedLong(cookie.value(), 16);
                } catch (NumberFormatException e) {
                    return UUID.nameUUIDFromBytes(cookie.value().getBytes(StandardCharsets.UTF_8))
                            .getMostSignificantBits();
                }
            }
        }
        return 0;
    }
}
