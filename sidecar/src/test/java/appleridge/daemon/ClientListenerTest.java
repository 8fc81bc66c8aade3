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

/** The listening side: readiness, bad input, pipelining, the end of the service. */
@Timeout(60)
class ClientListenerTest {
    private static final Script GOOD =
            StubUpstream.respondWith(StubUpstream.response("200 OK", "fine"));
    private static final String READY = "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n";

    /** Guards against a request cut off because its body comes slowly, while it does come. */
    @Test
    void slowBodyIsAcceptedAndStalledBodyIsNot() throws Exception {
        ClientTimeouts times = new ClientTimeouts(300, 300, 15_000);
        Script good = StubUpstream.respondWith(StubUpstream.response("200 OK", "fine"));
        try (StubUpstream upstream = new StubUpstream(good);
                LoopbackSidecar node =
                        new LoopbackSidecar(
                                new LoopbackSidecar.SettingValues(
                                        10_000_000_000L, 1000, 1_000_000_000L, times),
                                LoopbackSidecar.targets(upstream))) {
            String head =
                    TestClient.request("pay", "3.0")
                            .replace(
                                    "Content-Length: 4\r\n\r\nbody",
                                    "Content-Length: 60000\r\n\r\n");
            try (TestClient slow = new TestClient(node.runner.address())) {
                slow.send(head);
                for (int i = 0; i < 60; i++) {
                    slow.send("x".repeat(1000));
                    Thread.sleep(13);
                }
                assertEquals(200, TestClient.status(slow.read()));
            }
            try (TestClient stops = new TestClient(node.runner.address())) {
                stops.send(head + "x".repeat(1000));
                assertEquals(408, TestClient.status(stops.read()));
            }
        }
    }

    @Test
    void readinessNeedsAReadyHost() throws Exception {
        try (StubUpstream upstream = new StubUpstream(GOOD);
                LoopbackSidecar host = new LoopbackSidecar();
                TestClient client = host.client()) {
            assertEquals(503, TestClient.status(client.exchange(READY)));
            host.queueList(LoopbackSidecar.list(2, true, LoopbackSidecar.targets(upstream)));
            while (TestClient.status(client.exchange(READY)) != 200) {
                Thread.onSpinWait();
            }
            assertEquals(200, TestClient.status(client.exchange(TestClient.request("pay", "2.0"))));
        }
    }

