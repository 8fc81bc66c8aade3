package appleridge.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.daemon.LoopbackSidecar.SettingValues;
import appleridge.daemon.StubUpstream.Script;
import appleridge.http1.ClientTimeouts;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The client listener: readiness, malformed input, pipelining, eviction and draining. */
@Timeout(60)
class ClientListenerTest {
    private static final Script GOOD =
            StubUpstream.respondWith(StubUpstream.response("200 OK", "fine"));
    private static final String READY = "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n";

    /** Guards against a request that is cut off because its body arrives slowly but steadily. */
    @Test
    void slowBodyIsAcceptedAndStalledBodyIsRejected() throws Exception {
        ClientTimeouts timeouts = new ClientTimeouts(300, 300, 15_000);
        Script good = StubUpstream.respondWith(StubUpstream.response("200 OK", "fine"));
        try (StubUpstream upstream = new StubUpstream(good);
                LoopbackSidecar sidecar =
                        new LoopbackSidecar(
                                new LoopbackSidecar.SettingValues(
                                        10_000_000_000L, 1000, 1_000_000_000L, timeouts),
                                LoopbackSidecar.targets(upstream))) {
            String head =
                    TestClient.request("pay", "3.0")
                            .replace(
                                    "Content-Length: 4\r\n\r\nbody",
                                    "Content-Length: 60000\r\n\r\n");
            try (TestClient slow = new TestClient(sidecar.runner.address())) {
                slow.send(head);
                for (int i = 0; i < 60; i++) {
                    slow.send("x".repeat(1000));
                    Thread.sleep(13);
                }
                assertEquals(200, TestClient.status(slow.read()));
            }
            try (TestClient stalled = new TestClient(sidecar.runner.address())) {
                stalled.send(head + "x".repeat(1000));
                assertEquals(408, TestClient.status(stalled.read()));
            }
        }
    }

    @Test
    void readinessNeedsAReadyHost() throws Exception {
        try (StubUpstream upstream = new StubUpstream(GOOD);
                LoopbackSidecar sidecar = new LoopbackSidecar();
                TestClient client = sidecar.client()) {
            assertEquals(503, TestClient.status(client.exchange(READY)));
            sidecar.queueList(LoopbackSidecar.list(2, true, LoopbackSidecar.targets(upstream)));
            while (TestClient.status(client.exchange(READY)) != 200) {
                Thread.onSpinWait();
            }
            assertEquals(200, TestClient.status(client.exchange(TestClient.request("pay", "2.0"))));
        }
    }

