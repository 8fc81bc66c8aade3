package appleridge.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.http1.BufferLimits;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.zip.CRC32;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Requests that are too large to be buffered whole: their bodies are streamed, they are sent at
 * most once, and a rejection is returned only if they provably did not run.
 */
@Timeout(120)
class StreamedRequestsTest {
    private static final int MAX_BUFFERED_BYTES = 64 * 1024;
    private static final int MAX_BODY_BYTES = 32 << 20;

    /** What the deploy file gives; an eighth of the longest body may be read ahead with it. */
    private static final int DEPLOYED_HEAP_BYTES = 48 << 20;

    /** Handles a connection on which a request head has arrived. */
    private interface Script {
        void serve(Socket socket, String head) throws IOException, InterruptedException;
    }

    /** An upstream whose script reads the bodies. Records heads and ends of connections. */
    private static final class BodyReadingUpstream implements AutoCloseable {
        final BlockingQueue<String> heads = new LinkedBlockingQueue<>();
        final BlockingQueue<Boolean> ended = new LinkedBlockingQueue<>();
        private final ServerSocket listener =
                new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

        BodyReadingUpstream(Script script) throws IOException {
            Thread acceptor =
                    new Thread(
                            () -> {
                                try {
                                    while (true) {
                                        Socket socket = listener.accept();
                                        Thread handler = new Thread(() -> serve(socket, script));
                                        handler.setDaemon(true);
                                        handler.start();
                                    }
                                } catch (IOException e) {
                                    // The upstream was closed.
                                }
                            });
            acceptor.setDaemon(true);
            acceptor.start();
        }

        private void serve(Socket socket, Script script) {
            try (socket) {
                while (true) {
                    StringBuilder head = new StringBuilder();
                    while (head.indexOf("\r\n\r\n") < 0) {
                        int next = socket.getInputStream().read();
                        if (next < 0) {
                            throw new IOException("end");
                        }
                        head.append((char) next);
                    }
                    heads.add(head.toString());
                    script.serve(socket, head.toString().toLowerCase());
                }
            } catch (IOException | InterruptedException e) {
                ended.add(true);
            }
        }

        String target() {
            return LoopbackSidecar.target("u0", "127.0.0.1:" + listener.getLocalPort(), "Ready");
        }

