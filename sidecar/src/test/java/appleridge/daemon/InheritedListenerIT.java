package appleridge.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.hotrestart.ProcessPhase;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * The packaged jar with a listening socket that the platform holds; processes replaced under load.
 */
@Timeout(180)
class InheritedListenerIT {
    /** More of them are a measurement: -Dupgrades=50. */
    private static final int UPGRADES = Integer.getInteger("upgrades", 3);

    private static final int CLIENTS = 6;

    @TempDir private Path folder;

    private static String json(StubUpstream discovery, StubUpstream... upstreams) {
        return LoopbackSidecar.json(
                LoopbackSidecar.SettingValues.DEFAULT,
                discovery.address(),
                LoopbackSidecar.targets(upstreams));
    }

    /** Clients that ask one request after the other, each on a connection that it keeps. */
    private static final class Load implements AutoCloseable {
        final AtomicInteger served = new AtomicInteger();
        final List<String> wrong = new ArrayList<>();
        private final List<Thread> threads = new ArrayList<>();
        private volatile boolean ends;

        Load(HoldingPlatform platform) {
            for (int i = 0; i < CLIENTS; i++) {
                Thread thread = new Thread(() -> run(platform));
                thread.start();
                threads.add(thread);
            }
        }

        private void run(HoldingPlatform platform) {
            TestClient client = null;
            while (!ends) {
                try {
                    client = client == null ? new TestClient(platform.address()) : client;
                    String answer = client.exchange(TestClient.request("pay", "3.0"));
                    if (answer == null || TestClient.status(answer) != 200) {
                        wrong("answer: " + answer);
                    }
                    served.incrementAndGet();
                    if (answer == null || answer.toLowerCase().contains("connection: close")) {
                        client.close();
                        client = null;
                    }
                    Thread.sleep(2);
                } catch (IOException | InterruptedException e) {
                    wrong(e.toString());
                    client = null;
                }
            }
        }

        private synchronized void wrong(String what) {
            wrong.add(what);
        }

        void awaitMore(int requests) throws InterruptedException {
            long until =
                    System.nanoTime() + TimeUnit.SECONDS.toNanos(LoopbackSidecar.TIMEOUT_SECONDS);
            int goal = served.get() + requests;
            while (served.get() < goal && System.nanoTime() < until) {
                Thread.sleep(5);
            }
            assertTrue(served.get() >= goal, "requests go on being served");
        }

