package appleridge.daemon;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
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
 * Answers beyond what is held whole: passed on in pieces, and broken so that the client can tell.
 */
@Timeout(120)
class StreamedResponsesTest {
    private static final int HELD = 64 * 1024;
    private static final int LONG = 32 << 20;
    private static final String ASK = "read";

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

    /** With a length, or in chunks with extensions and a trailer. */
    private static StubUpstream.Script whole(byte[] body, boolean chunked) {
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

    /** An answer as a client reads it. */
    private record Read(String head, byte[] body, boolean complete) {}

    private static Read read(InputStream in) throws IOException {
        String head = line(in);
        StringBuilder lines = new StringBuilder(head);
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            lines.append('\n').append(line);
        }
        String text = lines.toString().toLowerCase();
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (text.contains("transfer-encoding: chunked")) {
            while (true) {
                String size = line(in);
                if (size == null) {
                    return new Read(text, body.toByteArray(), false);
                }
                int length = Integer.parseInt(size, 16);
                byte[] piece = in.readNBytes(length);
                body.write(piece);
                String end = line(in);
                if (end == null || piece.length < length) {
                    return new Read(text, body.toByteArray(), false);
                }
                if (length == 0) {
                    return new Read(text, body.toByteArray(), true);
                }
            }
        }
        int at = text.indexOf("content-length: ");
        if (at < 0) {
            return new Read(text, in.readAllBytes(), true);
        }
        int length = Integer.parseInt(text.substring(at + 16).split("\n")[0]);
        byte[] all = in.readNBytes(length);
        return new Read(text, all, all.length == length);
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\n') {
                return line.toString();
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return null;
    }

    @Test
    void longResponsesArriveUnchangedAndTheConnectionIsReused() throws Exception {
        for (boolean chunked : new boolean[] {false, true}) {
            for (int length : new int[] {HELD, HELD + 1, 3 * HELD, 5_000_000}) {
                byte[] body = body(length);
                try (StubUpstream upstream = new StubUpstream(whole(body, chunked));
                        LoopbackSidecar node = new LoopbackSidecar(upstream);
                        TestClient client = new TestClient(node.runner.address())) {
                    for (int i = 0; i < 3; i++) {
                        client.send(TestClient.request(ASK, "3.0"));
                        Read answer = read(client.socket.getInputStream());
                        assertTrue(
                                answer.complete && answer.head.startsWith("http/1.1 200"),
                                answer.head);
                        assertArrayEquals(body, answer.body);
                    }
                }
            }
        }
    }

    @Test
    void pipelinedResponsesComeInOrder() throws Exception {
        byte[] body = body(1_000_000);
        try (StubUpstream upstream = new StubUpstream(whole(body, true));
                LoopbackSidecar node = new LoopbackSidecar(upstream);
                TestClient client = new TestClient(node.runner.address())) {
            client.send(
                    TestClient.request(ASK, "3.0")
                            + TestClient.request(ASK, "3.0")
                            + "GET /health/ready HTTP/1.1\r\n\r\n");
            for (int i = 0; i < 2; i++) {
                assertArrayEquals(body, read(client.socket.getInputStream()).body);
            }
            assertEquals(
                    "ready\n",
                    new String(
                            read(client.socket.getInputStream()).body, StandardCharsets.US_ASCII));
        }
    }

    /**
     * Guards against an answer that looks whole and isn't: cut one byte short, or in its chunks.
     */
    @Test
    void truncatedResponseIsDistinguishableFromAWholeOne() throws Exception {
        byte[] body = body(300_000);
        for (boolean chunked : new boolean[] {false, true}) {
            StubUpstream.Script broken =
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
            try (StubUpstream upstream = new StubUpstream(broken);
                    LoopbackSidecar node = new LoopbackSidecar(upstream);
                    TestClient client = new TestClient(node.runner.address())) {
                client.send(TestClient.request(ASK, "3.0"));
                Read answer = read(client.socket.getInputStream());
                assertFalse(answer.complete);
                assertTrue(answer.body.length <= body.length);
                assertEquals(
                        1,
                        upstream.requests.size(),
                        "nothing is tried again behind a begun answer");
                assertEquals(
                        200,
                        TestClient.status(node.exchange("GET /health/ready HTTP/1.1\r\n\r\n")));
            }
        }
    }

