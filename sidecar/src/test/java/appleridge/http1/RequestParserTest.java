package appleridge.http1;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import appleridge.config.SidecarConfig;
import appleridge.daemon.LoopbackSidecar;
import appleridge.http1.InvalidRequestException.Problem;
import appleridge.request.ClientRequest;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Parsing of valid and invalid request headers. */
class RequestParserTest {
    private static final String TWO_TENANTS =
            "\"parties\":["
                    + "{\"name\":\"first\",\"portion\":0.5,\"quotaRps\":9},"
                    + "{\"name\":\"acme\",\"portion\":0.5,\"quotaRps\":9}]";

    private static ClientRequest parse(String parties, HttpRequest head)
            throws IOException, InvalidRequestException {
        String json =
                LoopbackSidecar.json(LoopbackSidecar.SettingValues.DEFAULT, "127.0.0.1:9")
                        .replaceAll("\"parties\":\\[[^]]*]", parties);
        RequestParser parser =
                new RequestParser(SidecarConfig.parse(json.getBytes(StandardCharsets.UTF_8)));
        return parser.parse(head, new byte[0], 0);
    }

    private static ClientRequest parse(HttpRequest head)
            throws IOException, InvalidRequestException {
        return parse(TWO_TENANTS, head);
    }

    private static HttpRequest request() {
        HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/api");
        head.headers()
                .set(Headers.REQUEST_ID, "id")
                .set(Headers.CLASS, "write")
                .set(Headers.DEADLINE, "0.5")
                .set(Headers.IDEMPOTENCY_KEY, "key");
        return head;
    }

    private static void assertInvalid(Problem problem, HttpRequest head) {
        InvalidRequestException invalid =
                assertThrows(InvalidRequestException.class, () -> parse(head), head.toString());
        assertEquals(HttpResponseStatus.BAD_REQUEST, invalid.status());
        assertEquals(problem, invalid.problem());
    }

    /** Guards against checking the first of two headers while an upstream uses the second. */
    @Test
    void repeatedHeaderIsRejected() throws Exception {
        String[][] lines = {
            {"X-Request-Id", "id"},
            {"X-Class", "write"},
            {"X-Deadline", "0.5"},
            {"X-Tenant", "acme"},
            {"Idempotency-Key", "key"}
        };
        for (String[] line : lines) {
            for (String second : new String[] {line[1], "other"}) {
                HttpRequest head = request();
                head.headers().set(line[0], line[1]).add(line[0].toLowerCase(), second);
                assertInvalid(Problem.REPEATED_HEADER, head);
            }
        }
        HttpRequest repeatedOther = request();
        repeatedOther.headers().add("X-Extras", "a=1").add("X-Extras", "b=2");
        assertEquals("id", parse(repeatedOther).id());
    }

    /** Guards against names that never match: heads are decoded as Latin-1, settings as UTF-8. */
    @Test
    void classAndTenantNamesMayContainNonAsciiLetters() throws Exception {
        String parties = TWO_TENANTS.replace("acme", "\u65ed\u5ddd, les m\u00eames");
        HttpRequest head = request();
        byte[] sent = "\u65ed\u5ddd, les m\u00eames".getBytes(StandardCharsets.UTF_8);
        head.headers().set("X-Tenant", new String(sent, StandardCharsets.ISO_8859_1));
        assertEquals(1, parse(parties, head).tenant());
        head.headers().set("X-Tenant", "les m\u00eames");
        assertThrows(InvalidRequestException.class, () -> parse(parties, head));
    }

    /** Guards against requests held for longer than the deadline of their request class. */
    @Test
    void deadlineIsReducedToDeadlineOfClass() throws Exception {
        HttpRequest head = request();
        assertEquals(500_000_000L, parse(head).timeoutNanos());
        for (String deadline : new String[] {"3", "3.0001", "60"}) {
            head.headers().set(Headers.DEADLINE, deadline);
            assertEquals(3_000_000_000L, parse(head).timeoutNanos(), deadline);
        }
        head.headers().set(Headers.DEADLINE, "60.1");
        assertInvalid(Problem.HEADER_OUT_OF_RANGE, head);
    }

    /** Guards against rejecting all requests of a class whose deadline exceeds one minute. */
    @Test
    void classDeadlineMayExceedOneMinute() throws Exception {
        String longDeadline =
                LoopbackSidecar.json(LoopbackSidecar.SettingValues.DEFAULT, "127.0.0.1:9")
                        .replace("\"deadline\":3000000000", "\"deadline\":90000000000");
        RequestParser parser =
                new RequestParser(
                        SidecarConfig.parse(longDeadline.getBytes(StandardCharsets.UTF_8)));
        HttpRequest head = request();
        for (String deadline : new String[] {"75.5", "90"}) {
            head.headers().set(Headers.DEADLINE, deadline);
            assertEquals(
                    (long) (Double.parseDouble(deadline) * 1e9),
                    parser.parse(head, new byte[0], 0).timeoutNanos());
        }
        head.headers().set(Headers.DEADLINE, "90.1");
        assertThrows(InvalidRequestException.class, () -> parser.parse(head, new byte[0], 0));
    }

    /**
     * Guards against a single request whose cost hint outweighs all others together: slow start and
     * load shedding use the estimated work.
     */
    @Test
    void costHintBeyondClassDeadlineIsIgnored() throws Exception {
        HttpRequest head = request();
        for (String hint : new String[] {"1200", "3000000"}) {
            head.headers().set(Headers.COST_HINT, hint);
            assertEquals(Long.parseLong(hint) * 1000, parse(head).costHintNanos());
        }
        for (String hint :
                new String[] {"3000001", "1e12", "1e300", "Infinity", "NaN", "-1", "much"}) {
            head.headers().set(Headers.COST_HINT, hint);
            assertEquals(0, parse(head).costHintNanos(), hint);
        }
    }

    /** Guards against requests with an unknown tenant that use up the quota of the first one. */
    @Test
    void unknownTenantIsRejected() throws Exception {
        HttpRequest head = request();
        assertEquals(0, parse(head).tenant(), "no tenant named");
        head.headers().set(Headers.TENANT, "");
        assertEquals(0, parse(head).tenant(), "no tenant named");
        head.headers().set(Headers.TENANT, "acme");
        assertEquals(1, parse(head).tenant());
        head.headers().set(Headers.TENANT, "Acme");
        assertInvalid(Problem.UNKNOWN_HEADER_VALUE, head);
        assertEquals(0, parse("\"parties\":[]", head).tenant(), "no tenants in the settings");
        assertEquals(
                0,
                parse("\"parties\":[{\"portion\":1.0,\"quotaRps\":9}]", head).tenant(),
                "unnamed tenant in the settings");
    }
}