        /** No more requests; each that is out is awaited. */
        void end() {
            ends = true;
            try {
                for (Thread thread : threads) {
                    thread.join(TimeUnit.SECONDS.toMillis(LoopbackSidecar.TIMEOUT_SECONDS));
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        @Override
        public void close() {
            end();
        }
    }

    /**
     * Guards against a request that meets a refused, reset or unread connection while one process
     * takes over from the other; and against an end that waits though nothing is held.
     */
    @Test
    void hotRestartUnderLoadRefusesNoConnection() throws Exception {
        try (StubUpstream discovery = new StubUpstream(StubUpstream.SILENT);
                StubUpstream upstream =
                        new StubUpstream(
                                StubUpstream.respondWith(StubUpstream.response("200 OK", "fine")));
                HoldingPlatform platform = new HoldingPlatform(folder)) {
            String json = json(discovery, upstream);
            HoldingPlatform.Sidecar old = platform.start(json, "0");
            old.awaitLog("serves at");
            try (Load load = new Load(platform)) {
                for (int i = 0; i < UPGRADES; i++) {
                    load.awaitMore(50);
                    HoldingPlatform.Sidecar next = platform.start(json, "0");
                    next.awaitLog("serves at");
                    load.awaitMore(50);
                    long asked = System.nanoTime();
                    old.signal("TERM");
                    assertEquals(0, old.end(), old.log());
                    long took = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - asked);
                    assertTrue(took < 3000, "ends early when it holds nothing: " + took + " ms");
                    old = next;
                }
                load.awaitMore(50);
                load.end();
                assertEquals(List.of(), load.wrong);
            }
            old.signal("TERM");
            assertEquals(0, old.end(), old.log());
            // Danger: closed as the JVM closes it, the socket takes the log with it, and the queue.
            assertTrue(old.log().contains("draining"), old.log());
        }
    }

    /**
     * Guards against a queue that is reset with the process: what comes while nobody accepts waits.
     */
    @Test
    void connectionsMadeWhileNoProcessAcceptsAreServedByTheNext() throws Exception {
        try (StubUpstream discovery = new StubUpstream(StubUpstream.SILENT);
                StubUpstream upstream =
                        new StubUpstream(
                                StubUpstream.respondWith(StubUpstream.response("200 OK", "fine")));
                HoldingPlatform platform = new HoldingPlatform(folder);
                TestClient early = new TestClient(platform.address())) {
            early.send(TestClient.request("pay", "3.0"));
            HoldingPlatform.Sidecar first = platform.start(json(discovery, upstream), "0");
            assertEquals(200, TestClient.status(early.read()));
            first.awaitLog("serves at");
            first.signal("KILL");
            assertEquals(9, first.end());
            try (TestClient waiting = new TestClient(platform.address())) {
                waiting.send(TestClient.request("pay", "3.0"));
                HoldingPlatform.Sidecar second = platform.start(json(discovery, upstream), "0");
                assertEquals(200, TestClient.status(waiting.read()));
                second.awaitLog("serves at");
                second.signal("TERM");
                assertNull(waiting.read(), "a kept connection is ended, not reset");
                assertEquals(0, second.end(), second.log());
            }
        }
    }

    private static String call(int port, String line) throws Exception {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(LoopbackSidecar.TIMEOUT_SECONDS));
            StubUpstream.write(socket, line + "\n");
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    private static int port() throws IOException {
        try (ServerSocket unused = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return unused.getLocalPort();
        }
    }

    private static String withAdmin(String json, int port) {
        return json.replaceFirst("\\{", "{\"admin\":\"127.0.0.1:" + port + "\",");
    }

    /**
     * Guards against an operator's word that is lost with the process it was told to, or heeded by
     * one only; also where that process is killed right after its yes.
     */
    @Test
    void suspensionSurvivesAHotRestartWhicheverProcessWasAsked() throws Exception {
        try (StubUpstream discovery = new StubUpstream(StubUpstream.SILENT);
                StubUpstream a =
                        new StubUpstream(
                                StubUpstream.respondWith(StubUpstream.response("200 OK", "fine")));
                StubUpstream b =
                        new StubUpstream(
                                StubUpstream.respondWith(StubUpstream.response("200 OK", "fine")));
                HoldingPlatform platform = new HoldingPlatform(folder)) {
            String json = json(discovery, a, b);
            int first = port();
            HoldingPlatform.Sidecar old = platform.start(withAdmin(json, first), "0");
            old.awaitLog("serves at");
            assertEquals("YES\n", call(first, "SUSPEND u0"));
            int second = port();
            HoldingPlatform.Sidecar next = platform.start(withAdmin(json, second), "0");
            next.awaitLog("serves at");
            next.awaitLog("another process of this sidecar is there");
            old.awaitLog("another process of this sidecar is there");
            int seen = a.requests.size();
            try (Load load = new Load(platform)) {
                load.awaitMore(100);
                assertEquals(seen, a.requests.size(), "neither of the two sends to who is out");
                assertEquals("YES\n", call(second, "RESTORE u0"));
                assertEquals("YES\n", call(first, "SUSPEND u1"));
                int told = b.requests.size();
                load.awaitMore(100);
                // What was on its way at the yes may have been read after it.
                assertTrue(b.requests.size() - told <= CLIENTS, "told to one, heeded by both");
                assertTrue(a.requests.size() > seen, "called back");
                old.signal("KILL");
                assertEquals(9, old.end());
                next.awaitLog("alone again");
                int after = b.requests.size();
                load.end();
                assertTrue(b.requests.size() - after <= CLIENTS);
            }
            assertEquals(200, TestClient.status(ask(platform)));
            assertTrue(call(second, "METRICS").contains("upstreams_suspended 1"));
            next.signal("TERM");
            assertEquals(0, next.end(), next.log());
        }
    }

    private static String ask(HoldingPlatform platform) throws IOException {
        try (TestClient client = new TestClient(platform.address())) {
            return client.exchange(TestClient.request("pay", "3.0"));
        }
    }

    /**
     * Guards against a start that fails, or believes noise, because of what another one has left.
     */
    @Test
    void tornStateFileIsRejectedOnceAndTheStartGoesOn() throws Exception {
        try (StubUpstream discovery = new StubUpstream(StubUpstream.SILENT);
                StubUpstream upstream =
                        new StubUpstream(
                                StubUpstream.respondWith(StubUpstream.response("200 OK", "fine")));
                HoldingPlatform platform = new HoldingPlatform(folder)) {
            HoldingPlatform.Sidecar old = platform.start(json(discovery, upstream), "0");
            old.awaitLog("serves at");
            // Its last state is written a moment after it says so, and would take the noise's
            // place.
            Path state = platform.sharedFolder().resolve("slot-0.state");
            while (!Files.readString(state).contains(ProcessPhase.SERVING.name())) {
                Thread.sleep(10);
            }
            Files.writeString(state, "appleridge-state 9\nnoise");
            HoldingPlatform.Sidecar next = platform.start(json(discovery, upstream), "0");
            next.awaitLog("another process's state is not used");
            next.awaitLog("serves at");
            old.signal("TERM");
            assertEquals(0, old.end(), old.log());
            assertEquals(200, TestClient.status(ask(platform)));
            next.signal("TERM");
            assertEquals(0, next.end(), next.log());
        }
    }

    /** Guards against a response that is cut off because SIGTERM ends the process that owes it. */
    @Test
    void openRequestAtSigtermIsAnsweredWithConnectionClose() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        try (StubUpstream discovery = new StubUpstream(StubUpstream.SILENT);
                StubUpstream upstream =
                        new StubUpstream(
                                (socket, request) -> {
                                    release.await(
                                            LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS);
                                    StubUpstream.write(
                                            socket, StubUpstream.response("200 OK", "fine"));
                                    return true;
                                });
                HoldingPlatform platform = new HoldingPlatform(folder)) {
            HoldingPlatform.Sidecar sidecar = platform.start(json(discovery, upstream), "0");
            sidecar.awaitLog("serves at");
            try (TestClient client = new TestClient(platform.address())) {
                client.send(TestClient.request("pay", "3.0"));
                upstream.nextRequest();
                sidecar.signal("TERM");
                sidecar.awaitLog("draining");
                release.countDown();
                String answer = client.read();
                assertEquals(200, TestClient.status(answer));
                assertTrue(answer.toLowerCase().contains("connection: close"), answer);
                assertNull(client.read());
                assertEquals(0, sidecar.end(), sidecar.log());
            }
        }
    }

    /** Guards against a start that serves nobody and says nothing. */
    @Test
    void descriptorThatDoesNotListenFailsTheStart() throws Exception {
        int stream = 1;
        int datagram = 2;
        try (StubUpstream discovery = new StubUpstream(StubUpstream.SILENT)) {
            for (int type : new int[] {stream, datagram}) {
                try (HoldingPlatform platform = new HoldingPlatform(folder, type, false)) {
                    HoldingPlatform.Sidecar sidecar = platform.start(json(discovery), "0");
                    assertEquals(1, sidecar.end(), sidecar.log());
                    assertTrue(
                            sidecar.log()
                                    .contains("can't start: descriptor 0 is no TCP socket that"),
                            sidecar.log());
                }
            }
            for (String descriptor : new String[] {"3", "-1", "x"}) {
                try (HoldingPlatform platform = new HoldingPlatform(folder)) {
                    HoldingPlatform.Sidecar sidecar = platform.start(json(discovery), descriptor);
                    assertEquals(1, sidecar.end(), sidecar.log());
                    assertTrue(
                            sidecar.log()
                                    .contains("must be descriptor 0, not '" + descriptor + "'"),
                            sidecar.log());
                }
            }
        }
    }
}
