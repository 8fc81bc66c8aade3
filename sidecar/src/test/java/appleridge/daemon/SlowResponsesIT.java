package appleridge.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;

import appleridge.daemon.LongResponse.Framing;
import appleridge.daemon.LongResponse.Pace;
import java.io.IOException;
import java.io.PushbackInputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs the packaged jar before upstreams that write responses of more than 64 KiB slowly: the first
 * bytes must reach the client in its time, and the rest must not be cut off.
 */
@Timeout(120)
class SlowResponsesIT {
    /** A final answer up to this long after the client's time earns nothing, but is not lost. */
    private static final int LATE_MILLIS = 500;

    /** The longest pause of an upstream in these tests, with a margin. */
    private static final int MAX_PAUSE_MILLIS = 5000;

    private static final int UPSTREAMS = 2;
    private static final int[] LENGTHS = {90_000, 167_000, 300_000};
    private static final long[] PAUSES_MILLIS = {300, 700, 900};

    @TempDir private Path folder;
    private final ExecutorService clients = Executors.newCachedThreadPool();
    private final ProcessFixture fixture = new ProcessFixture();
    private SidecarProcess sidecar;

    @BeforeEach
    void start() throws IOException {
        for (int i = 0; i < UPSTREAMS; i++) {
            StubUpstream upstream = fixture.open(new StubUpstream(LongResponse::serveAsRequested));
            fixture.addTarget("u" + i, upstream.address());
        }
        sidecar = fixture.startSidecar(folder);
    }

    @AfterEach
    void close() throws Exception {
        clients.shutdownNow();
        fixture.close();
    }

    /** Requests a response; returns what is wrong with it, or an empty text. */
    private String exchange(LongResponse response, String requestClass, int timeoutMillis) {
        String seen = response + " class " + requestClass;
        try (TestClient client = new TestClient(sidecar.address())) {
            client.socket.setSoTimeout(timeoutMillis + LATE_MILLIS);
            client.send(
                    TestClient.request(
                            requestClass,
                            String.valueOf(timeoutMillis / 1000.0),
                            response.requestHeader()));
            PushbackInputStream in = new PushbackInputStream(client.socket.getInputStream());
            in.unread(in.read());
            client.socket.setSoTimeout(MAX_PAUSE_MILLIS);
            ReceivedResponse received = ReceivedResponse.read(in);
            boolean whole = received.complete() && Arrays.equals(response.body(), received.body());
            return whole
                    ? ""
                    : seen + ": " + received.head() + ", " + received.body().length + " bytes";
        } catch (IOException e) {
            return seen + ": " + e;
        }
    }

    /** Two requests at a time, so that none waits for capacity at an upstream. */
    private void assertPassedOnWhole(Pace pace) throws IOException {
        List<String> failures = new ArrayList<>();
        for (Framing framing : Framing.values()) {
            int i = (framing.ordinal() + pace.ordinal()) % LENGTHS.length;
            LongResponse response = new LongResponse(framing, pace, LENGTHS[i], PAUSES_MILLIS[i]);
            CompletableFuture<String> other =
                    CompletableFuture.supplyAsync(() -> exchange(response, "write", 1500), clients);
            failures.add(exchange(response, "pay", 400));
            failures.add(other.join());
        }
        failures.removeIf(String::isEmpty);
        assertEquals(List.of(), failures, sidecar.log());
    }

    /** Guards against a steady response whose first 64 KiB take longer than its deadline. */
    @Test
    void steadyLongResponseIsNotCutOffAtItsDeadline() throws Exception {
        assertPassedOnWhole(Pace.STEADY);
    }

    /** Guards against a response that is aborted because it pauses for some hundred ms. */
    @Test
    void longResponseWithPausesIsNotCutOff() throws Exception {
        assertPassedOnWhole(Pace.LUMPS);
    }

    /** Guards against a response that is aborted because its body comes long after its head. */
    @Test
    void longResponseWithALateBodyIsNotCutOff() throws Exception {
        assertPassedOnWhole(Pace.LATE_BODY);
    }
}