    @Test
    void malformedRequestIsRejectedAndNotForwarded() throws Exception {
        String good = TestClient.request("write", "2.0");
        Map<String, Integer> statusWithKeepAlive = new LinkedHashMap<>();
        statusWithKeepAlive.put(good.replaceAll("X-Request-Id: [^\r]*\r\n", ""), 400);
        statusWithKeepAlive.put(good.replace("X-Class: write", "X-Class: nosuch"), 400);
        statusWithKeepAlive.put(good.replaceAll("X-Class: [^\r]*\r\n", ""), 400);
        statusWithKeepAlive.put(good.replaceAll("X-Deadline: [^\r]*\r\n", ""), 400);
        for (String deadline : new String[] {"soon", "NaN", "-1", "0", "Infinity", "1e300"}) {
            statusWithKeepAlive.put(
                    good.replace("X-Deadline: 2.0", "X-Deadline: " + deadline), 400);
        }
        statusWithKeepAlive.put(good.replaceAll("Idempotency-Key: [^\r]*\r\n", ""), 400);
        statusWithKeepAlive.put(good.replace("/api", "/other"), 404);
        statusWithKeepAlive.put(good.replace("POST", "PUT"), 405);
        statusWithKeepAlive.put(good.replace("POST", "GET"), 405);
        statusWithKeepAlive.put(READY.replace("GET", "DELETE"), 405);
        Map<String, Integer> statusWithClose = new LinkedHashMap<>();
        statusWithClose.put("what is this\r\n\r\n", 400);
        statusWithClose.put(good.replace("Content-Length: 4", "Content-Length: -4"), 400);
        statusWithClose.put(
                good.replace("Content-Length: 4", "Content-Length: 4\r\nContent-Length: 5"), 400);
        statusWithClose.put(
                good.replace(
                        "Content-Length: 4", "Content-Length: 4\r\nTransfer-Encoding: chunked"),
                400);
        statusWithClose.put(good.replace("Content-Length: 4", "Content-Length: 33554433"), 413);
        for (String framing :
                new String[] {
                    "Content-Length: +4",
                    "Content-Length: 4\r\nContent-Length: 4",
                    "Content-Length: 4,4",
                    "Content-Length: ",
                    "Content-Length: 99999999999999999999",
                    "Transfer-Encoding: chunked\r\nContent-Length: 4",
                    "Transfer-Encoding:\r\n chunked\r\nContent-Length: 4",
                    "Transfer-Encoding: xchunked\r\nContent-Length: 4",
                    "Transfer-Encoding: identity\r\nContent-Length: 4",
                    "Transfer-Encoding : chunked\r\nContent-Length: 4",
                    "Transfer-Encoding: \u000bchunked",
                    "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
                    "Transfer-Encoding: chunked, chunked",
                    "Transfer-Encoding: gzip, chunked",
                    "Transfer-Encoding: xchunked",
                    " Content-Length: 4",
                    "no colon here",
                    "\u0000: x",
                    ": x",
                    "Content-Length : 4",
                    "Content-Length: 4\n"
                }) {
            statusWithClose.put(good.replace("Content-Length: 4\r\n", framing + "\r\n"), 400);
        }
        statusWithClose.put(good.replace("\r\n", "\n"), 400);
        statusWithClose.put("\u0000\u0001" + good, 400);
        statusWithClose.put(good.replace(" HTTP/1.1", "\u0001 HTTP/1.1"), 400);
        statusWithClose.put(good.replace("Host: ", "Host: \u0001"), 400);
        statusWithClose.put("GET /api HTTP/1.1\r\nX-Long: " + "x".repeat(20_000) + "\r\n\r\n", 400);
        try (StubUpstream upstream = new StubUpstream(GOOD);
                LoopbackSidecar sidecar = new LoopbackSidecar(upstream)) {
            try (TestClient client = sidecar.client()) {
                for (Map.Entry<String, Integer> each : statusWithKeepAlive.entrySet()) {
                    String answer = client.exchange(each.getKey());
                    assertEquals(each.getValue(), TestClient.status(answer), each.getKey());
                    assertEquals(
                            each.getValue() == 405, StubUpstream.header(answer, "allow") != null);
                }
                assertEquals(0, upstream.requests.size());
                assertEquals(
                        200,
                        TestClient.status(client.exchange(good)),
                        "the connection stays usable");
            }
            for (Map.Entry<String, Integer> each : statusWithClose.entrySet()) {
                try (TestClient client = sidecar.client()) {
                    String answer = client.exchange(each.getKey());
                    assertEquals(each.getValue(), TestClient.status(answer), each.getKey());
                    assertEquals("close", StubUpstream.header(answer, "connection"));
                    assertNull(client.read(), "the connection is closed");
                }
            }
            assertEquals(1, upstream.requests.size());
        }
    }

    /** Guards against parsing and checks that depend on how the bytes are split into reads. */
    @Test
    void requestSentByteByByteIsParsed() throws Exception {
        String chunked =
                TestClient.request("pay", "3.0")
                        .replace(
                                "Content-Length: 4\r\n\r\nbody",
                                "Transfer-Encoding: chunked\r\n\r\n"
                                        + "2\r\n"
                                        + "bo\r\n"
                                        + "2\r\n"
                                        + "dy\r\n"
                                        + "0\r\n\r\n");
        try (StubUpstream upstream = new StubUpstream(GOOD);
                LoopbackSidecar sidecar = new LoopbackSidecar(upstream);
                TestClient client = sidecar.client()) {
            String both = "\r\n" + TestClient.request("pay", "3.0") + chunked;
            for (char character : both.toCharArray()) {
                client.send(String.valueOf(character));
            }
            for (int i = 0; i < 2; i++) {
                assertEquals(200, TestClient.status(client.read()));
                assertEquals("body", TestClient.body(upstream.nextRequest()));
            }
        }
    }

    @Test
    void bodyOfTheMaximumSizeIsAccepted() throws Exception {
        String big = "x".repeat(64 * 1024);
        try (StubUpstream upstream =
                        new StubUpstream(
                                StubUpstream.respondWith(StubUpstream.response("200 OK", big)));
                LoopbackSidecar sidecar = new LoopbackSidecar(upstream)) {
            String answer =
                    sidecar.exchange(
                            TestClient.request("pay", "2.0")
                                    .replace(
                                            "Content-Length: 4\r\n\r\nbody",
                                            "Content-Length: 65536\r\n\r\n" + big));
            assertEquals(big, TestClient.body(answer));
            assertEquals(big, TestClient.body(upstream.nextRequest()));
        }
    }

