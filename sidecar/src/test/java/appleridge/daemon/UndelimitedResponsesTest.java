package appleridge.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Upstreams' answers with neither a length nor chunks: the orderly end of their connection ends
 * them.
 */
@Timeout(60)
class UndelimitedResponsesTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

    /** More than the sidecar holds whole. */
    private static final int LONG = 300_000;

    private static StubUpstream.Script ended(String head, String... pieces) {
        return (socket, request) -> {
            StubUpstream.write(socket, head);
            for (String piece : pieces) {
                StubUpstream.write(socket, piece);
            }
            return false;
        };
    }

    /** The body, and that its own connection goes on; the client gets a length or chunks. */
    @Test
    void responseDelimitedByAnOrderlyCloseIsServed() throws Exception {
        for (String head :
                new String[] {HEAD, "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n"}) {
            try (StubUpstream upstream = new StubUpstream(ended(head, "fi", "ne"));
                    LoopbackSidecar node = new LoopbackSidecar(upstream);
                    TestClient client = node.client()) {
                for (int i = 0; i < 3; i++) {
                    String answer = client.exchange(TestClient.request("pay", "3.0"));
                    assertEquals(200, TestClient.status(answer), answer);
                    assertEquals("fine", TestClient.body(answer));
                }
                assertEquals(3, upstream.requests.size());
            }
        }
    }

    @Test
    void emptyUndelimitedResponseIsServed() throws Exception {
        try (StubUpstream upstream = new StubUpstream(ended(HEAD));
                LoopbackSidecar node = new LoopbackSidecar(upstream);
                TestClient client = node.client()) {
            String answer = client.exchange(TestClient.request("pay", "3.0"));
            assertEquals(200, TestClient.status(answer), answer);
            assertEquals("", TestClient.body(answer));
        }
    }

    /** Guards against a part of an answer that is served as a whole one: a reset is no end. */
    @Test
    void resetDoesNotDelimitAResponse() throws Exception {
        StubUpstream.Script cut =
                (socket, request) -> {
                    StubUpstream.write(socket, HEAD + "fi");
                    Thread.sleep(50);
                    return StubUpstream.reset(socket);
                };
        try (StubUpstream upstream = new StubUpstream(cut);
                LoopbackSidecar node = new LoopbackSidecar(upstream);
                TestClient client = node.client()) {
            assertEquals(502, TestClient.status(client.exchange(TestClient.request("pay", "3.0"))));
        }
    }

    /** Guards against the same where this side ends the connection, for the answer pauses. */
    @Test
    void pauseDoesNotDelimitAResponse() throws Exception {
        StubUpstream.Script paused =
                (socket, request) -> {
                    StubUpstream.write(socket, HEAD + "fi");
                    return true;
                };
        try (StubUpstream upstream = new StubUpstream(paused);
                LoopbackSidecar node = new LoopbackSidecar(upstream);
                TestClient client = node.client()) {
            assertNotEquals(
                    200, TestClient.status(client.exchange(TestClient.request("pay", "3.0"))));
        }
    }

    /** Guards against what proves that nothing ran being passed over for want of a length. */
    @Test
    void undelimitedRejectionIsRetriedElsewhere() throws Exception {
        try (StubUpstream full =
                        new StubUpstream(
                                ended(
                                        "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n\r\n",
                                        "full"));
                StubUpstream other =
                        new StubUpstream(
                                StubUpstream.respondWith(StubUpstream.response("200 OK", "fine")));
                LoopbackSidecar node = new LoopbackSidecar(full, other);
                TestClient client = node.client()) {
            for (int i = 0; i < 4; i++) {
                assertEquals(
                        200, TestClient.status(client.exchange(TestClient.request("pay", "3.0"))));
            }
            assertFalse(full.requests.isEmpty());
        }
    }

    /** Guards against a long one that looks the same as one that breaks off. */
    @Test
    void longUndelimitedResponseIsForwardedInChunksAndItsResetIsVisible() throws Exception {
        String half = "x".repeat(LONG / 2);
        try (StubUpstream upstream = new StubUpstream(ended(HEAD, half, half));
                LoopbackSidecar node = new LoopbackSidecar(upstream);
                TestClient client = node.client()) {
            client.send(TestClient.request("read", "3.0"));
            assertEquals(LONG, chunks(client.socket.getInputStream()));
        }
        StubUpstream.Script cut =
                (socket, request) -> {
                    StubUpstream.write(socket, HEAD + half);
                    Thread.sleep(50);
                    return StubUpstream.reset(socket);
                };
        try (StubUpstream upstream = new StubUpstream(cut);
                LoopbackSidecar node = new LoopbackSidecar(upstream);
                TestClient client = node.client()) {
            client.send(TestClient.request("read", "3.0"));
            assertEquals(-1, chunks(client.socket.getInputStream()));
        }
    }

    /** Bytes of a chunked body; below 0 where it does not come to its end. */
    private static int chunks(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            assertTrue(next >= 0, "an answer begins");
            head.append((char) next);
        }
        assertTrue(
                head.toString().toLowerCase().contains("transfer-encoding: chunked"),
                head.toString());
        int sum = 0;
        while (true) {
            StringBuilder line = new StringBuilder();
            while (line.indexOf("\r\n") < 0) {
                int next = in.read();
                if (next < 0) {
                    return -1;
                }
                line.append((char) next);
            }
            int length = Integer.parseInt(line.substring(0, line.length() - 2), 16);
            byte[] piece = in.readNBytes(length + 2);
            if (piece.length < length + 2) {
                return -1;
            }
            if (length == 0) {
                return sum;
            }
            sum += length;
        }
    }
}
