package appleridge.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import appleridge.daemon.LongResponse.Framing;
import appleridge.daemon.LongResponse.Pace;
import java.io.IOException;
import java.io.PushbackInputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

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

    /** The ids of the requests that an upstream has begun to respond to. */
    private final Set<String> begun = ConcurrentHashMap.newKeySet();

    private SidecarProcess sidecar;

    @BeforeEach
    void start() throws IOException {
        for (int i = 0; i < UPSTREAMS; i++) {
            StubUpstream upstream = fixture.open(new StubUpstream(this::serve));
            fixture.addTarget("u" + i, upstream.address());
        }
        sidecar = fixture.startSidecar(folder);
    }

    private boolean serve(Socket socket, String request) throws IOException, InterruptedException {
        begun.add(StubUpstream.header(request, "x-request-id") + " ");
        return LongResponse.serveAsRequested(socket, request);
    }

    @AfterEach
    void close() throws Exception {
        clients.shutdownNow();
        fixture.close();
    }

    /** Requests a response; returns what is wrong with it, or an empty text. */
    private String exchange(LongResponse response, String requestClass, int timeoutMillis) {
        String request =
                TestClient.request(
                        requestClass,
                        String.valueOf(timeoutMillis / 1000.0),
                        response.requestHeader());
        String id = StubUpstream.header(request, "x-request-id");
        String seen = id + " " + response + " class " + requestClass;
        try (TestClient client = new TestClient(sidecar.address())) {
            client.socket.setSoTimeout(timeoutMillis + LATE_MILLIS);
            client.send(request);
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

    /**
     * Guards against a long response that its upstream has begun in time and that is replaced by a
     * failure after a stall, because the deadline is looked at before the held response.
     */
    @ParameterizedTest
    @CsvSource({"STEADY, 250, 300", "LATE_BODY, 100, 400", "LUMPS, 300, 300", "STEADY, 340, 80"})
    void heldResponseIsPassedOnAfterAStall(Pace pace, long stallAfterMillis, long stallMillis)
            throws Exception {
        List<CompletableFuture<String>> exchanges = new ArrayList<>();
        for (Framing framing : Framing.values()) {
            for (int i = 0; i < LENGTHS.length; i++) {
                LongResponse response =
                        new LongResponse(framing, pace, LENGTHS[i], PAUSES_MILLIS[i]);
                exchanges.add(
                        CompletableFuture.supplyAsync(
                                () -> exchange(response, "pay", 400), clients));
            }
        }
        Thread.sleep(stallAfterMillis);
        sidecar.pause(stallMillis);
        List<String> failures = new ArrayList<>();
        exchanges.forEach(each -> failures.add(each.join()));
        failures.removeIf(failure -> begun.stream().noneMatch(failure::startsWith));
        assertEquals(List.of(), failures, sidecar.log());
        assertFalse(begun.isEmpty());
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
