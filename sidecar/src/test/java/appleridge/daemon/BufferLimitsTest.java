package appleridge.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.http1.BufferLimits;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What clients see when the bytes that are buffered for all peers reach their limit. */
@Timeout(60)
class BufferLimitsTest {
    private static final int LONG_BODY_BYTES = 60_000;
    private static final long SLOW_CLIENT_PAUSE_MILLIS = 50;

    /** Room for three long requests of clients that hold nothing else. */
    private static final BufferLimits SMALL = new BufferLimits(440_000, 440_000, 440_000, 440_000);

    private static String longRequest(String requestClass) {
        return requestWithBody(requestClass, LONG_BODY_BYTES);
    }

    private static String requestWithBody(String requestClass, int bytes) {
        return TestClient.request(requestClass, "2.5")
                .replace(
                        "Content-Length: 4\r\n\r\nbody",
                        "Content-Length: " + bytes + "\r\n\r\n" + "b".repeat(bytes));
    }

    private static LoopbackSidecar sidecar(StubUpstream upstream) throws Exception {
        return new LoopbackSidecar(
                LoopbackSidecar.SettingValues.DEFAULT.withBufferLimits(SMALL),
                LoopbackSidecar.targets(upstream));
    }

    private static void awaitNothingBuffered(LoopbackSidecar sidecar) throws Exception {
        while (sidecar.runner.bufferedBytes() > 0) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }

    /** Sends all but the last byte of a long request, and waits until that is buffered. */
    private static TestClient clientWithinItsBody(LoopbackSidecar sidecar) throws Exception {
        long before = sidecar.runner.bufferedBytes();
        TestClient client = sidecar.client();
        String request = longRequest("write");
        client.send(request.substring(0, request.length() - 1));
        while (sidecar.runner.bufferedBytes() < before + LONG_BODY_BYTES) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
        return client;
    }

