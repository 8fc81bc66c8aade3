package appleridge.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs the packaged jar with clients that disconnect before they have their responses. Their
 * requests must not be forwarded afterwards, and a request whose id comes again must not be
 * executed twice.
 */
@Timeout(60)
class DepartedClientsIT {
    private static final long WORK_MILLIS = 300;
    private static final int DEPARTING_CLIENTS = 6;
    private static final int REQUESTS_PER_CLIENT = 15;
    private static final int BODY_BYTES = 60_000;

    /** How long the process stands still; its clients have left long before. */
    private static final long STALL_MILLIS = 600;

    @TempDir private Path folder;
    private final ProcessFixture fixture = new ProcessFixture();
    private StubUpstream upstream;
    private SidecarProcess sidecar;

    @BeforeEach
    void start() throws IOException {
        upstream =
                new StubUpstream(
                        (socket, request) -> {
                            Thread.sleep(WORK_MILLIS);
                            StubUpstream.write(socket, StubUpstream.response("200 OK", "fine"));
                            return true;
                        });
        fixture.open(upstream);
        fixture.addTarget("u0", upstream.address());
        sidecar = fixture.startSidecar(folder);
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    private long executions(String id) {
        return upstream.requests.stream()
                .filter(each -> id.equals(StubUpstream.header(each, "x-request-id")))
                .count();
    }

    /** Sends a request, disconnects once it runs, and sends it again on another connection. */
    private void assertNotExecutedAgain(String requestClass) throws Exception {
        String request = TestClient.request(requestClass, "2.0");
        String id = StubUpstream.header(request, "x-request-id");
        try (TestClient leaving = new TestClient(sidecar.address())) {
            leaving.send(request);
            upstream.nextRequest();
        }
        Thread.sleep(50);
        try (TestClient again = new TestClient(sidecar.address())) {
            assertEquals(409, TestClient.status(again.exchange(request)), sidecar.log());
        }
        assertEquals(0, executions(id), "executed again; " + sidecar.log());
    }

    /** Guards against an id that is forgotten with its client, though its attempt may have run. */
    @Test
    void nonIdempotentRequestIsNotExecutedAgainAfterItsClientLeft() throws Exception {
        assertNotExecutedAgain("pay");
    }

    /** Guards against the same for a key that only the hosts of one zone know. */
    @Test
    void requestWithAKeyIsNotExecutedAgainAfterItsClientLeft() throws Exception {
        assertNotExecutedAgain("hold");
    }

    /** Guards against an id that is forgotten once its response was given. */
    @Test
    void nonIdempotentRequestIsNotExecutedAgainAfterItsResponse() throws Exception {
        String request = TestClient.request("pay", "2.0");
        try (TestClient client = new TestClient(sidecar.address())) {
            assertEquals(200, TestClient.status(client.exchange(request)));
            assertEquals(409, TestClient.status(client.exchange(request)), sidecar.log());
        }
        assertEquals(1, upstream.requests.size());
    }

    private void sendRequestsAndLeave() throws IOException {
        try (TestClient client = new TestClient(sidecar.address())) {
            OutputStream out = client.socket.getOutputStream();
            for (int i = 0; i < REQUESTS_PER_CLIENT; i++) {
                String request =
                        TestClient.request("pay", "2.0")
                                .replace(
                                        "Content-Length: 4\r\n\r\nbody",
                                        "Content-Length: "
                                                + BODY_BYTES
                                                + "\r\n\r\n"
                                                + "b".repeat(BODY_BYTES));
                out.write(request.getBytes(StandardCharsets.US_ASCII));
            }
        }
    }

    /** On an idle connection a request is written at once, rather than once it is connected. */
    private void leaveIdleUpstreamConnection() throws Exception {
        try (TestClient client = new TestClient(sidecar.address())) {
            assertEquals(
                    200, TestClient.status(client.exchange(TestClient.request("read", "3.0"))));
        }
        upstream.nextRequest();
    }

    /**
     * Guards against requests that are forwarded for clients that have left: the end of a
     * connection is behind all that its client has sent, and is read last.
     */
    @Test
    void pipelinedRequestsOfDepartedClientsAreNotForwarded() throws Exception {
        leaveIdleUpstreamConnection();
        sidecar.signal("STOP");
        for (int i = 0; i < DEPARTING_CLIENTS; i++) {
            sendRequestsAndLeave();
        }
        TimeUnit.MILLISECONDS.sleep(STALL_MILLIS);
        sidecar.signal("CONT");
        try (TestClient present = new TestClient(sidecar.address())) {
            String response = present.exchange(TestClient.request("read", "3.0", "X-Probe: 1"));
            assertEquals(200, TestClient.status(response), sidecar.log());
        }
        assertEquals(1, upstream.requests.size(), sidecar.log());
        assertTrue(upstream.nextRequest().contains("X-Probe: 1"));
    }
}
