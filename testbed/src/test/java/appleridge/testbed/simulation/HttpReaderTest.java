package appleridge.testbed.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class HttpReaderTest {

    /** Parses a text that arrives over a connection in segments of the given size. */
    private static HttpReader read(boolean responses, int segment, String text) throws Exception {
        SocketPair wire = new SocketPair();
        HttpReader reader = new HttpReader(responses);
        wire.client().write(text.getBytes(StandardCharsets.ISO_8859_1), 0, text.length());
        wire.settle();
        while (!reader.advance() && reader.read(wire.server(), segment) > 0) {
            continue;
        }
        return reader;
    }

    @Test
    void readsARequestInSegmentsOfAnySize() throws Exception {
        String text =
                "\r\nPOST /api/x HTTP/1.1\r\nX-Request-Id: a1\r\nContent-Length: 5\r\n\r\nhelloGET";
        for (int segment = 1; segment < text.length(); segment++) {
            HttpReader reader = read(false, segment, text);
            assertTrue(reader.isWhole());
            assertEquals("POST", reader.word(0));
            assertEquals("/api/x", reader.word(1));
            assertEquals("a1", reader.header("x-request-id"));
            assertNull(reader.header("x-request"));
            assertEquals("hello", reader.body());
            reader.next();
            assertFalse(reader.hasHead());
        }
    }

    @Test
    void readsChunkedBodies() throws Exception {
        String text =
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + "3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nT: t\r\n\r\n";
        for (int segment : new int[] {1, 2, 7, 1000}) {
            HttpReader reader = read(true, segment, text);
            assertTrue(reader.isWhole());
            assertEquals(200, reader.status());
            assertEquals("abcde", reader.body());
        }
    }

    @Test
    void chunkedEncodingOverridesContentLength() throws Exception {
        HttpReader reader =
                read(
                        false,
                        100,
                        "POST / HTTP/1.1\r\n"
                                + "Content-Length: 50\r\n"
                                + "Transfer-Encoding: chunked\r\n\r\n"
                                + "0\r\n\r\n"
                                + "GET /b HTTP/1.1\r\n\r\n");
        assertTrue(reader.isWhole());
        assertEquals("", reader.body());
        reader.next();
        assertTrue(reader.advance());
        assertEquals("/b", reader.word(1));
    }

    @Test
    void interimAndNoContentResponsesHaveNoBody() throws Exception {
        HttpReader reader =
                read(true, 50, "HTTP/1.1 103 Hints\r\nA: b\r\n\r\nHTTP/1.1 204 No\r\n\r\n");
        assertEquals(103, reader.status());
        reader.next();
        assertTrue(reader.advance());
        assertEquals(204, reader.status());
    }

    @Test
    void invalidMessagesAreBroken() throws Exception {
        assertTrue(read(true, 50, "HTTP/1.1 good\r\n\r\n").isBroken());
        assertTrue(read(true, 50, "noise\r\n\r\n").isBroken());
        assertTrue(read(false, 50, "GET /\r\n\r\n").isBroken());
        assertTrue(read(false, 50, "GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n").isBroken());
        assertTrue(read(false, 50, "GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n").isBroken());
        assertTrue(
                read(false, 50, "GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n")
                        .isBroken());
    }

    @Test
    void exposesHeadersOfAnIncompleteHead() throws Exception {
        HttpReader reader = read(false, 100, "GET / HTTP/1.1\r\nX-Request-Id: a1\r\nX-Class: st");
        assertFalse(reader.hasHead());
        assertEquals("a1", reader.partialHeader("x-request-id"));
        assertNull(reader.partialHeader("x-class"));
        assertEquals("GET", reader.firstPartialWord());
    }

    @Test
    void aResponseWithoutLengthEndsWithTheConnection() throws Exception {
        SocketPair wire = new SocketPair();
        HttpReader reader = new HttpReader(true);
        String text = "HTTP/1.1 200 OK\r\n\r\nabc";
        wire.client().write(text.getBytes(StandardCharsets.ISO_8859_1), 0, text.length());
        wire.settle();
        reader.read(wire.server(), 100);
        assertFalse(reader.advance());
        wire.client().close();
        wire.settle();
        assertEquals(-1, reader.read(wire.server(), 100));
        assertTrue(reader.advance());
        assertEquals("abc", reader.body());
    }
}
