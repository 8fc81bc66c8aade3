package appleridge.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

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
 * Requests beyond what is held whole: passed on in pieces, once, with word of what is proven of
 * them.
 */
@Timeout(120)
class StreamedRequestsTest {
    private static final int HELD = 64 * 1024;
    private static final int LONGEST = 32 << 20;

    /** What to do with a connection on which a head has come. */
    private interface Script {
        void serve(Socket socket, String head) throws IOException, InterruptedException;
    }

    /** An upstream that reads bodies as a script says; records heads, and ends of connections. */
    private static final class Reader implements AutoCloseable {
        final BlockingQueue<String> heads = new LinkedBlockingQueue<>();
        final BlockingQueue<Boolean> ended = new LinkedBlockingQueue<>();
        private final ServerSocket listener =
                new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

        Reader(Script script) throws IOException {
            Thread accepts =
                    new Thread(
                            () -> {
                                try {
                                    while (true) {
                                        Socket socket = listener.accept();
                                        Thread serves = new Thread(() -> serve(socket, script));
                                        serves.setDaemon(true);
                                        serves.start();
                                    }
                                } catch (IOException e) {
                                    // Closed.
                                }
                            });
            accepts.setDaemon(true);
            accepts.start();
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
                    ended.poll(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS) != null, "ended");
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

    /** Reads the body and says its length and check sum. */
    private static void sum(Socket socket, String head) throws IOException {
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

    private static String head(String kind, String deadline, String framing) {
        return TestClient.request(kind, deadline)
                .replace("Content-Length: 4\r\n\r\nbody", framing + "\r\n\r\n");
    }

    private static LoopbackSidecar node(Reader reader) throws Exception {
        return new LoopbackSidecar(LoopbackSidecar.SettingValues.DEFAULT, reader.target());
    }

    @Test
    void longRequestsArriveUnchanged() throws Exception {
        try (Reader reader = new Reader(StreamedRequestsTest::sum);
                LoopbackSidecar node = node(reader);
                TestClient client = new TestClient(node.runner.address())) {
            OutputStream out = client.socket.getOutputStream();
            for (int length : new int[] {HELD, HELD + 1, 200_000, 5_000_000}) {
                byte[] body = body(length);
                client.send(head("write", "3.0", "Content-Length: " + length));
                out.write(body);
                assertEquals(expected(body), TestClient.body(client.read()));
            }
            assertEquals(4, reader.heads.size(), "each was sent once");
        }
    }

    @Test
    void pipelinedLongRequestsAreAnsweredInOrder() throws Exception {
        byte[] body = body(100_000);
        try (Reader reader = new Reader(StreamedRequestsTest::sum);
                LoopbackSidecar node = node(reader);
                TestClient client = new TestClient(node.runner.address())) {
            for (int i = 0; i < 3; i++) {
                client.send(head("pay", "3.0", "Content-Length: " + body.length));
                client.socket.getOutputStream().write(body);
            }
            for (int i = 0; i < 3; i++) {
                assertEquals(expected(body), TestClient.body(client.read()));
            }
        }
    }

    /** Guards against a client's time that runs while it is still sending. */
    @Test
    void bodyMayArriveMoreSlowlyThanItsDeadline() throws Exception {
        byte[] body = body(400_000);
        try (Reader reader = new Reader(StreamedRequestsTest::sum);
                LoopbackSidecar node = node(reader);
                TestClient client = new TestClient(node.runner.address())) {
            client.send(head("pay", "0.4", "Content-Length: " + body.length));
            for (int at = 0; at < body.length; at += 20_000) {
                client.socket.getOutputStream().write(body, at, 20_000);
                Thread.sleep(60);
            }
            assertEquals(expected(body), TestClient.body(client.read()));
        }
    }

    /**
     * Guards against a request that nobody answers, since its time began to run when all of it was
     * there.
     */
    @Test
    void silentUpstreamIsCancelledAtTheDeadline() throws Exception {
        byte[] body = body(200_000);
        try (Reader reader =
                        new Reader(
                                (socket, head) -> {
                                    socket.getInputStream().readNBytes(body.length);
                                    Thread.sleep(TimeUnit.SECONDS.toMillis(5));
                                });
                LoopbackSidecar node = node(reader);
                TestClient client = new TestClient(node.runner.address())) {
            client.send(head("pay", "0.4", "Content-Length: " + body.length));
            client.socket.getOutputStream().write(body);
            long sent = System.nanoTime();
            assertEquals(504, TestClient.status(client.read()));
            assertTrue(System.nanoTime() - sent < TimeUnit.SECONDS.toNanos(2));
            assertEquals(1, reader.heads.size());
        }
    }

    /**
     * Guards against a second effect: a part has gone, and only the proof that it never ran is a
     * refusal.
     */
    @Test
    void resetBeforeTheLastByteIsRejectedAndNotRetried() throws Exception {
        byte[] body = body(3_000_000);
        try (Reader reader =
                        new Reader(
                                (socket, head) -> {
                                    socket.getInputStream().readNBytes(100_000);
                                    throw new IOException("break");
                                });
                LoopbackSidecar node = node(reader);
                TestClient client = new TestClient(node.runner.address())) {
            client.send(head("pay", "3.0", "Content-Length: " + body.length));
            client.socket.getOutputStream().write(body, 0, 1_000_000);
            assertEquals(503, TestClient.status(client.read()));
            assertEquals(1, reader.heads.size());
        }
    }

    /** Guards against what is sent here without end for a server that doesn't read. */
    @Test
    void upstreamThatDoesNotReadExertsBackpressureAndIsCancelled() throws Exception {
        try (Reader reader =
                        new Reader((socket, head) -> Thread.sleep(TimeUnit.SECONDS.toMillis(15)));
                LoopbackSidecar node = node(reader);
                TestClient client = new TestClient(node.runner.address())) {
            client.send(head("pay", "3.0", "Content-Length: " + LONGEST));
            Thread writes =
                    new Thread(
                            () -> {
                                try {
                                    client.socket.getOutputStream().write(body(LONGEST));
                                } catch (IOException e) {
                                    // Cut off, as it should be.
                                }
                            });
            writes.setDaemon(true);
            writes.start();
            long asked = System.nanoTime();
            assertEquals(503, TestClient.status(client.read()));
            long took = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - asked);
            assertTrue(took > 8_000 && took < 14_000, took + " ms");
        }
    }

