package appleridge.http1;

import appleridge.config.SidecarConfig;
import appleridge.http1.InvalidRequestException.Problem;
import appleridge.loadbalancing.Idempotency;
import appleridge.loadbalancing.RequestClass;
import appleridge.request.ClientRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.cookie.Cookie;
import io.netty.handler.codec.http.cookie.ServerCookieDecoder;
import io.netty.util.AsciiString;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.TimeUnit;

/**
 * Parses the head of a client's HTTP request into a {@link ClientRequest}, and rejects invalid
 * requests. Has no state other than the configuration.
 */
public final class RequestParser {
    private static final String PATH = "/api";
    private static final String AFFINITY_COOKIE = "user";
    private static final String RETRY_VALUE = "1";
    private static final int HEXADECIMAL = 16;

    /**
     * The longest valid deadline, unless the deadline of the request class is longer. A valid
     * deadline beyond that of the class is reduced to it.
     */
    private static final double MAX_DEADLINE_SECONDS = 60;

    /**
     * Headers that must not be repeated. Only the first of two would be checked here, while both
     * are forwarded and an upstream might use the second.
     */
    private static final List<AsciiString> SINGLE_HEADERS =
            List.of(
                    Headers.REQUEST_ID,
                    Headers.CLASS,
                    Headers.TENANT,
                    Headers.DEADLINE,
                    Headers.IDEMPOTENCY_KEY);

    private final SidecarConfig config;

    /** Creates a parser for the request classes and tenants of a configuration. */
    public RequestParser(SidecarConfig config) {
        this.config = config;
    }

    /**
     * Parses a request.
     *
     * @param body the whole body; empty if it is streamed
     * @param arrivedNanos the time of arrival on the loop's clock
     * @throws InvalidRequestException for the first problem found in the order path, method,
     *     headers
     */
    ClientRequest parse(HttpRequest head, byte[] body, long arrivedNanos)
            throws InvalidRequestException {
        checkPath(head.uri());
        checkMethod(head.method());
        HttpHeaders headers = Headers.endToEnd(head.headers());
        checkSingleHeaders(headers);
        String id = requestId(headers);
        int classIndex = classIndex(headers);
        RequestClass requestClass = config.settings().classes().get(classIndex);
        checkClassRules(requestClass, head.method(), headers);
        return new ClientRequest(
                id,
                arrivedNanos,
                timeoutNanos(headers, requestClass),
                classIndex,
                tenant(headers.get(Headers.TENANT, "").strip()),
                affinityKey(headers.get(HttpHeaderNames.COOKIE)),
                costHintNanos(headers, requestClass),
                RETRY_VALUE.equals(headers.get(Headers.RETRY)),
                new HttpUpstreamRequest(head.method(), head.uri(), headers, body));
    }

    private static void checkPath(String uri) throws InvalidRequestException {
        String path = uri.indexOf('?') < 0 ? uri : uri.substring(0, uri.indexOf('?'));
        if (!path.equals(PATH) && !path.startsWith(PATH + "/")) {
            throw InvalidRequestException.of(Problem.UNKNOWN_PATH, "no such path");
        }
    }

    private static void checkMethod(HttpMethod method) throws InvalidRequestException {
        if (!method.equals(HttpMethod.GET) && !method.equals(HttpMethod.POST)) {
            throw InvalidRequestException.methodNotAllowed(
                    "method not allowed", HttpMethod.GET, HttpMethod.POST);
        }
    }

    private static void checkSingleHeaders(HttpHeaders headers) throws InvalidRequestException {
        for (AsciiString name : SINGLE_HEADERS) {
            if (headers.getAll(name).size() > 1) {
                throw InvalidRequestException.of(Problem.REPEATED_HEADER, name + " more than once");
            }
        }
    }

    private static String requestId(HttpHeaders headers) throws InvalidRequestException {
        String id = headers.get(Headers.REQUEST_ID, "");
        if (id.isBlank()) {
            throw InvalidRequestException.of(Problem.MISSING_HEADER, "X-Request-Id missing");
        }
        return id;
    }

