package appleridge.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Runs the packaged jar with clients that send long requests whole and disconnect before these are
 * forwarded. No attempt may begin for them more than 0.1 s later.
 */
@Timeout(120)
class DepartedUploadsIT {
    /** 0.1 s, by 50 ms longer as each time limit is. */
    private static final long DEPARTED_MILLIS = 150;

    private static final int FULL_SPEED = 1_000_000_000;

    /** All of the bodies that wait at a time fit into the read-ahead budget. */
    private static final int CLIENTS = 4;

    private static final int ROUNDS = 3;

    /** Longer than the time-out of a connect and the retry behind it. */
    private static final long ROUND_MILLIS = 1300;

    private static final long PRESENT_MILLIS = 30;

    @TempDir private Path folder;
    private final ProcessFixture fixture = new ProcessFixture();
    private final Map<String, Long> leftAtNanos = new ConcurrentHashMap<>();
    private PacedUpstream upstream;
    private SidecarProcess sidecar;

    private void start() throws IOException {
        upstream = fixture.open(new PacedUpstream(FULL_SPEED, 0));
        fixture.addTarget("u0", upstream.address());
        sidecar = fixture.startSidecar(folder);
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    /** Sends requests of one class and length on one connection, pipelined. */
    private List<String> send(TestClient client, String requestClass, int bodyBytes, int requests)
            throws IOException {
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < requests; i++) {
            String head =
                    TestClient.request(requestClass, "3.0")
                            .replace(
                                    "Content-Length: 4\r\n\r\nbody",
                                    "Content-Length: " + bodyBytes + "\r\n\r\n");
            ids.add(StubUpstream.header(head, "x-request-id"));
            client.socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            client.socket.getOutputStream().write(new byte[bodyBytes]);
        }
        return ids;
    }

    private void leave(TestClient client, List<String> ids, boolean reset) throws IOException {
        if (reset) {
            client.socket.setSoLinger(true, 0);
        }
        client.close();
        long now = System.nanoTime();
        ids.forEach(id -> leftAtNanos.put(id, now));
    }

    private void assertNoneBegunForDepartedClients() throws IOException {
        List<String> violations = new ArrayList<>();
        upstream.begunAtNanos()
                .forEach(
                        (id, begunAt) -> {
                            Long leftAt = leftAtNanos.get(id);
                            long millis =
                                    leftAt == null
                                            ? 0
                                            : TimeUnit.NANOSECONDS.toMillis(begunAt - leftAt);
                            if (millis > DEPARTED_MILLIS) {
                                violations.add(id + " begun " + millis + " ms after the end");
                            }
                        });
        assertEquals(List.of(), violations, sidecar.log());
    }

    private void assertServes() throws IOException {
        try (TestClient present = new TestClient(sidecar.address())) {
            String response = present.exchange(TestClient.request("read", "3.0"));
            assertEquals(200, TestClient.status(response), sidecar.log());
        }
    }

    /**
     * Guards against a further attempt for a client that left while a connect was awaited: reading
     * of its long request was paused, and its end is behind the rest of the body.
     */
    @ParameterizedTest
    @CsvSource({
        "70000, 1, 0, false",
        "102400, 1, 0, true",
        "102400, 3, 0, false",
        "400000, 1, 16384, false",
        "1000000, 1, 0, false",
        "1400000, 1, 262144, true"
    })
    void requestIsNotRetriedAfterItsClientLeft(
            int bodyBytes, int requests, int sendBufferBytes, boolean reset) throws Exception {
        SilentUpstream silent = fixture.open(new SilentUpstream());
        fixture.addTarget("silent", silent.address());
        start();
        for (int round = 0; round < ROUNDS; round++) {
            List<TestClient> clients = new ArrayList<>();
            List<List<String>> ids = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                TestClient client = new TestClient(sidecar.address());
                if (sendBufferBytes > 0) {
                    client.socket.setSendBufferSize(sendBufferBytes);
                }
                clients.add(client);
                ids.add(send(client, "write", bodyBytes, requests));
            }
            Thread.sleep(PRESENT_MILLIS);
            for (int i = 0; i < CLIENTS; i++) {
                leave(clients.get(i), ids.get(i), reset);
            }
            Thread.sleep(ROUND_MILLIS);
        }
        assertNoneBegunForDepartedClients();
        assertTrue(
                sidecar.log().contains("outcome=CONNECT_FAILED")
                        || sidecar.log().contains("reason=client_disconnected"),
                sidecar.log());
        assertEquals(0, sidecar.metric("buffered_bytes_read_ahead"));
        assertServes();
    }

    /**
     * Guards against a first attempt for a client that left while the process stood still, before
     * its long request was read; after 2.3 s requests also wait for discovery.
     */
    @ParameterizedTest
    @CsvSource({"70000, 600", "250000, 600", "900000, 600", "250000, 2300"})
    void requestIsNotForwardedIfItsClientLeftBeforeItWasRead(int bodyBytes, long stallMillis)
            throws Exception {
        start();
        assertServes();
        sidecar.signal("STOP");
        for (int i = 0; i < CLIENTS; i++) {
            TestClient client = new TestClient(sidecar.address());
            client.socket.setSendBufferSize(2 * bodyBytes);
            leave(client, send(client, "pay", bodyBytes, 1), false);
        }
        Thread.sleep(stallMillis);
        sidecar.signal("CONT");
        assertServes();
        assertNoneBegunForDepartedClients();
    }
}