    /** Guards against servers held by clients that go or stop in the middle. */
    @Test
    void clientThatStopsOrDisconnectsHoldsNoUpstream() throws Exception {
        try (Reader reader = new Reader(StreamedRequestsTest::sum);
                LoopbackSidecar node = node(reader)) {
            try (TestClient leaves = new TestClient(node.runner.address())) {
                leaves.send(head("pay", "3.0", "Content-Length: 1000000"));
                leaves.socket.getOutputStream().write(body(300_000));
                assertTrue(
                        reader.heads.poll(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS)
                                != null);
            }
            reader.awaitEnd();
            try (TestClient stops = new TestClient(node.runner.address())) {
                stops.send(head("pay", "3.0", "Content-Length: 1000000"));
                stops.socket.getOutputStream().write(body(300_000));
                assertEquals(408, TestClient.status(stops.read()));
                reader.awaitEnd();
            }
        }
    }

    /** Guards against the rest of a body being taken for a request. */
    @Test
    void responseBeforeTheEndOfTheBodyIsTheLastOnItsConnection() throws Exception {
        try (Reader reader =
                        new Reader(
                                (socket, head) -> {
                                    socket.getInputStream().readNBytes(HELD);
                                    StubUpstream.write(
                                            socket,
                                            StubUpstream.response("503 Full", "", "X-Not-Run: 1"));
                                    Thread.sleep(500);
                                });
                LoopbackSidecar node = node(reader);
                TestClient client = new TestClient(node.runner.address())) {
            client.send(head("pay", "3.0", "Content-Length: 500000"));
            client.socket.getOutputStream().write(body(100_000));
            String answer = client.read();
            assertEquals(503, TestClient.status(answer));
            assertTrue(answer.toLowerCase().contains("connection: close"), answer);
        }
    }

    /**
     * Guards against a connection that is kept for good, with an answer begun and a body that
     * stops.
     */
    @Test
    void bodyThatStallsAfterTheResponseStartedEndsTheConnection() throws Exception {
        try (Reader reader =
                        new Reader(
                                (socket, head) -> {
                                    socket.getInputStream().readNBytes(HELD);
                                    StubUpstream.write(
                                            socket,
                                            "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n");
                                    for (int i = 0; i < 60; i++) {
                                        socket.getOutputStream().write(body(10_000));
                                        Thread.sleep(200);
                                    }
                                });
                LoopbackSidecar node = node(reader);
                TestClient client = new TestClient(node.runner.address())) {
            client.send(head("pay", "3.0", "Content-Length: 500000"));
            client.socket.getOutputStream().write(body(100_000));
            long read = 0;
            try {
                read = client.socket.getInputStream().readAllBytes().length;
            } catch (SocketException e) {
                // A reset shows it as well.
            }
            assertTrue(read < 1_000_000, "it can be told that the answer is not whole");
            reader.awaitEnd();
        }
    }

    @Test
    void oversizedOrMalformedLengthIsRejectedAtOnce() throws Exception {
        try (Reader reader = new Reader(StreamedRequestsTest::sum);
                LoopbackSidecar node = node(reader)) {
            assertEquals(
                    413,
                    TestClient.status(
                            node.exchange(head("pay", "3.0", "Content-Length: 60000000"))));
            try (TestClient unknown = new TestClient(node.runner.address())) {
                unknown.send(
                        head("pay", "3.0", "Content-Length: 300000")
                                .replace("Class: pay", "Class: x"));
                unknown.socket.getOutputStream().write(body(100_000));
                assertEquals(400, TestClient.status(unknown.read()));
            }
            try (TestClient chunks = new TestClient(node.runner.address())) {
                chunks.send(head("pay", "3.0", "Transfer-Encoding: chunked"));
                chunks.send("11170\r\n");
                chunks.socket.getOutputStream().write(body(70_000));
                assertEquals(
                        413, TestClient.status(chunks.read()), "nobody knows how much is to come");
            }
            assertEquals(0, reader.heads.size());
        }
    }
}
