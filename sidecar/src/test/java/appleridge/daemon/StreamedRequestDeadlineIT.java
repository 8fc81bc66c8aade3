package appleridge.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Runs the packaged jar with long requests of several sizes, paces and buffer sizes, where either
 * the client or the upstream is slow. A client's time counts from its last byte.
 */
@Timeout(120)
class StreamedRequestDeadlineIT {
    /** A final response up to this long after the client's time earns nothing, but is not lost. */
    private static final int LATE_MILLIS = 500;

    private static final int[] BODY_BYTES = {200_000, 600_000, 1_000_000, 3_900_000};
    private static final int[] TIMEOUT_MILLIS = {400, 1000, 1500};
    private static final int[] SEND_BUFFER_BYTES = {0, 48 << 10};

    @TempDir private Path folder;
    private final ProcessFixture fixture = new ProcessFixture();
    private SidecarProcess sidecar;

    private void start(int bytesPerSecond, int receiveBufferBytes) throws IOException {
        PacedUpstream upstream =
                fixture.open(new PacedUpstream(bytesPerSecond, receiveBufferBytes));
        fixture.addTarget("u0", upstream.address());
        sidecar = fixture.startSidecar(folder);
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    private List<PacedUpload.Result> sendAll(List<PacedUpload> uploads) {
        List<CompletableFuture<PacedUpload.Result>> results =
                uploads.stream()
                        .map(
                                upload ->
                                        CompletableFuture.supplyAsync(
                                                () -> upload.send(sidecar.address()),
                                                task -> new Thread(task).start()))
                        .toList();
        return results.stream().map(CompletableFuture::join).toList();
    }

    /**
     * Guards against a client's time that begins anew whenever its upstream lets reading go on: an
     * empty socket does not show that the client has not sent its last byte.
     */
    @ParameterizedTest
    @CsvSource({"90000, 16384", "150000, 0", "200000, 0", "300000, 262144", "450000, 0"})
    void requestToASlowUpstreamIsAnsweredInTime(int bytesPerSecond, int receiveBufferBytes)
            throws Exception {
        start(bytesPerSecond, receiveBufferBytes);
        for (int timeoutMillis : TIMEOUT_MILLIS) {
            List<PacedUpload> uploads = new ArrayList<>();
            for (int bodyBytes : BODY_BYTES) {
                for (int sendBufferBytes : SEND_BUFFER_BYTES) {
                    uploads.add(PacedUpload.atFullSpeed(bodyBytes, timeoutMillis, sendBufferBytes));
                }
            }
            List<PacedUpload.Result> late =
                    sendAll(uploads).stream().filter(each -> each.isLate(LATE_MILLIS)).toList();
            assertEquals(List.of(), late, sidecar.log());
        }
    }

    /**
     * Guards against a client that is cut off because its own slowness is taken for its upstream's:
     * slow from the start, in lumps, in the middle, after a first part, or stopped for less than
     * its time. The upstream reads faster than the slow part arrives.
     */
    @ParameterizedTest
    @CsvSource({"100000000, 0", "600000, 0", "600000, 16384"})
    void requestOfASlowClientIsServed(int bytesPerSecond, int receiveBufferBytes) throws Exception {
        start(bytesPerSecond, receiveBufferBytes);
        List<PacedUpload> uploads =
                List.of(
                        new PacedUpload(0, 1000, 14, 250_000, 400, 0),
                        new PacedUpload(0, 64_000, 900, 300_000, 400, 0),
                        new PacedUpload(0, 64_000, 300, 900_000, 400, 48 << 10),
                        new PacedUpload(200_000, 2000, 28, 450_000, 1000, 0),
                        new PacedUpload(900_000, 1000, 14, 1_100_000, 1500, 0),
                        new PacedUpload(300_000, 50_000, 350, 350_000, 400, 0));
        List<PacedUpload.Result> notServed =
                sendAll(uploads).stream().filter(each -> each.status() != 200).toList();
        assertEquals(List.of(), notServed, sidecar.log());
        assertTrue(sidecar.isAlive());
    }
}