    /** Guards against swapped answers on a connection whose requests are answered out of order. */
    @Test
    void pipelinedRequestsAreForwardedAtOnceAndAnsweredInOrder() throws Exception {
        CountDownLatch secondArrived = new CountDownLatch(1);
        Script script =
                (socket, request) -> {
                    String name = StubUpstream.header(request, "x-name");
                    if (name.equals("first")) {
                        secondArrived.await(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS);
                    } else {
                        secondArrived.countDown();
                    }
                    StubUpstream.write(socket, StubUpstream.response("200 OK", name));
                    return true;
                };
        try (StubUpstream upstream = new StubUpstream(script);
                LoopbackSidecar sidecar = new LoopbackSidecar(upstream);
                TestClient client = sidecar.client()) {
            client.send(
                    TestClient.request("read", "3.0", "X-Name: first")
                            + TestClient.request("read", "3.0", "X-Name: second")
                            + READY);
            assertEquals("first", TestClient.body(client.read()));
            assertEquals("second", TestClient.body(client.read()));
            assertEquals("ready\n", TestClient.body(client.read()));
        }
    }

    /** Guards against descriptors used up by clients that send nothing or part of a request. */
    @Test
    void idleConnectionsAreClosedUnlessTheyWaitForAResponse() throws Exception {
        SettingValues shortTimeouts =
                new SettingValues(
                        TimeUnit.SECONDS.toNanos(10),
                        1000,
                        TimeUnit.SECONDS.toNanos(1),
                        new ClientTimeouts(200, 200, 200));
        try (StubUpstream silent = new StubUpstream(StubUpstream.SILENT);
                LoopbackSidecar sidecar =
                        new LoopbackSidecar(shortTimeouts, LoopbackSidecar.targets(silent));
                TestClient silentClient = sidecar.client();
                TestClient partial = sidecar.client();
                TestClient waiting = sidecar.client()) {
            partial.send("GET /api HT");
            waiting.send(TestClient.request("pay", "1.0"));
            assertNull(silentClient.read());
            assertEquals(408, TestClient.status(partial.read()));
            assertEquals(504, TestClient.status(waiting.read()));
        }
    }

    /**
     * Guards against a time limit that every received byte extends: a request that trickles in is
     * rejected all the same.
     */
    @Test
    void requestThatArrivesTooSlowlyIsRejected() throws Exception {
        SettingValues shortTimeouts =
                new SettingValues(
                        TimeUnit.SECONDS.toNanos(10),
                        1000,
                        TimeUnit.SECONDS.toNanos(1),
                        new ClientTimeouts(400, 60_000, 60_000));
        try (StubUpstream upstream = new StubUpstream(GOOD);
                LoopbackSidecar sidecar =
                        new LoopbackSidecar(shortTimeouts, LoopbackSidecar.targets(upstream));
                TestClient slow = sidecar.client()) {
            slow.send("GET /api HTTP/1.1\r\n");
            long start = System.nanoTime();
            while (slow.socket.getInputStream().available() == 0) {
                slow.send("X-More: x\r\n");
                Thread.sleep(20);
                assertTrue(
                        System.nanoTime() - start < TimeUnit.SECONDS.toNanos(5),
                        "not rejected within 5 s");
            }
            assertEquals(408, TestClient.status(slow.read()));
            assertEquals(0, upstream.requests.size());
        }
    }