    @Test
    void malformedRequestIsAnsweredAtOnceAndNotForwarded() throws Exception {
        String good = TestClient.request("write", "2.0");
        Map<String, Integer> keeps = new LinkedHashMap<>();
        keeps.put(good.replaceAll("X-Request-Id: [^\r]*\r\n", ""), 400);
        keeps.put(good.replace("X-Class: write", "X-Class: nosuch"), 400);
        keeps.put(good.replaceAll("X-Class: [^\r]*\r\n", ""), 400);
        keeps.put(good.replaceAll("X-Deadline: [^\r]*\r\n", ""), 400);
        for (String deadline : new String[] {"soon", "NaN", "-1", "0", "Infinity", "1e300"}) {
            keeps.put(good.replace("X-Deadline: 2.0", "X-Deadline: " + deadline), 400);
        }
        keeps.put(good.replaceAll("Idempotency-Key: [^\r]*\r\n", ""), 400);
        keeps.put(good.replace("/api", "/other"), 404);
        keeps.put(good.replace("POST", "PUT"), 405);
        keeps.put(good.replace("POST", "GET"), 405);
        keeps.put(READY.replace("GET", "DELETE"), 405);
        Map<String, Integer> ends = new LinkedHashMap<>();
        ends.put("what is this\r\n\r\n", 400);
        ends.put(good.replace("Content-Length: 4", "Content-Length: -4"), 400);
        ends.put(good.replace("Content-Length: 4", "Content-Length: 4\r\nContent-Length: 5"), 400);
        ends.put(
                good.replace(
                        "Content-Length: 4", "Content-Length: 4\r\nTransfer-Encoding: chunked"),
                400);
        ends.put(good.replace("Content-Length: 4", "Content-Length: 33554433"), 413);
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
            ends.put(good.replace("Content-Length: 4\r\n", framing + "\r\n"), 400);
        }
        ends.put(good.replace("\r\n", "\n"), 400);
        ends.put("\u0000\u0001" + good, 400);
        ends.put(good.replace(" HTTP/1.1", "\u0001 HTTP/1.1"), 400);
        ends.put(good.replace("Host: ", "Host: \u0001"), 400);
        ends.put("GET /api HTTP/1.1\r\nX-Long: " + "x".repeat(20_000) + "\r\n\r\n", 400);
        try (StubUpstream upstream = new StubUpstream(GOOD);
                LoopbackSidecar host = new LoopbackSidecar(upstream)) {
            try (TestClient client = host.client()) {
                for (Map.Entry<String, Integer> each : keeps.entrySet()) {
                    String answer = client.exchange(each.getKey());
                    assertEquals(each.getValue(), TestClient.status(answer), each.getKey());
                    assertEquals(
                            each.getValue() == 405, StubUpstream.header(answer, "allow") != null);
                }
                assertEquals(0, upstream.requests.size());
                assertEquals(
                        200,
                        TestClient.status(client.exchange(good)),
                        "the connection is still of use");
            }
            for (Map.Entry<String, Integer> each : ends.entrySet()) {
                try (TestClient client = host.client()) {
                    String answer = client.exchange(each.getKey());
                    assertEquals(each.getValue(), TestClient.status(answer), each.getKey());
                    assertEquals("close", StubUpstream.header(answer, "connection"));
                    assertNull(client.read(), "and closed");
                }
            }
            assertEquals(1, upstream.requests.size());
        }
    }

    /** Guards against a check of heads that depends on how the bytes arrive. */
    @Test
    void requestIsReadHoweverItIsSplit() throws Exception {
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
                LoopbackSidecar host = new LoopbackSidecar(upstream);
                TestClient client = host.client()) {
            String both = "\r\n" + TestClient.request("pay", "3.0") + chunked;
            for (char each : both.toCharArray()) {
                client.send(String.valueOf(each));
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
                LoopbackSidecar host = new LoopbackSidecar(upstream)) {
            String answer =
                    host.exchange(
                            TestClient.request("pay", "2.0")
                                    .replace(
                                            "Content-Length: 4\r\n\r\nbody",
                                            "Content-Length: 65536\r\n\r\n" + big));
            assertEquals(big, TestClient.body(answer));
            assertEquals(big, TestClient.body(upstream.nextRequest()));
        }
    }

    /**
     * Guards against answers swapped on a connection whose requests are answered in another order.
     */
    @Test
    void pipelinedRequestsAreAcceptedAtOnceAndAnsweredInOrder() throws Exception {
        CountDownLatch secondCame = new CountDownLatch(1);
        Script script =
                (socket, request) -> {
                    String name = StubUpstream.header(request, "x-name");
                    if (name.equals("first")) {
                        secondCame.await(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS);
                    } else {
                        secondCame.countDown();
                    }
                    StubUpstream.write(socket, StubUpstream.response("200 OK", name));
                    return true;
                };
        try (StubUpstream upstream = new StubUpstream(script);
                LoopbackSidecar host = new LoopbackSidecar(upstream);
                TestClient client = host.client()) {
            client.send(
                    TestClient.request("read", "3.0", "X-Name: first")
                            + TestClient.request("read", "3.0", "X-Name: second")
                            + READY);
            assertEquals("first", TestClient.body(client.read()));
            assertEquals("second", TestClient.body(client.read()));
            assertEquals("ready\n", TestClient.body(client.read()));
        }
    }

    /** Guards against descriptors used up by clients that say nothing, or half of something. */
    @Test
    void idleConnectionsAreClosedButNotThoseThatWaitForAResponse() throws Exception {
        SettingValues hasty =
                new SettingValues(
                        TimeUnit.SECONDS.toNanos(10),
                        1000,
                        TimeUnit.SECONDS.toNanos(1),
                        new ClientTimeouts(200, 200, 200));
        try (StubUpstream silent = new StubUpstream(StubUpstream.SILENT);
                LoopbackSidecar host = new LoopbackSidecar(hasty, LoopbackSidecar.targets(silent));
                TestClient mute = host.client();
                TestClient half = host.client();
                TestClient waiting = host.client()) {
            half.send("GET /api HT");
            waiting.send(TestClient.request("pay", "1.0"));
            assertNull(mute.read());
            assertEquals(408, TestClient.status(half.read()));
            assertEquals(504, TestClient.status(waiting.read()));
        }
    }

    /**
     * Guards against a time limit that every byte puts off: a request that trickles in ends all the
     * same.
     */
    @Test
    void requestThatArrivesTooSlowlyIsEnded() throws Exception {
        SettingValues hasty =
                new SettingValues(
                        TimeUnit.SECONDS.toNanos(10),
                        1000,
                        TimeUnit.SECONDS.toNanos(1),
                        new ClientTimeouts(400, 60_000, 60_000));
        try (StubUpstream upstream = new StubUpstream(GOOD);
                LoopbackSidecar host =
                        new LoopbackSidecar(hasty, LoopbackSidecar.targets(upstream));
                TestClient slow = host.client()) {
            slow.send("GET /api HTTP/1.1\r\n");
            long start = System.nanoTime();
            while (slow.socket.getInputStream().available() == 0) {
                slow.send("X-More: x\r\n");
                Thread.sleep(20);
                assertTrue(System.nanoTime() - start < TimeUnit.SECONDS.toNanos(5), "never ended");
            }
            assertEquals(408, TestClient.status(slow.read()));
            assertEquals(0, upstream.requests.size());
        }
    }

    /**
     * Guards against silent connections that use the descriptors up and shut those out that ask.
     */
    @Test
    void silentConnectionsAreEvictedForThoseThatSendRequests() throws Exception {
        SettingValues patient =
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
                LoopbackSidecar host =
                        new LoopbackSidecar(patient, LoopbackSidecar.targets(upstream));
                TestClient half = host.client();
                TestClient open = host.client()) {
            String request = TestClient.request("pay", "3.0");
            half.send(request.substring(0, 20));
            open.send(TestClient.request("pay", "3.0"));
            upstream.nextRequest();
            for (int i = 0; i < 600; i++) {
                silent.add(host.client());
            }
            release.countDown();
            assertEquals(200, TestClient.status(host.exchange(TestClient.request("pay", "3.0"))));
            assertEquals(200, TestClient.status(open.read()), "one with a request open stays");
            half.send(request.substring(20));
            assertEquals(
                    200,
                    TestClient.status(half.read()),
                    "one whose request has begun to arrive stays");
            assertNull(silent.get(0).read(), "the longest silent one went");
        } finally {
            for (TestClient each : silent) {
                each.close();
            }
        }
    }

    /**
     * Guards against newcomers turned away for the sake of connections that have just had their
     * answer.
     */
    @Test
    void idleConnectionsAfterOneRequestKeepNobodyOut() throws Exception {
        List<TestClient> keeping = new ArrayList<>();
        try (StubUpstream upstream = new StubUpstream(GOOD);
                LoopbackSidecar host = new LoopbackSidecar(upstream)) {
            for (int i = 0; i < 500; i++) {
                TestClient client = host.client();
                keeping.add(client);
                String answer = client.exchange(READY);
                assertTrue(answer != null, "turned away: " + i);
                assertEquals(200, TestClient.status(answer));
            }
            assertNull(keeping.get(0).read(), "the longest idle one went");
        } finally {
            for (TestClient each : keeping) {
                each.close();
            }
        }
    }

    /**
     * Guards against an application whose own descriptors are used up by connections it no longer
     * needs.
     */
    @Test
    void theLongestIdleConnectionIsEvictedFirst() throws Exception {
        SettingValues crowd =
                new SettingValues(
                        TimeUnit.SECONDS.toNanos(10),
                        1000,
                        TimeUnit.SECONDS.toNanos(1),
                        new ClientTimeouts(60_000, 60_000, 60_000));
        List<TestClient> keeping = new ArrayList<>();
        try (StubUpstream upstream = new StubUpstream(GOOD);
                LoopbackSidecar host =
                        new LoopbackSidecar(crowd, LoopbackSidecar.targets(upstream))) {
            for (int i = 0; i < 200; i++) {
                TestClient client = host.client();
                keeping.add(client);
                assertEquals(200, TestClient.status(client.exchange(READY)));
            }
            assertNull(
                    keeping.get(0).read(), "the longest idle one is let go though there is room");
            assertEquals(
                    200,
                    TestClient.status(keeping.get(199).exchange(READY)),
                    "the latest one stays");
        } finally {
            for (TestClient each : keeping) {
                each.close();
            }
        }
    }

    /** Guards against answers that go to the wrong one of two requests under one id. */
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
                LoopbackSidecar host = new LoopbackSidecar(upstream);
                TestClient first = host.client()) {
            String request = TestClient.request("read", "3.0");
            first.send(request);
            upstream.nextRequest();
            assertEquals(409, TestClient.status(host.exchange(request)));
            assertEquals(0, upstream.requests.size());
            release.countDown();
            assertEquals(200, TestClient.status(first.read()));
            assertEquals(
                    200,
                    TestClient.status(host.exchange(request)),
                    "free again once it has its answer");
        }
    }

    /**
     * Guards against an effect that nobody hears of: behind a client's last request nothing is
     * answered.
     */
    @Test
    void requestAfterConnectionCloseIsNotForwarded() throws Exception {
        try (StubUpstream upstream = new StubUpstream(GOOD);
                LoopbackSidecar host = new LoopbackSidecar(upstream);
                TestClient client = host.client()) {
            client.send(
                    TestClient.request("pay", "3.0", "X-Name: last", "Connection: close")
                            + TestClient.request("pay", "3.0", "X-Name: beyond"));
            assertEquals(200, TestClient.status(client.read()));
            assertNull(client.read());
            assertEquals(
                    200,
                    TestClient.status(
                            host.exchange(TestClient.request("read", "3.0", "X-Name: next"))));
            for (String name : new String[] {"last", "next"}) {
                assertEquals(name, StubUpstream.header(upstream.nextRequest(), "x-name"));
            }
        }
    }

    /**
     * Guards against one connection that holds requests without bound, or whose disconnect is not
     * seen.
     */
    @Test
    void tooManyPipelinedRequestsEndTheConnection() throws Exception {
        try (StubUpstream silent = new StubUpstream(StubUpstream.SILENT);
                LoopbackSidecar host = new LoopbackSidecar(silent);
                TestClient client = host.client()) {
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

    /** Guards against memory filled by a client that asks on and on and reads nothing. */
    @Test
    void clientThatNeverReadsIsDisconnected() throws Exception {
        byte[] many = READY.repeat(1000).getBytes(StandardCharsets.US_ASCII);
        try (LoopbackSidecar host = new LoopbackSidecar();
                Socket hungry = new Socket()) {
            hungry.setReceiveBufferSize(16 * 1024);
            hungry.connect(host.runner.address());
            assertThrows(
                    IOException.class,
                    () -> {
                        for (int sent = 0; sent < 10_000_000; sent += many.length) {
                            hungry.getOutputStream().write(many);
                        }
                    });
            assertEquals(503, TestClient.status(host.exchange(READY)));
        }
    }

    /** Guards against an end of the service that waits for a request which never ends. */
    @Test
    void drainDoesNotWaitForAnIncompleteRequest() throws Exception {
        SettingValues patient =
                new SettingValues(
                        TimeUnit.SECONDS.toNanos(10),
                        1000,
                        TimeUnit.SECONDS.toNanos(1),
                        new ClientTimeouts(60_000, 60_000, 60_000));
        CountDownLatch drained = new CountDownLatch(1);
        try (LoopbackSidecar host = new LoopbackSidecar(patient);
                TestClient half = host.client();
                TestClient mute = host.client()) {
            half.send("GET /api HTTP/1.1\r\n");
            mute.send("\r\n");
            assertEquals(503, TestClient.status(host.exchange(READY)));
            host.runner.shutdown().drain(drained::countDown);
            assertTrue(drained.await(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }
    }

    @Test
    void rejectionHasRetryAfterWhereThatIsEnabled() throws Exception {
        String gone = LoopbackSidecar.target("u0", "127.0.0.1:9", "Terminating");
        try (LoopbackSidecar host =
                new LoopbackSidecar(LoopbackSidecar.SettingValues.DEFAULT, gone)) {
            String answer = host.exchange(TestClient.request("pay", "2.0"));
            assertEquals(503, TestClient.status(answer));
            assertEquals("0.5", StubUpstream.header(answer, "retry-after"));
        }
    }

    /**
     * Guards against requests lost at a planned restart, and against clients sent away while no
     * other sidecar may be there: what is held and what still comes is answered, also on
     * connections kept from before.
     */
    @Test
    void drainLosesNoRequest() throws Exception {
        CountDownLatch drained = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        Script held =
                (socket, request) -> {
                    release.await(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS);
                    StubUpstream.write(socket, StubUpstream.response("200 OK", "fine"));
                    return true;
                };
        try (StubUpstream upstream = new StubUpstream(held);
                LoopbackSidecar host = new LoopbackSidecar(upstream);
                TestClient kept = host.client();
                TestClient busy = host.client()) {
            assertEquals(200, TestClient.status(kept.exchange(READY)));
            busy.send(TestClient.request("pay", "3.0"));
            upstream.nextRequest();
            host.runner.shutdown().drain(drained::countDown);
            try (TestClient late = host.client()) {
                late.send(TestClient.request("pay", "3.0"));
                upstream.nextRequest();
                release.countDown();
                assertEquals(200, TestClient.status(busy.read()));
                assertEquals(200, TestClient.status(late.read()));
                untilNothingIsAccepted(host);
                for (TestClient each : new TestClient[] {kept, busy, late}) {
                    assertEquals(
                            200,
                            TestClient.status(each.exchange(TestClient.request("pay", "3.0"))));
                }
                assertEquals(503, TestClient.status(kept.exchange(READY)));
                assertEquals(1, drained.getCount());
                for (TestClient each : new TestClient[] {kept, busy, late}) {
                    assertNull(each.read(), "closed in the end");
                    each.socket.close();
                }
            }
            assertTrue(drained.await(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }
    }

    /** Guards against requests taken late that the end of the process finds unanswered. */
    @Test
    void requestAcceptedLateInADrainIsAnsweredBeforeItsEnd() throws Exception {
        CountDownLatch drained = new CountDownLatch(1);
        try (StubUpstream silent = new StubUpstream(StubUpstream.SILENT);
                LoopbackSidecar host = new LoopbackSidecar(silent);
                TestClient kept = host.client()) {
            host.runner.shutdown().drain(drained::countDown);
            untilNothingIsAccepted(host);
            kept.send(TestClient.request("pay", "60.0"));
            String answer = kept.read();
            assertEquals(504, TestClient.status(answer));
            assertEquals("close", StubUpstream.header(answer, "connection"));
            kept.socket.close();
            assertTrue(drained.await(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }
    }

    /**
     * Guards against requests held since before the end of the service that its process's end finds
     * open.
     */
    @ParameterizedTest
    @ValueSource(strings = {"pay", "slow"})
    void requestAcceptedBeforeADrainIsAnsweredBeforeItsEnd(String requestClass) throws Exception {
        CountDownLatch drained = new CountDownLatch(1);
        try (StubUpstream silent = new StubUpstream(StubUpstream.SILENT);
                LoopbackSidecar host = new LoopbackSidecar(silent);
                TestClient client = host.client()) {
            client.send(TestClient.request(requestClass, "60.0"));
            silent.nextRequest();
            host.runner.shutdown().drain(drained::countDown);
            long begun = System.nanoTime();
            assertEquals(504, TestClient.status(client.read()));
            long took = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begun);
            assertTrue(took < 3700, "SIGKILL comes no sooner than that, and this took " + took);
            client.socket.close();
            assertTrue(drained.await(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }
    }

    /**
     * Guards against requests that SIGKILL finds unanswered where a class's clients wait for longer
     * than it is put off: no more than 3 s of the longest deadline, and 0.7 s.
     */
    @Test
    void requestAcceptedLateInADrainIsAnsweredBeforeSigkillWhateverItsTimeout() throws Exception {
        CountDownLatch drained = new CountDownLatch(1);
        try (StubUpstream silent = new StubUpstream(StubUpstream.SILENT);
                LoopbackSidecar host = new LoopbackSidecar(silent);
                TestClient kept = host.client()) {
            long begun = System.nanoTime();
            host.runner.shutdown().drain(drained::countDown);
            untilNothingIsAccepted(host);
            kept.send(TestClient.request("slow", "6.0"));
            silent.nextRequest();
            String answer = kept.read();
            long took = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begun);
            assertEquals(504, TestClient.status(answer));
            assertTrue(took < 3700, "SIGKILL may come after 3700 ms, and this took " + took);
            assertTrue(drained.await(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS));
            took = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begun);
            assertTrue(took < 3700, "what comes until SIGKILL needs no one to take it: " + took);
        }
    }

    private static void untilNothingIsAccepted(LoopbackSidecar host) throws Exception {
        while (true) {
            try {
                host.client().close();
                Thread.sleep(10);
            } catch (IOException e) {
                return;
            }
        }
    }
}
