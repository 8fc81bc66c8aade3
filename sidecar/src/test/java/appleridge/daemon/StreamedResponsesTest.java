package appleridge.daemon;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Responses that are too large to be buffered whole: they are streamed, and a truncated one is
 * recognizable as such by the client.
 */
@Timeout(120)
class StreamedResponsesTest {
    private static final int MAX_BUFFERED_BYTES = 64 * 1024;
    private static final int LONG_BYTES = 32 << 20;
    private static final String REQUEST_CLASS = "read";

    private static byte[] body(int length) {
        byte[] body = new byte[length];
        new Random(length).nextBytes(body);
        return body;
    }

    private static void head(OutputStream out, String... lines) throws IOException {
        String head = "HTTP/1.1 200 OK\r\n" + String.join("\r\n", lines) + "\r\n\r\n";
        out.write(head.getBytes(StandardCharsets.US_ASCII));
    }

    private static void chunk(OutputStream out, byte[] body, int from, int length)
            throws IOException {
        out.write((Integer.toHexString(length) + ";ext=1\r\n").getBytes(StandardCharsets.US_ASCII));
        out.write(body, from, length);
        out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
    }

    /** Sends a body with a length, or in chunks with extensions and a trailer. */
    private static StubUpstream.Script respondWith(byte[] body, boolean chunked) {
        return (socket, request) -> {
            OutputStream out = socket.getOutputStream();
            if (!chunked) {
                head(out, "Content-Length: " + body.length);
                out.write(body);
                return true;
            }
            head(out, "Transfer-Encoding: chunked");
            for (int at = 0; at < body.length; at += 50_000) {
                chunk(out, body, at, Math.min(50_000, body.length - at));
            }
            out.write("0\r\nX-Trailer: 1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            return true;
        };
    }

    @Test
    void longResponsesArriveUnchangedAndTheConnectionIsReused() throws Exception {
        for (boolean chunked : new boolean[] {false, true}) {
            for (int length :
                    new int[] {
                        MAX_BUFFERED_BYTES,
                        MAX_BUFFERED_BYTES + 1,
                        3 * MAX_BUFFERED_BYTES,
                        5_000_000
                    }) {
                byte[] body = body(length);
                try (StubUpstream upstream = new StubUpstream(respondWith(body, chunked));
                        LoopbackSidecar sidecar = new LoopbackSidecar(upstream);
                        TestClient client = new TestClient(sidecar.runner.address())) {
                    for (int i = 0; i < 3; i++) {
                        client.send(TestClient.request(REQUEST_CLASS, "3.0"));
                        ReceivedResponse response =
                                ReceivedResponse.read(client.socket.getInputStream());
                        assertTrue(
                                response.complete() && response.head().startsWith("http/1.1 200"),
                                response.head());
                        assertArrayEquals(body, response.body());
                    }
                }
            }
        }
    }

    @Test
    void pipelinedResponsesComeInOrder() throws Exception {
        byte[] body = body(1_000_000);
        try (StubUpstream upstream = new StubUpstream(respondWith(body, true));
                LoopbackSidecar sidecar = new LoopbackSidecar(upstream);
                TestClient client = new TestClient(sidecar.runner.address())) {
            client.send(
                    TestClient.request(REQUEST_CLASS, "3.0")
                            + TestClient.request(REQUEST_CLASS, "3.0")
                            + "GET /health/ready HTTP/1.1\r\n\r\n");
            for (int i = 0; i < 2; i++) {
                assertArrayEquals(
                        body, ReceivedResponse.read(client.socket.getInputStream()).body());
            }
            assertEquals(
                    "ready\n",
                    new String(
                            ReceivedResponse.read(client.socket.getInputStream()).body(),
                            StandardCharsets.US_ASCII));
        }
    }

    /**
     * Guards against a truncated response that looks complete: one byte short, or without the last
     * chunk.
     */
    @Test
    void truncatedResponseIsDistinguishableFromAWholeOne() throws Exception {
        byte[] body = body(300_000);
        for (boolean chunked : new boolean[] {false, true}) {
            StubUpstream.Script truncated =
                    (socket, request) -> {
                        OutputStream out = socket.getOutputStream();
                        if (chunked) {
                            head(out, "Transfer-Encoding: chunked");
                            chunk(out, body, 0, body.length);
                        } else {
                            head(out, "Content-Length: " + (body.length + 1));
                            out.write(body);
                        }
                        out.flush();
                        Thread.sleep(100);
                        return false;
                    };
            try (StubUpstream upstream = new StubUpstream(truncated);
                    LoopbackSidecar sidecar = new LoopbackSidecar(upstream);
                    TestClient client = new TestClient(sidecar.runner.address())) {
                client.send(TestClient.request(REQUEST_CLASS, "3.0"));
                ReceivedResponse response = ReceivedResponse.read(client.socket.getInputStream());
                assertFalse(response.complete());
                assertTrue(response.body().length <= body.length);
                assertEquals(
                        1, upstream.requests.size(), "no retry after the response has started");
                assertEquals(
                        200,
                        TestClient.status(sidecar.exchange("GET /health/ready HTTP/1.1\r\n\r\n")));
            }
        }
    }

    /** Guards against a response that stays open forever because its upstream stops sending. */
    @Test
    void stalledResponseIsCancelledInTime() throws Exception {
        CountDownLatch never = new CountDownLatch(1);
        byte[] body = body(MAX_BUFFERED_BYTES + 1);
        try (StubUpstream upstream =
                        new StubUpstream(
                                (socket, request) -> {
                                    head(socket.getOutputStream(), "Content-Length: " + LONG_BYTES);
                                    socket.getOutputStream().write(body);
                                    never.await(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS);
                                    return false;
                                });
                LoopbackSidecar sidecar = new LoopbackSidecar(upstream);
                TestClient client = new TestClient(sidecar.runner.address())) {
            long sent = System.nanoTime();
            client.send(TestClient.request(REQUEST_CLASS, "3.0"));
            assertFalse(ReceivedResponse.read(client.socket.getInputStream()).complete());
            long took = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sent);
            assertTrue(took > 4000 && took < 8000, took + " ms");
            never.countDown();
        }
    }