    private int classIndex(HttpHeaders headers) throws InvalidRequestException {
        int index = indexOf(config.requestClassNames(), headers.get(Headers.CLASS, ""));
        if (index < 0) {
            throw InvalidRequestException.of(
                    Problem.UNKNOWN_HEADER_VALUE, "X-Class missing or unknown");
        }
        return index;
    }

    private static void checkClassRules(
            RequestClass requestClass, HttpMethod method, HttpHeaders headers)
            throws InvalidRequestException {
        Idempotency idempotency = requestClass.idempotency();
        HttpMethod required =
                idempotency == Idempotency.IDEMPOTENT ? HttpMethod.GET : HttpMethod.POST;
        if (!method.equals(required)) {
            throw InvalidRequestException.methodNotAllowed("the class wants " + required, required);
        }
        if (idempotency == Idempotency.IDEMPOTENT_BY_KEY
                && headers.get(Headers.IDEMPOTENCY_KEY, "").isBlank()) {
            throw InvalidRequestException.of(Problem.MISSING_HEADER, "Idempotency-Key missing");
        }
    }

    /**
     * How long the client waits, reduced to the deadline of the request class. A longer one would
     * keep the request's place occupied for as long, and could outlast the drain, whose schedule
     * follows from the longest deadline of any class.
     */
    private static long timeoutNanos(HttpHeaders headers, RequestClass requestClass)
            throws InvalidRequestException {
        double seconds = parseNumber(headers.get(Headers.DEADLINE));
        double classSeconds = requestClass.deadlineNanos() / (double) TimeUnit.SECONDS.toNanos(1);
        if (!(seconds > 0 && seconds <= Math.max(MAX_DEADLINE_SECONDS, classSeconds))) {
            throw InvalidRequestException.of(
                    Problem.HEADER_OUT_OF_RANGE, "X-Deadline missing or senseless");
        }
        return Math.min(
                (long) (seconds * TimeUnit.SECONDS.toNanos(1)), requestClass.deadlineNanos());
    }

    /**
     * The client's estimate of the work; 0 if there is none or if it exceeds the deadline of the
     * request class, because a single such request could outweigh all others together.
     */
    private static long costHintNanos(HttpHeaders headers, RequestClass requestClass) {
        double nanos =
                parseNumber(headers.get(Headers.COST_HINT)) * TimeUnit.MICROSECONDS.toNanos(1);
        return nanos > 0 && nanos <= requestClass.deadlineNanos() ? (long) nanos : 0;
    }

    /**
     * The index of a tenant in the settings; 0 if the request names none. An unknown name is
     * rejected, because it would otherwise use up the quota of the first tenant.
     */
    private int tenant(String name) throws InvalidRequestException {
        int tenant = indexOf(config.tenantNames(), name);
        boolean named =
                !name.isEmpty()
                        && !config.tenantNames().isEmpty()
                        && !config.tenantNames().contains("");
        if (tenant < 0 && named) {
            throw InvalidRequestException.of(Problem.UNKNOWN_HEADER_VALUE, "X-Tenant unknown");
        }
        return Math.max(0, tenant);
    }

    /**
     * The index of a header's value in a list of names; -1 if there is none. The value was decoded
     * as Latin-1, while the names come from UTF-8 settings, so both readings are tried.
     */
    private static int indexOf(List<String> names, String value) {
        int index = names.indexOf(value);
        return index >= 0
                ? index
                : names.indexOf(
                        new String(
                                value.getBytes(StandardCharsets.ISO_8859_1),
                                StandardCharsets.UTF_8));
    }

    private static double parseNumber(String text) {
        try {
            return text == null ? Double.NaN : Double.parseDouble(text);
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }

    /** The affinity key from the cookie {@value #AFFINITY_COOKIE}; 0 if there is none. */
    private static long affinityKey(String cookies) {
        if (cookies == null) {
            return 0;
        }
        for (Cookie cookie : ServerCookieDecoder.LAX.decode(cookies)) {
            if (cookie.name().equals(AFFINITY_COOKIE)) {
                try {
                    return Long.parseUnsignedLong(cookie.value(), HEXADECIMAL);
                } catch (NumberFormatException e) {
                    return UUID.nameUUIDFromBytes(cookie.value().getBytes(StandardCharsets.UTF_8))
                            .getMostSignificantBits();
                }
            }
        }
        return 0;
    }
}