        void awaitEnd() throws InterruptedException {
            assertTrue(
                    ended.poll(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS) != null,
                    "the connection did not end");
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new IOException("end");
            }
            line.append((char) next);
        }
        return line.toString().strip();
    }

    /** Reads the body and responds with its length and checksum. */
    private static void respondWithChecksum(Socket socket, String head) throws IOException {
        InputStream in = socket.getInputStream();
        CRC32 crc = new CRC32();
        long length = 0;
        if (head.contains("transfer-encoding: chunked")) {
            for (int size = Integer.parseInt(line(in), 16);
                    size > 0;
                    size = Integer.parseInt(line(in), 16)) {
                crc.update(in.readNBytes(size));
                length += size;
                line(in);
            }
            line(in);
        } else {
            int at = head.indexOf("content-length: ") + 16;
            length = Long.parseLong(head.substring(at, head.indexOf('\r', at)));
            crc.update(in.readNBytes((int) length));
        }
        StubUpstream.write(socket, StubUpstream.response("200 OK", length + " " + crc.getValue()));
    }

    private static byte[] body(int length) {
        byte[] body = new byte[length];
        new Random(length).nextBytes(body);
        return body;
    }

    private static String expected(byte[] body) {
        CRC32 crc = new CRC32();
        crc.update(body);
        return body.length + " " + crc.getValue();
    }

    private static String head(String requestClass, String deadline, String framing) {
        return TestClient.request(requestClass, deadline)
                .replace("Content-Length: 4\r\n\r\nbody", framing + "\r\n\r\n");
    }

    private static LoopbackSidecar start(BodyReadingUpstream reader) throws Exception {
        return new LoopbackSidecar(LoopbackSidecar.SettingValues.DEFAULT, reader.target());
    }

    @Test
    void longRequestsArriveUnchanged() throws Exception {
        try (BodyReadingUpstream reader =
                        new BodyReadingUpstream(StreamedRequestsTest::respondWithChecksum);
                LoopbackSidecar sidecar = start(reader);
                TestClient client = new TestClient(sidecar.runner.address())) {
            OutputStream out = client.socket.getOutputStream();
            for (int length :
                    new int[] {MAX_BUFFERED_BYTES, MAX_BUFFERED_BYTES + 1, 200_000, 5_000_000}) {
                byte[] body = body(length);
                client.send(head("write", "3.0", "Content-Length: " + length));
                out.write(body);
                assertEquals(expected(body), TestClient.body(client.read()));
            }
            assertEquals(4, reader.heads.size(), "each request was sent once");
        }
    }

    @Test
    void pipelinedLongRequestsAreAnsweredInOrder() throws Exception {
        byte[] body = body(100_000);
        try (BodyReadingUpstream reader =
                        new BodyReadingUpstream(StreamedRequestsTest::respondWithChecksum);
                LoopbackSidecar sidecar = start(reader);
                TestClient client = new TestClient(sidecar.runner.address())) {
            for (int i = 0; i < 3; i++) {
                client.send(head("pay", "3.0", "Content-Length: " + body.length));
                client.socket.getOutputStream().write(body);
            }
            for (int i = 0; i < 3; i++) {
                assertEquals(expected(body), TestClient.body(client.read()));
            }
        }
    }

    /**
     * Guards against a deadline that starts to count while the client is still sending the body.
     */
    @Test
    void bodyMayArriveMoreSlowlyThanItsDeadline() throws Exception {
        byte[] body = body(400_000);
        try (BodyReadingUpstream reader =
                        new BodyReadingUpstream(StreamedRequestsTest::respondWithChecksum);
                LoopbackSidecar sidecar = start(reader);
                TestClient client = new TestClient(sidecar.runner.address())) {
            client.send(head("pay", "0.4", "Content-Length: " + body.length));
            for (int at = 0; at < body.length; at += 20_000) {
                client.socket.getOutputStream().write(body, at, 20_000);
                Thread.sleep(60);
            }
            assertEquals(expected(body), TestClient.body(client.read()));
        }
    }

    /**
     * Guards against a streamed request without a deadline. Its deadline counts from the end of the
     * body.
     */
    @Test
    void silentUpstreamIsCancelledAtTheDeadline() throws Exception {
        byte[] body = body(200_000);
        try (BodyReadingUpstream reader =
                        new BodyReadingUpstream(
                                (socket, head) -> {
                                    socket.getInputStream().readNBytes(body.length);
                                    Thread.sleep(TimeUnit.SECONDS.toMillis(5));
                                });
                LoopbackSidecar sidecar = start(reader);
                TestClient client = new TestClient(sidecar.runner.address())) {
            client.send(head("pay", "0.4", "Content-Length: " + body.length));
            client.socket.getOutputStream().write(body);
            long sent = System.nanoTime();
            assertEquals(504, TestClient.status(client.read()));
            assertTrue(System.nanoTime() - sent < TimeUnit.SECONDS.toNanos(2));
            assertEquals(1, reader.heads.size());
        }
    }

    /**
     * Guards against a request that runs twice: part of it was already sent. It is rejected rather
     * than failed because the upstream never received the last byte, so it cannot have run.
     */
    @Test
    void resetBeforeTheLastByteIsRejectedAndNotRetried() throws Exception {
        byte[] body = body(3_000_000);
        try (BodyReadingUpstream reader =
                        new BodyReadingUpstream(
                                (socket, head) -> {
                                    socket.getInputStream().readNBytes(100_000);
                                    throw new IOException("break");
                                });
                LoopbackSidecar sidecar = start(reader);
                TestClient client = new TestClient(sidecar.runner.address())) {
            client.send(head("pay", "3.0", "Content-Length: " + body.length));
            client.socket.getOutputStream().write(body, 0, 1_000_000);
            assertEquals(503, TestClient.status(client.read()));
            assertEquals(1, reader.heads.size());
        }
    }

    /** Guards against unbounded buffering for an upstream that doesn't read. */
    @Test
    void upstreamThatDoesNotReadExertsBackpressureAndIsCancelled() throws Exception {
        try (BodyReadingUpstream reader =
                        new BodyReadingUpstream(
                                (socket, head) -> Thread.sleep(TimeUnit.SECONDS.toMillis(15)));
                LoopbackSidecar sidecar =
                        new LoopbackSidecar(
                                LoopbackSidecar.SettingValues.DEFAULT.withBufferLimits(
                                        BufferLimits.ofHeap(DEPLOYED_HEAP_BYTES)),
                                reader.target());
                TestClient client = new TestClient(sidecar.runner.address())) {
            client.send(head("pay", "3.0", "Content-Length: " + MAX_BODY_BYTES));
            Thread writer =
                    new Thread(
                            () -> {
                                try {
                                    client.socket.getOutputStream().write(body(MAX_BODY_BYTES));
                                } catch (IOException e) {
                                    // The connection is closed, as expected.
                                }
                            });
            writer.setDaemon(true);
            writer.start();
            long sent = System.nanoTime();
            assertEquals(503, TestClient.status(client.read()));
            long took = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sent);
            assertTrue(took > 8_000 && took < 14_000, took + " ms");
        }
    }

    /** Guards against upstream connections held by clients that disconnect or stall. */
    @Test
    void clientThatStopsOrDisconnectsHoldsNoUpstream() throws Exception {
        try (BodyReadingUpstream reader =
                        new BodyReadingUpstream(StreamedRequestsTest::respondWithChecksum);
                LoopbackSidecar sidecar = start(reader)) {
            try (TestClient disconnecting = new TestClient(sidecar.runner.address())) {
                disconnecting.send(head("pay", "3.0", "Content-Length: 1000000"));
                disconnecting.socket.getOutputStream().write(body(300_000));
                assertTrue(
                        reader.heads.poll(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS)
                                != null);
            }
            reader.awaitEnd();
            try (TestClient stalling = new TestClient(sidecar.runner.address())) {
                stalling.send(head("pay", "3.0", "Content-Length: 1000000"));
                stalling.socket.getOutputStream().write(body(300_000));
                assertEquals(408, TestClient.status(stalling.read()));
                reader.awaitEnd();
            }
        }
    }

    /** Guards against the rest of a body that is parsed as the next request. */
    @Test
    void responseBeforeTheEndOfTheBodyIsTheLastOnItsConnection() throws Exception {
        try (BodyReadingUpstream reader =
                        new BodyReadingUpstream(
                                (socket, head) -> {
                                    socket.getInputStream().readNBytes(MAX_BUFFERED_BYTES);
                                    StubUpstream.write(
                                            socket,
                                            StubUpstream.response("503 Full", "", "X-Not-Run: 1"));
                                    Thread.sleep(500);
                                });
                LoopbackSidecar sidecar = start(reader);
                TestClient client = new TestClient(sidecar.runner.address())) {
            client.send(head("pay", "3.0", "Content-Length: 500000"));
            client.socket.getOutputStream().write(body(100_000));
            String response = client.read();
            assertEquals(503, TestClient.status(response));
            assertTrue(response.toLowerCase().contains("connection: close"), response);
        }
    }

    /**
     * Guards against a connection that stays open forever when the response has started and the
     * body stalls.
     */
    @Test
    void bodyThatStallsAfterTheResponseStartedEndsTheConnection() throws Exception {
        try (BodyReadingUpstream reader =
                        new BodyReadingUpstream(
                                (socket, head) -> {
                                    socket.getInputStream().readNBytes(MAX_BUFFERED_BYTES);
                                    StubUpstream.write(
                                            socket,
                                            "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n");
                                    for (int i = 0; i < 60; i++) {
                                        socket.getOutputStream().write(body(10_000));
                                        Thread.sleep(200);
                                    }
                                });
                LoopbackSidecar sidecar = start(reader);
                TestClient client = new TestClient(sidecar.runner.address())) {
            client.send(head("pay", "3.0", "Content-Length: 500000"));
            client.socket.getOutputStream().write(body(100_000));
            long read = 0;
            try {
                read = client.socket.getInputStream().readAllBytes().length;
            } catch (SocketException e) {
                // A reset also shows that the response is truncated.
            }
            assertTrue(read < 1_000_000, "the response is visibly truncated");
            reader.awaitEnd();
        }
    }

    @Test
    void oversizedOrMalformedLengthIsRejectedAtOnce() throws Exception {
        try (BodyReadingUpstream reader =
                        new BodyReadingUpstream(StreamedRequestsTest::respondWithChecksum);
                LoopbackSidecar sidecar = start(reader)) {
            assertEquals(
                    413,
                    TestClient.status(
                            sidecar.exchange(head("pay", "3.0", "Content-Length: 60000000"))));
            try (TestClient unknownClass = new TestClient(sidecar.runner.address())) {
                unknownClass.send(
                        head("pay", "3.0", "Content-Length: 300000")
                                .replace("Class: pay", "Class: x"));
                unknownClass.socket.getOutputStream().write(body(100_000));
                assertEquals(400, TestClient.status(unknownClass.read()));
            }
            try (TestClient chunked = new TestClient(sidecar.runner.address())) {
                chunked.send(head("pay", "3.0", "Transfer-Encoding: chunked"));
                chunked.send("11170\r\n");
                chunked.socket.getOutputStream().write(body(70_000));
                assertEquals(
                        413,
                        TestClient.status(chunked.read()),
                        "the length of a chunked body is unknown");
            }
            assertEquals(0, reader.heads.size());
        }
    }
}
