package appleridge.daemon;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * A long request as its client sends it: a part at once, then pieces with pauses.
 *
 * @param firstBytes how much of the body is sent at once
 * @param pieceBytes how much of the rest is sent after each pause
 * @param pauseMillis how long each pause is
 * @param bodyBytes the length of the body
 * @param timeoutMillis the client's timeout, which counts from its last byte
 * @param sendBufferBytes the size of the client's send buffer; 0 for the system's default
 */
record PacedUpload(
        int firstBytes,
        int pieceBytes,
        long pauseMillis,
        int bodyBytes,
        int timeoutMillis,
        int sendBufferBytes) {

    /** A request that is sent as fast as the connection takes it. */
    static PacedUpload atFullSpeed(int bodyBytes, int timeoutMillis, int sendBufferBytes) {
        return new PacedUpload(bodyBytes, 0, 0, bodyBytes, timeoutMillis, sendBufferBytes);
    }

    /**
     * What a client saw of its request.
     *
     * @param status the status of the response; 0 if there was none
     * @param millis from the last byte to the response; negative if the response came before it
     */
    record Result(PacedUpload upload, int status, long millis) {
        /** Whether the response came later than the client waits for it. */
        boolean isLate(int graceMillis) {
            return status == 0 || millis > upload.timeoutMillis + graceMillis;
        }
    }

    /** Sends the request on a connection of its own and waits for its response. */
    Result send(InetSocketAddress address) {
        try (TestClient client = new TestClient(address)) {
            if (sendBufferBytes > 0) {
                client.socket.setSendBufferSize(sendBufferBytes);
            }
            CompletableFuture<Long> lastByteAt = new CompletableFuture<>();
            Thread writer = new Thread(() -> write(client, lastByteAt), "paced-upload");
            writer.setDaemon(true);
            writer.start();
            String response = client.read();
            long respondedAt = System.nanoTime();
            long sentAt = lastByteAt.getNow(Long.MAX_VALUE);
            long millis =
                    sentAt == Long.MAX_VALUE
                            ? -1
                            : TimeUnit.NANOSECONDS.toMillis(respondedAt - sentAt);
            return new Result(this, response == null ? 0 : TestClient.status(response), millis);
        } catch (IOException e) {
            return new Result(this, 0, 0);
        }
    }

    /**
     * The class of requests with this timeout. The policy takes requests of one class with other
     * timeouts for retries of their clients, and rejects some of them.
     */
    private String requestClass() {
        return timeoutMillis <= 400 ? "pay" : timeoutMillis <= 1000 ? "hold" : "write";
    }

    private void write(TestClient client, CompletableFuture<Long> lastByteAt) {
        try {
            OutputStream out = client.socket.getOutputStream();
            out.write(head().getBytes(StandardCharsets.US_ASCII));
            byte[] body = new byte[bodyBytes];
            out.write(body, 0, firstBytes);
            for (int at = firstBytes; at < bodyBytes; at += pieceBytes) {
                Thread.sleep(pauseMillis);
                out.write(body, at, Math.min(pieceBytes, bodyBytes - at));
            }
            lastByteAt.complete(System.nanoTime());
        } catch (IOException e) {
            // The sidecar responded before it had read all.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private String head() {
        return TestClient.request(requestClass(), String.valueOf(timeoutMillis / 1000.0))
                .replace(
                        "Content-Length: 4\r\n\r\nbody",
                        "Content-Length: " + bodyBytes + "\r\n\r\n");
    }
}