    /**
     * Guards against silent connections that use up the descriptors, so that clients with requests
     * can't connect.
     */
    @Test
    void silentConnectionsAreEvictedForThoseThatSendRequests() throws Exception {
        SettingValues longTimeouts =
                new SettingValues(
                        TimeUnit.SECONDS.toNanos(10),
                        1000,
                        TimeUnit.SECONDS.toNanos(1),
                        new ClientTimeouts(60_000, 60_000, 60_000));
        CountDownLatch release = new CountDownLatch(1);
        List<TestClient> silent = new ArrayList<>();
        try (StubUpstream upstream =
                        new StubUpstream(
                                (socket, request) -> {
                                    release.await(
                                            LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS);
                                    return GOOD.serve(socket, request);
                                });
                LoopbackSidecar sidecar =
                        new LoopbackSidecar(longTimeouts, LoopbackSidecar.targets(upstream));
                TestClient partial = sidecar.client();
                TestClient open = sidecar.client()) {
            String request = TestClient.request("pay", "3.0");
            partial.send(request.substring(0, 20));
            open.send(TestClient.request("pay", "3.0"));
            upstream.nextRequest();
            for (int i = 0; i < 600; i++) {
                silent.add(sidecar.client());
            }
            release.countDown();
            assertEquals(
                    200, TestClient.status(sidecar.exchange(TestClient.request("pay", "3.0"))));
            assertEquals(
                    200, TestClient.status(open.read()), "a connection with an open request stays");
            partial.send(request.substring(20));
            assertEquals(
                    200,
                    TestClient.status(partial.read()),
                    "a connection with a partly received request stays");
            assertNull(silent.get(0).read(), "the connection that was silent longest is closed");
        } finally {
            for (TestClient each : silent) {
                each.close();
            }
        }
    }

    /**
     * Guards against new connections that are refused in favour of connections that have just been
     * answered.
     */
    @Test
    void idleConnectionsAfterOneRequestMakeRoomForNewOnes() throws Exception {
        List<TestClient> idleClients = new ArrayList<>();
        try (StubUpstream upstream = new StubUpstream(GOOD);
                LoopbackSidecar sidecar = new LoopbackSidecar(upstream)) {
            for (int i = 0; i < 500; i++) {
                TestClient client = sidecar.client();
                idleClients.add(client);
                String answer = client.exchange(READY);
                assertTrue(answer != null, "connection " + i + " was closed without an answer");
                assertEquals(200, TestClient.status(answer));
            }
            assertNull(idleClients.get(0).read(), "the connection that was idle longest is closed");
        } finally {
            for (TestClient each : idleClients) {
                each.close();
            }
        }
    }

    /**
     * Guards against an application that uses up its own descriptors with connections that it no
     * longer needs.
     */
    @Test
    void theLongestIdleConnectionIsEvictedFirst() throws Exception {
        SettingValues longTimeouts =
                new SettingValues(
                        TimeUnit.SECONDS.toNanos(10),
                        1000,
                        TimeUnit.SECONDS.toNanos(1),
                        new ClientTimeouts(60_000, 60_000, 60_000));
        List<TestClient> idleClients = new ArrayList<>();
        try (StubUpstream upstream = new StubUpstream(GOOD);
                LoopbackSidecar sidecar =
                        new LoopbackSidecar(longTimeouts, LoopbackSidecar.targets(upstream))) {
            for (int i = 0; i < 200; i++) {
                TestClient client = sidecar.client();
                idleClients.add(client);
                assertEquals(200, TestClient.status(client.exchange(READY)));
            }
            assertNull(
                    idleClients.get(0).read(),
                    "the longest idle connection is closed below the limit already");
            assertEquals(
                    200,
                    TestClient.status(idleClients.get(199).exchange(READY)),
                    "the latest connection stays");
        } finally {
            for (TestClient each : idleClients) {
                each.close();
            }
        }
    }