    /**
     * Guards against a client that waits for its deadline, or loses its connection, when too much
     * is buffered: it is answered at once, and its connection serves the next request.
     */
    @Test
    void requestOverTheLimitIsRejectedAtOnceAndItsConnectionIsKept() throws Exception {
        try (StubUpstream upstream = new StubUpstream(StubUpstream.SILENT);
                LoopbackSidecar sidecar = sidecar(upstream)) {
            List<TestClient> others = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                others.add(clientWithinItsBody(sidecar));
            }
            try (TestClient client = sidecar.client()) {
                assertEquals(503, TestClient.status(client.exchange(longRequest("write"))));
                client.send(TestClient.request("write", "1.0"));
                assertTrue(upstream.nextRequest().endsWith("body"));
            }
            for (TestClient other : others) {
                other.close();
            }
            awaitNothingBuffered(sidecar);
        }
    }

    /** Guards against a client that pipelines long requests and gets others rejected. */
    @Test
    void pipeliningClientIsRejectedBeforeOneThatHoldsNothing() throws Exception {
        try (StubUpstream upstream = new StubUpstream(StubUpstream.SILENT);
                LoopbackSidecar sidecar = sidecar(upstream);
                TestClient pipelining = sidecar.client();
                TestClient usual = sidecar.client()) {
            pipelining.send(longRequest("write") + longRequest("write") + longRequest("write"));
            upstream.nextRequest();
            usual.send(longRequest("write"));
            upstream.nextRequest();
        }
    }

    /** Guards against bytes that stay counted for a client that has left. */
    @Test
    void clientThatLeavesWithinItsBodyReleasesWhatItHolds() throws Exception {
        try (StubUpstream upstream = new StubUpstream(StubUpstream.SILENT);
                LoopbackSidecar sidecar = sidecar(upstream)) {
            TestClient client = clientWithinItsBody(sidecar);
            client.socket.close();
            awaitNothingBuffered(sidecar);
        }
    }

    /** Guards against idle connections that keep the last request or response in memory. */
    @Test
    void idleConnectionsHoldNothing() throws Exception {
        String response = StubUpstream.response("200 OK", "a".repeat(LONG_BODY_BYTES));
        try (StubUpstream upstream = new StubUpstream(StubUpstream.respondWith(response));
                LoopbackSidecar sidecar = sidecar(upstream)) {
            List<TestClient> kept = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                TestClient client = sidecar.client();
                kept.add(client);
                assertEquals(200, TestClient.status(client.exchange(longRequest("write"))));
            }
            awaitNothingBuffered(sidecar);
            for (TestClient client : kept) {
                client.close();
            }
        }
    }

    /** Guards against uploads that each hold little, and together more than the process has. */
    @Test
    void uploadOverTheLimitIsRejectedAndOneWithinItIsServed() throws Exception {
        String response = StubUpstream.response("200 OK", "fine");
        try (StubUpstream upstream = new StubUpstream(StubUpstream.respondWith(response));
                LoopbackSidecar small = sidecar(upstream);
                LoopbackSidecar large = new LoopbackSidecar(upstream);
                TestClient rejected = small.client();
                TestClient served = large.client()) {
            String upload = requestWithBody("write", 500_000);
            rejected.send(upload.substring(0, 400_000));
            assertEquals(503, TestClient.status(rejected.read()));
            assertNull(rejected.read());
            assertEquals(200, TestClient.status(served.exchange(upload)));
            awaitNothingBuffered(small);
            awaitNothingBuffered(large);
        }
    }

    /**
     * Guards against a request that is lost because it was sent behind an upload that is rejected:
     * the upload's response waits for an earlier one, and tells the client too late.
     */
    @ParameterizedTest
    @ValueSource(ints = {66_000, 100_000, 900_000})
    void requestBehindARejectedUploadIsAnswered(int uploadBytes) throws Exception {
        CountDownLatch first = new CountDownLatch(1);
        StubUpstream.Script served =
                StubUpstream.respondWith(StubUpstream.response("200 OK", "fine"));
        try (StubUpstream upstream =
                        new StubUpstream(
                                StubUpstream.firstThen(first, StubUpstream.SILENT, served));
                LoopbackSidecar sidecar = sidecar(upstream);
                TestClient client = sidecar.client()) {
            client.send(TestClient.request("write", "0.3"));
            upstream.nextRequest();
            client.send(
                    requestWithBody("write", uploadBytes)
                            + requestWithBody("write", uploadBytes)
                            + TestClient.request("write", "2.5"));
            assertNotNull(client.read());
            assertEquals(503, TestClient.status(client.read()));
            assertEquals(503, TestClient.status(client.read()));
            assertEquals(200, TestClient.status(client.read()));
            awaitNothingBuffered(sidecar);
        }
    }

    /** Guards against the same where no earlier response delays the rejection. */
    @ParameterizedTest
    @ValueSource(ints = {66_000, 100_000, 900_000})
    void requestSentWithARejectedUploadIsAnswered(int uploadBytes) throws Exception {
        String response = StubUpstream.response("200 OK", "fine");
        try (StubUpstream upstream = new StubUpstream(StubUpstream.respondWith(response));
                LoopbackSidecar sidecar = sidecar(upstream);
                TestClient client = sidecar.client()) {
            client.send(requestWithBody("write", uploadBytes) + TestClient.request("write", "2.5"));
            assertEquals(503, TestClient.status(client.read()));
            assertEquals(200, TestClient.status(client.read()));
            awaitNothingBuffered(sidecar);
        }
    }

    /**
     * Guards against a request that is read and gets no response because it was sent behind a
     * rejected upload whose rest comes slowly.
     */
    @Test
    void requestBehindARejectedUploadThatComesSlowlyIsAnswered() throws Exception {
        String response = StubUpstream.response("200 OK", "fine");
        try (StubUpstream upstream = new StubUpstream(StubUpstream.respondWith(response));
                LoopbackSidecar sidecar = sidecar(upstream);
                TestClient client = sidecar.client()) {
            String upload = requestWithBody("write", 200_000);
            client.send(upload.substring(0, 100_000));
            Thread.sleep(SLOW_CLIENT_PAUSE_MILLIS);
            client.send(upload.substring(100_000) + TestClient.request("write", "2.5"));
            assertEquals(503, TestClient.status(client.read()));
            assertNotNull(client.read());
        }
    }

    /** Guards against responses that wait without limit for the first one of their connection. */
    @Test
    void longResponsesBehindAnUnansweredRequestAreLimited() throws Exception {
        CountDownLatch first = new CountDownLatch(1);
        StubUpstream.Script longResponse =
                StubUpstream.respondWith(
                        StubUpstream.response("200 OK", "a".repeat(LONG_BODY_BYTES)));
        try (StubUpstream upstream =
                        new StubUpstream(
                                StubUpstream.firstThen(first, StubUpstream.SILENT, longResponse));
                LoopbackSidecar sidecar = sidecar(upstream);
                TestClient client = sidecar.client()) {
            client.send(TestClient.request("write", "2.5"));
            upstream.nextRequest();
            int behind = 4;
            client.send(
                    (TestClient.request("write", "2.5") + TestClient.request("write", "2.5"))
                            + TestClient.request("write", "2.5")
                            + TestClient.request("write", "2.5"));
            client.read();
            int failed = 0;
            for (int i = 0; i < behind; i++) {
                failed += TestClient.status(client.read()) == 502 ? 1 : 0;
            }
            assertTrue(failed >= 1, "every response was buffered");
            awaitNothingBuffered(sidecar);
        }
    }

    private static String chunkedRequest(String trailer) {
        return TestClient.request("write", "1.0")
                .replace(
                        "Content-Length: 4\r\n\r\nbody",
                        "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + trailer + "\r\n");
    }

    /**
     * Guards against a head or trailer of many short lines, each of which becomes an object of its
     * own.
     */
    @Test
    void numberOfHeaderLinesIsLimited() throws Exception {
        String response = StubUpstream.response("200 OK", "fine");
        try (StubUpstream upstream = new StubUpstream(StubUpstream.respondWith(response));
                LoopbackSidecar sidecar = new LoopbackSidecar(upstream)) {
            String[] lines = new String[90];
            Arrays.fill(lines, "a: b");
            assertEquals(
                    200,
                    TestClient.status(sidecar.exchange(TestClient.request("write", "1.0", lines))));
            String trailer = "a: b\r\n".repeat(90);
            assertEquals(200, TestClient.status(sidecar.exchange(chunkedRequest(trailer))));
            trailer = "a: b\r\n".repeat(101);
            assertEquals(400, TestClient.status(sidecar.exchange(chunkedRequest(trailer))));
            String[] more = new String[101];
            Arrays.fill(more, "a: b");
            assertEquals(
                    400,
                    TestClient.status(sidecar.exchange(TestClient.request("write", "1.0", more))));
        }
    }
}
