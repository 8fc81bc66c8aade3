package appleridge.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs the packaged jar before upstreams that read long requests slowly or not at all: the final
 * response must come in the client's time, which counts from the client's last byte.
 */
@Timeout(120)
class SlowRequestsIT {
    /** A final response up to this long after the client's time earns nothing, but is not lost. */
    private static final int LATE_MILLIS = 500;

    private static final int TIMEOUT_MILLIS = 400;

    /** More than what the systems' buffers between client, sidecar and upstream hold. */
    private static final int BODY_BYTES = 6_000_000;

    private static final int ONE_TIME_ONLY = Integer.MAX_VALUE;

    /** The longest deadline of the settings, as far as it counts, and 0.7 s. */
    private static final long SIGKILL_MILLIS = 3700;

    @TempDir private Path folder;
    private final ProcessFixture fixture = new ProcessFixture();
    private SidecarProcess sidecar;

    private SlowReadingUpstream start(int stopAfterBytes, int bytesPerSecond) throws IOException {
        SlowReadingUpstream upstream =
                fixture.open(new SlowReadingUpstream(stopAfterBytes, bytesPerSecond));
        fixture.addTarget("u0", upstream.address());
        sidecar = fixture.startSidecar(folder);
        return upstream;
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    private static void sendRequest(Socket socket, int bodyBytes) throws IOException {
        OutputStream out = socket.getOutputStream();
        String head =
                TestClient.request("pay", String.valueOf(TIMEOUT_MILLIS / 1000.0))
                        .replace(
                                "Content-Length: 4\r\n\r\nbody",
                                "Content-Length: " + bodyBytes + "\r\n\r\n");
        out.write(head.getBytes(StandardCharsets.US_ASCII));
        out.write(new byte[bodyBytes]);
    }

    /**
     * Sends a long request and asserts that its final response comes in time, counted from the last
     * byte that the client's system took; a response that comes earlier is in time.
     */
    private void assertRespondedInTime() throws Exception {
        try (TestClient client = new TestClient(sidecar.address())) {
            CompletableFuture<Long> sentAt =
                    CompletableFuture.supplyAsync(
                            () -> {
                                try {
                                    sendRequest(client.socket, BODY_BYTES);
                                } catch (IOException e) {
                                    // The sidecar responded before it had read all.
                                }
                                return System.nanoTime();
                            });
            String response = client.read();
            long respondedAt = System.nanoTime();
            assertTrue(response != null, () -> "no response; " + log());
            assertEquals(503, TestClient.status(response), () -> response + log());
            long lateMillis = TimeUnit.NANOSECONDS.toMillis(respondedAt - sentAt.join());
            assertTrue(
                    lateMillis <= TIMEOUT_MILLIS + LATE_MILLIS,
                    () -> lateMillis + " ms after the last byte; " + log());
        }
    }

    private String log() {
        try {
            return sidecar.log();
        } catch (IOException e) {
            return e.toString();
        }
    }

    /** Guards against a client's time that stands still while its upstream reads nothing. */
    @Test
    void requestToAnUpstreamThatStopsReadingIsAnsweredInTime() throws Exception {
        start(14_722, ONE_TIME_ONLY);
        assertRespondedInTime();
    }

    /** Guards against a client's time that begins only when a slow upstream has read it all. */
    @Test
    void requestToAnUpstreamThatReadsSlowlyIsAnsweredInTime() throws Exception {
        start(ONE_TIME_ONLY, 110_000);
        assertRespondedInTime();
    }

    /**
     * Guards against a process that does not end in time, because a request waits for its upstream
     * to read while its client has disconnected unnoticed.
     */
    @Test
    void processEndsInTimeAlthoughAClientLeftInARequestThatNobodyReads() throws Exception {
        SlowReadingUpstream upstream = start(14_722, ONE_TIME_ONLY);
        TestClient client = new TestClient(sidecar.address());
        CompletableFuture.runAsync(
                () -> {
                    try {
                        sendRequest(client.socket, BODY_BYTES);
                    } catch (IOException e) {
                        // The client is closed below.
                    }
                });
        while (upstream.connectionCount() == 0) {
            Thread.sleep(5);
        }
        client.close();
        sidecar.signal("TERM");
        long signalledAt = System.nanoTime();
        assertEquals(0, sidecar.awaitExit(), log());
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - signalledAt);
        assertTrue(millis <= SIGKILL_MILLIS, () -> "ended after " + millis + " ms; " + log());
    }
}