    /** Guards against an answer that goes to the wrong one of two requests with the same id. */
    @Test
    void requestWithTheIdOfAnOpenRequestIsRejected() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        try (StubUpstream upstream =
                        new StubUpstream(
                                (socket, request) -> {
                                    release.await(
                                            LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS);
                                    return GOOD.serve(socket, request);
                                });
                LoopbackSidecar sidecar = new LoopbackSidecar(upstream);
                TestClient first = sidecar.client()) {
            String request = TestClient.request("read", "3.0");
            first.send(request);
            upstream.nextRequest();
            assertEquals(409, TestClient.status(sidecar.exchange(request)));
            assertEquals(0, upstream.requests.size());
            release.countDown();
            assertEquals(200, TestClient.status(first.read()));
            assertEquals(
                    200,
                    TestClient.status(sidecar.exchange(request)),
                    "the id is free once the request is answered");
        }
    }

    /**
     * Guards against a request that takes effect without an answer: nothing is answered after a
     * request with {@code Connection: close}.
     */
    @Test
    void requestAfterConnectionCloseIsNotForwarded() throws Exception {
        try (StubUpstream upstream = new StubUpstream(GOOD);
                LoopbackSidecar sidecar = new LoopbackSidecar(upstream);
                TestClient client = sidecar.client()) {
            client.send(
                    TestClient.request("pay", "3.0", "X-Name: last", "Connection: close")
                            + TestClient.request("pay", "3.0", "X-Name: beyond"));
            assertEquals(200, TestClient.status(client.read()));
            assertNull(client.read());
            assertEquals(
                    200,
                    TestClient.status(
                            sidecar.exchange(TestClient.request("read", "3.0", "X-Name: next"))));
            for (String name : new String[] {"last", "next"}) {
                assertEquals(name, StubUpstream.header(upstream.nextRequest(), "x-name"));
            }
        }
    }

    /**
     * Guards against a connection with an unbounded number of open requests, and against one whose
     * disconnect goes unnoticed.
     */
    @Test
    void tooManyPipelinedRequestsEndTheConnection() throws Exception {
        try (StubUpstream silent = new StubUpstream(StubUpstream.SILENT);
                LoopbackSidecar sidecar = new LoopbackSidecar(silent);
                TestClient client = sidecar.client()) {
            StringBuilder many = new StringBuilder();
            for (int i = 0; i < 200; i++) {
                many.append(TestClient.request("read", "0.5"));
            }
            client.send(many.toString());
            String last = null;
            int answers = 0;
            for (String next = client.read(); next != null; next = client.read()) {
                last = next;
                answers++;
                assertTrue(TestClient.status(next) >= 400, next);
            }
            assertEquals(400, TestClient.status(last));
            assertTrue(answers < 50, "answers: " + answers);
        }
    }

    /** Guards against memory filled by a client that sends requests but never reads. */
    @Test
    void clientThatNeverReadsIsDisconnected() throws Exception {
        byte[] many = READY.repeat(1000).getBytes(StandardCharsets.US_ASCII);
        try (LoopbackSidecar sidecar = new LoopbackSidecar();
                Socket socket = new Socket()) {
            socket.setReceiveBufferSize(16 * 1024);
            socket.connect(sidecar.runner.address());
            assertThrows(
                    IOException.class,
                    () -> {
                        for (int sent = 0; sent < 10_000_000; sent += many.length) {
                            socket.getOutputStream().write(many);
                        }
                    });
            assertEquals(503, TestClient.status(sidecar.exchange(READY)));
        }
    }

    /** Guards against a drain that waits for a request that is never completed. */
    @Test
    void drainDoesNotWaitForAnIncompleteRequest() throws Exception {
        SettingValues longTimeouts =
                new SettingValues(
                        TimeUnit.SECONDS.toNanos(10),
                        1000,
                        TimeUnit.SECONDS.toNanos(1),
                        new ClientTimeouts(60_000, 60_000, 60_000));
        CountDownLatch drained = new CountDownLatch(1);
        try (LoopbackSidecar sidecar = new LoopbackSidecar(longTimeouts);
                TestClient partial = sidecar.client();
                TestClient silentClient = sidecar.client()) {
            partial.send("GET /api HTTP/1.1\r\n");
            silentClient.send("\r\n");
            assertEquals(503, TestClient.status(sidecar.exchange(READY)));
            sidecar.runner.shutdown().drain(drained::countDown);
            assertTrue(drained.await(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }
    }

    @Test
    void rejectionHasRetryAfterIfEnabled() throws Exception {
        String draining = LoopbackSidecar.target("u0", "127.0.0.1:9", "Terminating");
        try (LoopbackSidecar sidecar =
                new LoopbackSidecar(LoopbackSidecar.SettingValues.DEFAULT, draining)) {
            String answer = sidecar.exchange(TestClient.request("pay", "2.0"));
            assertEquals(503, TestClient.status(answer));
            assertEquals("0.5", StubUpstream.header(answer, "retry-after"));
        }
    }

    /**
     * Guards against requests lost at a planned restart, and against clients whose connections are
     * closed while no other sidecar may be running yet: open requests and new ones are answered,
     * also on connections from before the drain.
     */
    @Test
    void drainLosesNoRequest() throws Exception {
        CountDownLatch drained = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        Script delayed =
                (socket, request) -> {
                    release.await(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS);
                    StubUpstream.write(socket, StubUpstream.response("200 OK", "fine"));
                    return true;
                };
        try (StubUpstream upstream = new StubUpstream(delayed);
                LoopbackSidecar sidecar = new LoopbackSidecar(upstream);
                TestClient kept = sidecar.client();
                TestClient busy = sidecar.client()) {
            assertEquals(200, TestClient.status(kept.exchange(READY)));
            busy.send(TestClient.request("pay", "3.0"));
            upstream.nextRequest();
            sidecar.runner.shutdown().drain(drained::countDown);
            try (TestClient late = sidecar.client()) {
                late.send(TestClient.request("pay", "3.0"));
                upstream.nextRequest();
                release.countDown();
                assertEquals(200, TestClient.status(busy.read()));
                assertEquals(200, TestClient.status(late.read()));
                awaitNothingAccepted(sidecar);
                for (TestClient each : new TestClient[] {kept, busy, late}) {
                    assertEquals(
                            200,
                            TestClient.status(each.exchange(TestClient.request("pay", "3.0"))));
                }
                assertEquals(503, TestClient.status(kept.exchange(READY)));
                assertEquals(1, drained.getCount());
                for (TestClient each : new TestClient[] {kept, busy, late}) {
                    assertNull(each.read(), "the connection is closed at the end of the drain");
                    each.socket.close();
                }
            }
            assertTrue(drained.await(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }
    }

    /** Guards against requests that are accepted late in a drain and unanswered at its end. */
    @Test
    void requestAcceptedLateInADrainIsAnsweredBeforeItsEnd() throws Exception {
        CountDownLatch drained = new CountDownLatch(1);
        try (StubUpstream silent = new StubUpstream(StubUpstream.SILENT);
                LoopbackSidecar sidecar = new LoopbackSidecar(silent);
                TestClient kept = sidecar.client()) {
            sidecar.runner.shutdown().drain(drained::countDown);
            awaitNothingAccepted(sidecar);
            kept.send(TestClient.request("pay", "60.0"));
            String answer = kept.read();
            assertEquals(504, TestClient.status(answer));
            assertEquals("close", StubUpstream.header(answer, "connection"));
            kept.socket.close();
            assertTrue(drained.await(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }
    }

    /** Guards against requests that were accepted before a drain and are unanswered at its end. */
    @ParameterizedTest
    @ValueSource(strings = {"pay", "slow"})
    void requestAcceptedBeforeADrainIsAnsweredBeforeItsEnd(String requestClass) throws Exception {
        CountDownLatch drained = new CountDownLatch(1);
        try (StubUpstream silent = new StubUpstream(StubUpstream.SILENT);
                LoopbackSidecar sidecar = new LoopbackSidecar(silent);
                TestClient client = sidecar.client()) {
            client.send(TestClient.request(requestClass, "60.0"));
            silent.nextRequest();
            sidecar.runner.shutdown().drain(drained::countDown);
            long startedAtNanos = System.nanoTime();
            assertEquals(504, TestClient.status(client.read()));
            long durationMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAtNanos);
            assertTrue(
                    durationMillis < 3700,
                    "SIGKILL may come after 3700 ms; answered after " + durationMillis + " ms");
            client.socket.close();
            assertTrue(drained.await(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }
    }

    /**
     * Guards against requests that are unanswered at SIGKILL because their class has a deadline
     * longer than the time until then: SIGKILL comes 0.7 s plus the longest deadline after SIGTERM,
     * of which no more than 3 s count.
     */
    @Test
    void requestAcceptedLateInADrainIsAnsweredBeforeSigkillWhateverItsDeadline() throws Exception {
        CountDownLatch drained = new CountDownLatch(1);
        try (StubUpstream silent = new StubUpstream(StubUpstream.SILENT);
                LoopbackSidecar sidecar = new LoopbackSidecar(silent);
                TestClient kept = sidecar.client()) {
            long startedAtNanos = System.nanoTime();
            sidecar.runner.shutdown().drain(drained::countDown);
            awaitNothingAccepted(sidecar);
            kept.send(TestClient.request("slow", "6.0"));
            silent.nextRequest();
            String answer = kept.read();
            long durationMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAtNanos);
            assertEquals(504, TestClient.status(answer));
            assertTrue(
                    durationMillis < 3700,
                    "SIGKILL may come after 3700 ms; answered after " + durationMillis + " ms");
            assertTrue(drained.await(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS));
            durationMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAtNanos);
            assertTrue(
                    durationMillis < 3700,
                    "SIGKILL may come after 3700 ms; drained after " + durationMillis + " ms");
        }
    }

    private static void awaitNothingAccepted(LoopbackSidecar sidecar) throws Exception {
        while (true) {
            try {
                sidecar.client().close();
                Thread.sleep(10);
            } catch (IOException e) {
                return;
            }
        }
    }
}