    /**
     * Guards against unbounded buffering: the sidecar stops reading from the upstream while the
     * client doesn't read.
     */
    @Test
    void clientThatDoesNotReadExertsBackpressureAndIsDisconnectedInTime() throws Exception {
        AtomicLong written = new AtomicLong();
        CountDownLatch ended = new CountDownLatch(1);
        byte[] chunk = body(16 << 10);
        StubUpstream.Script endless =
                (socket, request) -> {
                    head(socket.getOutputStream(), "Content-Length: " + LONG_BYTES);
                    try {
                        for (int sent = 0; sent < LONG_BYTES; sent += chunk.length) {
                            socket.getOutputStream().write(chunk);
                            written.addAndGet(chunk.length);
                        }
                    } finally {
                        ended.countDown();
                    }
                    return true;
                };
        try (StubUpstream upstream = new StubUpstream(endless);
                LoopbackSidecar sidecar = new LoopbackSidecar(upstream);
                TestClient client = new TestClient(sidecar.runner.address())) {
            client.send(TestClient.request(REQUEST_CLASS, "3.0"));
            assertTrue(
                    ended.await(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS),
                    "the upstream connection was not closed");
            assertTrue(
                    written.get() < 16 << 20,
                    written.get() + " bytes were read for a client that reads none");
            assertEquals(
                    200, TestClient.status(sidecar.exchange("GET /health/ready HTTP/1.1\r\n\r\n")));
        }
    }

    /** Guards against the response of a slow client that is cut off at the deadline. */
    @Test
    void slowReaderGetsTheWholeResponse() throws Exception {
        byte[] body = body(3_000_000);
        try (StubUpstream upstream = new StubUpstream(respondWith(body, false));
                LoopbackSidecar sidecar = new LoopbackSidecar(upstream);
                Socket client = new Socket()) {
            client.setReceiveBufferSize(16 << 10);
            client.connect(sidecar.runner.address());
            StubUpstream.write(client, TestClient.request(REQUEST_CLASS, "0.3"));
            InputStream in = client.getInputStream();
            InputStream slow =
                    new InputStream() {
                        private int count;

                        @Override
                        public int read() throws IOException {
                            if (++count % 20_000 == 0) {
                                try {
                                    Thread.sleep(10);
                                } catch (InterruptedException e) {
                                    Thread.currentThread().interrupt();
                                }
                            }
                            return in.read();
                        }
                    };
            ReceivedResponse response = ReceivedResponse.read(slow);
            assertTrue(response.complete());
            assertArrayEquals(body, response.body());
        }
    }

    /** Guards against an invalid response that is forwarded although a retry is still possible. */
    @Test
    void responseWithAnExcessiveContentLengthIsNotStreamed() throws Exception {
        CountDownLatch first = new CountDownLatch(1);
        StubUpstream.Script invalid =
                (socket, request) -> {
                    head(socket.getOutputStream(), "Content-Length: 3000000000");
                    try {
                        while (true) {
                            socket.getOutputStream().write(body(1000));
                        }
                    } catch (IOException e) {
                        return false;
                    }
                };
        try (StubUpstream upstream =
                        new StubUpstream(
                                StubUpstream.firstThen(
                                        first,
                                        invalid,
                                        StubUpstream.respondWith(
                                                StubUpstream.response("200 OK", "fine"))));
                StubUpstream next =
                        new StubUpstream(
                                StubUpstream.respondWith(StubUpstream.response("200 OK", "fine")));
                LoopbackSidecar sidecar = new LoopbackSidecar(upstream, next)) {
            for (int i = 0; i < 10; i++) {
                String response = sidecar.exchange(TestClient.request(REQUEST_CLASS, "3.0"));
                assertEquals("fine", TestClient.body(response));
            }
        }
    }

    /**
     * Guards against an HTTP/1.0 client that receives chunks, or that takes a truncated response
     * for a complete one.
     */
    @Test
    void http10ClientGetsTheBodyDelimitedByClose() throws Exception {
        byte[] body = body(500_000);
        try (StubUpstream upstream = new StubUpstream(respondWith(body, true));
                LoopbackSidecar sidecar = new LoopbackSidecar(upstream);
                TestClient client = new TestClient(sidecar.runner.address())) {
            client.send(TestClient.request(REQUEST_CLASS, "3.0").replace("HTTP/1.1", "HTTP/1.0"));
            ReceivedResponse response = ReceivedResponse.read(client.socket.getInputStream());
            assertFalse(response.head().contains("chunked"), response.head());
            assertArrayEquals(body, response.body());
        }
    }
}