    /**
     * Guards against a begun answer that goes on for ever because its server says nothing any more.
     */
    @Test
    void stalledResponseIsCancelledInTime() throws Exception {
        CountDownLatch never = new CountDownLatch(1);
        byte[] body = body(HELD + 1);
        try (StubUpstream upstream =
                        new StubUpstream(
                                (socket, request) -> {
                                    head(socket.getOutputStream(), "Content-Length: " + LONG);
                                    socket.getOutputStream().write(body);
                                    never.await(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS);
                                    return false;
                                });
                LoopbackSidecar node = new LoopbackSidecar(upstream);
                TestClient client = new TestClient(node.runner.address())) {
            long asked = System.nanoTime();
            client.send(TestClient.request(ASK, "3.0"));
            assertFalse(read(client.socket.getInputStream()).complete);
            long took = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - asked);
            assertTrue(took > 4000 && took < 8000, took + " ms");
            never.countDown();
        }
    }

    /** Guards against answers that pile up here: a server waits while its client doesn't read. */
    @Test
    void clientThatDoesNotReadExertsBackpressureAndIsDisconnectedInTime() throws Exception {
        AtomicLong written = new AtomicLong();
        CountDownLatch ended = new CountDownLatch(1);
        byte[] piece = body(16 << 10);
        StubUpstream.Script endless =
                (socket, request) -> {
                    head(socket.getOutputStream(), "Content-Length: " + LONG);
                    try {
                        for (int sent = 0; sent < LONG; sent += piece.length) {
                            socket.getOutputStream().write(piece);
                            written.addAndGet(piece.length);
                        }
                    } finally {
                        ended.countDown();
                    }
                    return true;
                };
        try (StubUpstream upstream = new StubUpstream(endless);
                LoopbackSidecar node = new LoopbackSidecar(upstream);
                TestClient client = new TestClient(node.runner.address())) {
            client.send(TestClient.request(ASK, "3.0"));
            assertTrue(ended.await(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS), "given up");
            assertTrue(
                    written.get() < 16 << 20,
                    written.get() + " bytes were taken for who reads none");
            assertEquals(
                    200, TestClient.status(node.exchange("GET /health/ready HTTP/1.1\r\n\r\n")));
        }
    }

    /** Guards against a slow reader's answer being cut off at the deadline of its class. */
    @Test
    void slowReaderGetsTheWholeResponse() throws Exception {
        byte[] body = body(3_000_000);
        try (StubUpstream upstream = new StubUpstream(whole(body, false));
                LoopbackSidecar node = new LoopbackSidecar(upstream);
                Socket client = new Socket()) {
            client.setReceiveBufferSize(16 << 10);
            client.connect(node.runner.address());
            StubUpstream.write(client, TestClient.request(ASK, "0.3"));
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
            Read answer = read(slow);
            assertTrue(answer.complete);
            assertArrayEquals(body, answer.body);
        }
    }

    /**
     * Guards against spoilt answers that are passed on where another attempt could still be made.
     */
    @Test
    void responseWithAnExcessiveContentLengthIsNotStreamed() throws Exception {
        CountDownLatch first = new CountDownLatch(1);
        StubUpstream.Script spoilt =
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
                                        spoilt,
                                        StubUpstream.respondWith(
                                                StubUpstream.response("200 OK", "fine"))));
                StubUpstream next =
                        new StubUpstream(
                                StubUpstream.respondWith(StubUpstream.response("200 OK", "fine")));
                LoopbackSidecar node = new LoopbackSidecar(upstream, next)) {
            for (int i = 0; i < 10; i++) {
                String answer = node.exchange(TestClient.request(ASK, "3.0"));
                assertEquals("fine", TestClient.body(answer));
            }
        }
    }

    /**
     * Guards against a client of HTTP/1.0 that is given chunks, or takes a broken answer for whole.
     */
    @Test
    void http10ClientGetsTheBodyDelimitedByClose() throws Exception {
        byte[] body = body(500_000);
        try (StubUpstream upstream = new StubUpstream(whole(body, true));
                LoopbackSidecar node = new LoopbackSidecar(upstream);
                TestClient client = new TestClient(node.runner.address())) {
            client.send(TestClient.request(ASK, "3.0").replace("HTTP/1.1", "HTTP/1.0"));
            Read answer = read(client.socket.getInputStream());
            assertFalse(answer.head.contains("chunked"), answer.head);
            assertArrayEquals(body, answer.body);
        }
    }
}
