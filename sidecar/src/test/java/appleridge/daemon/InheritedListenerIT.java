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
 * Runs the packaged jar with an inherited listening socket: hot restart under load, and the state
 * that the processes of one sidecar exchange.
 */
@Timeout(180)
class InheritedListenerIT {
    /** Hot restarts in a row; -Dupgrades=50 makes the test a measurement. */
    private static final int RESTARTS = Integer.getInteger("upgrades", 3);

    private static final int CLIENTS = 6;

    @TempDir private Path folder;

    private static String config(StubUpstream discovery, StubUpstream... upstreams) {
        return LoopbackSidecar.json(
                LoopbackSidecar.SettingValues.DEFAULT,
                discovery.address(),
                LoopbackSidecar.targets(upstreams));
    }

    /** Closed-loop clients on kept-alive connections; records every answer other than 200. */
    private static final class Load implements AutoCloseable {
        final AtomicInteger served = new AtomicInteger();
        final List<String> failures = new ArrayList<>();
        private final List<Thread> threads = new ArrayList<>();
        private volatile boolean stopped;

        Load(SocketActivator platform) {
            for (int i = 0; i < CLIENTS; i++) {
                Thread thread = new Thread(() -> run(platform));
                thread.start();
                threads.add(thread);
            }
        }

        private void run(SocketActivator platform) {
            TestClient client = null;
            while (!stopped) {
                try {
                    client = client == null ? new TestClient(platform.address()) : client;
                    String answer = client.exchange(TestClient.request("pay", "3.0"));
                    if (answer == null || TestClient.status(answer) != 200) {
                        addFailure("answer: " + answer);
                    }
                    served.incrementAndGet();
                    if (answer == null || answer.toLowerCase().contains("connection: close")) {
                        client.close();
                        client = null;
                    }
                    Thread.sleep(2);
                } catch (IOException | InterruptedException e) {
                    addFailure(e.toString());
                    client = null;
                }
            }
        }

        private synchronized void addFailure(String failure) {
            failures.add(failure);
        }

        void awaitServed(int requests) throws InterruptedException {
            long until =
                    System.nanoTime() + TimeUnit.SECONDS.toNanos(LoopbackSidecar.TIMEOUT_SECONDS);
            int goal = served.get() + requests;
            while (served.get() < goal && System.nanoTime() < until) {
                Thread.sleep(5);
            }
            assertTrue(served.get() >= goal, "requests are still served");
        }

        /** Sends no more requests and waits for the open ones. */
        void finish() {
            stopped = true;
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
            finish();
        }
    }

    /**
     * Guards against connections that are refused, reset or never read while one process takes over
     * from another, and against a drain that waits although nothing is open.
     */
    @Test
    void hotRestartUnderLoadRefusesNoConnection() throws Exception {
        try (StubUpstream discovery = new StubUpstream(StubUpstream.SILENT);
                StubUpstream upstream =
                        new StubUpstream(
                                StubUpstream.respondWith(StubUpstream.response("200 OK", "fine")));
                SocketActivator platform = new SocketActivator(folder)) {
            String config = config(discovery, upstream);
            SocketActivator.Sidecar old = platform.start(config, "0");
            old.awaitLog("serves at");
            try (Load load = new Load(platform)) {
                for (int i = 0; i < RESTARTS; i++) {
                    load.awaitServed(50);
                    SocketActivator.Sidecar next = platform.start(config, "0");
                    next.awaitLog("serves at");
                    load.awaitServed(50);
                    long signalledAtNanos = System.nanoTime();
                    old.signal("TERM");
                    assertEquals(0, old.awaitExit(), old.log());
                    long drainMillis =
                            TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - signalledAtNanos);
                    assertTrue(drainMillis < 3000, "drained after " + drainMillis + " ms");
                    old = next;
                }
                load.awaitServed(50);
                load.finish();
                assertEquals(List.of(), load.failures);
            }
            old.signal("TERM");
            assertEquals(0, old.awaitExit(), old.log());
            // Closing the inherited socket the way the JVM does would also close the log and reset
            // the accept queue.
            assertTrue(old.log().contains("draining"), old.log());
        }
    }

    /**
     * Guards against an accept queue that is reset when a process ends: connections that are made
     * while no process accepts wait for the next process.
     */
    @Test
    void connectionsMadeWhileNoProcessAcceptsAreServedByTheNext() throws Exception {
        try (StubUpstream discovery = new StubUpstream(StubUpstream.SILENT);
                StubUpstream upstream =
                        new StubUpstream(
                                StubUpstream.respondWith(StubUpstream.response("200 OK", "fine")));
                SocketActivator platform = new SocketActivator(folder);
                TestClient early = new TestClient(platform.address())) {
            early.send(TestClient.request("pay", "3.0"));
            SocketActivator.Sidecar first = platform.start(config(discovery, upstream), "0");
            assertEquals(200, TestClient.status(early.read()));
            first.awaitLog("serves at");
            first.signal("KILL");
            assertEquals(9, first.awaitExit());
            try (TestClient waiting = new TestClient(platform.address())) {
                waiting.send(TestClient.request("pay", "3.0"));
                SocketActivator.Sidecar second = platform.start(config(discovery, upstream), "0");
                assertEquals(200, TestClient.status(waiting.read()));
                second.awaitLog("serves at");
                second.signal("TERM");
                assertNull(waiting.read(), "a kept-alive connection is closed, not reset");
                assertEquals(0, second.awaitExit(), second.log());
            }
        }
    }

    private static String callAdmin(int port, String line) throws Exception {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(LoopbackSidecar.TIMEOUT_SECONDS));
            StubUpstream.write(socket, line + "\n");
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    private static int unusedPort() throws IOException {
        try (ServerSocket unused = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return unused.getLocalPort();
        }
    }

    private static String withAdmin(String json, int port) {
        return json.replaceFirst("\\{", "{\"admin\":\"127.0.0.1:" + port + "\",");
    }

    /**
     * Guards against an operator's directive that is lost with the process that received it, even
     * if that process is killed right after its confirmation, or that only one process applies.
     */
    @Test
    void suspensionSurvivesAHotRestartWhicheverProcessReceivedIt() throws Exception {
        try (StubUpstream discovery = new StubUpstream(StubUpstream.SILENT);
                StubUpstream a =
                        new StubUpstream(
                                StubUpstream.respondWith(StubUpstream.response("200 OK", "fine")));
                StubUpstream b =
                        new StubUpstream(
                                StubUpstream.respondWith(StubUpstream.response("200 OK", "fine")));
                SocketActivator platform = new SocketActivator(folder)) {
            String config = config(discovery, a, b);
            int oldAdminPort = unusedPort();
            SocketActivator.Sidecar old = platform.start(withAdmin(config, oldAdminPort), "0");
            old.awaitLog("serves at");
            assertEquals("YES\n", callAdmin(oldAdminPort, "SUSPEND u0"));
            int nextAdminPort = unusedPort();
            SocketActivator.Sidecar next = platform.start(withAdmin(config, nextAdminPort), "0");
            next.awaitLog("serves at");
            next.awaitLog("another process of this sidecar is there");
            old.awaitLog("another process of this sidecar is there");
            int requestsToA = a.requests.size();
            try (Load load = new Load(platform)) {
                load.awaitServed(100);
                assertEquals(requestsToA, a.requests.size(), "sent to a suspended host");
                assertEquals("YES\n", callAdmin(nextAdminPort, "RESTORE u0"));
                assertEquals("YES\n", callAdmin(oldAdminPort, "SUSPEND u1"));
                int requestsToB = b.requests.size();
                load.awaitServed(100);
                // Each client may have had a request on its way when the call was confirmed.
                assertTrue(
                        b.requests.size() - requestsToB <= CLIENTS, "only one process applies it");
                assertTrue(a.requests.size() > requestsToA, "the host was restored");
                old.signal("KILL");
                assertEquals(9, old.awaitExit());
                next.awaitLog("alone again");
                int requestsAfterKill = b.requests.size();
                load.finish();
                assertTrue(b.requests.size() - requestsAfterKill <= CLIENTS);
            }
            assertEquals(200, TestClient.status(sendRequest(platform)));
            assertTrue(callAdmin(nextAdminPort, "METRICS").contains("upstreams_suspended 1"));
            next.signal("TERM");
            assertEquals(0, next.awaitExit(), next.log());
        }
    }

    private static String sendRequest(SocketActivator platform) throws IOException {
        try (TestClient client = new TestClient(platform.address())) {
            return client.exchange(TestClient.request("pay", "3.0"));
        }
    }

    /**
     * Guards against a start that fails, or uses garbage, because of another process's corrupt
     * state file.
     */
    @Test
    void corruptStateFileIsReportedAndTheStartGoesOn() throws Exception {
        try (StubUpstream discovery = new StubUpstream(StubUpstream.SILENT);
                StubUpstream upstream =
                        new StubUpstream(
                                StubUpstream.respondWith(StubUpstream.response("200 OK", "fine")));
                SocketActivator platform = new SocketActivator(folder)) {
            SocketActivator.Sidecar old = platform.start(config(discovery, upstream), "0");
            old.awaitLog("serves at");
            // The process publishes that it serves shortly after it logs so, and would overwrite
            // the
            // corrupt state.
            Path state = platform.stateFolder().resolve("slot-0.state");
            while (!Files.readString(state).contains(ProcessPhase.SERVING.name())) {
                Thread.sleep(10);
            }
            Files.writeString(state, "appleridge-state 9\nnoise");
            SocketActivator.Sidecar next = platform.start(config(discovery, upstream), "0");
            next.awaitLog("another process's state is not used");
            next.awaitLog("serves at");
            old.signal("TERM");
            assertEquals(0, old.awaitExit(), old.log());
            assertEquals(200, TestClient.status(sendRequest(platform)));
            next.signal("TERM");
            assertEquals(0, next.awaitExit(), next.log());
        }
    }

    /** Guards against a request whose connection is cut off because SIGTERM ends its process. */
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
                SocketActivator platform = new SocketActivator(folder)) {
            SocketActivator.Sidecar sidecar = platform.start(config(discovery, upstream), "0");
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
                assertEquals(0, sidecar.awaitExit(), sidecar.log());
            }
        }
    }

    /** Guards against a start that accepts no connection and reports no error. */
    @Test
    void descriptorThatDoesNotListenFailsTheStart() throws Exception {
        int stream = 1;
        int datagram = 2;
        try (StubUpstream discovery = new StubUpstream(StubUpstream.SILENT)) {
            for (int type : new int[] {stream, datagram}) {
                try (SocketActivator platform = new SocketActivator(folder, type, false)) {
                    SocketActivator.Sidecar sidecar = platform.start(config(discovery), "0");
                    assertEquals(1, sidecar.awaitExit(), sidecar.log());
                    assertTrue(
                            sidecar.log()
                                    .contains("can't start: descriptor 0 is no TCP socket that"),
                            sidecar.log());
                }
            }
            for (String descriptor : new String[] {"3", "-1", "x"}) {
                try (SocketActivator platform = new SocketActivator(folder)) {
                    SocketActivator.Sidecar sidecar = platform.start(config(discovery), descriptor);
                    assertEquals(1, sidecar.awaitExit(), sidecar.log());
                    assertTrue(
                            sidecar.log()
                                    .contains("must be descriptor 0, not '" + descriptor + "'"),
                            sidecar.log());
                }
            }
        }
    }

    /**
     * Guards against a request that is executed twice, because its id comes again at the process
     * that takes over, after its client has left the old one.
     */
    @Test
    void idThatMayHaveExecutedAtTheOldProcessIsNotExecutedAtTheNewOne() throws Exception {
        CountDownLatch never = new CountDownLatch(1);
        try (StubUpstream discovery = new StubUpstream(StubUpstream.SILENT);
                StubUpstream upstream =
                        new StubUpstream(
                                (socket, request) -> {
                                    never.await(1, TimeUnit.SECONDS);
                                    StubUpstream.write(
                                            socket, StubUpstream.response("200 OK", "fine"));
                                    return true;
                                });
                SocketActivator platform = new SocketActivator(folder)) {
            String config = config(discovery, upstream);
            SocketActivator.Sidecar old = platform.start(config, "0");
            old.awaitLog("serves at");
            String request = TestClient.request("pay", "3.0");
            TestClient leaving = new TestClient(platform.address());
            leaving.send(request);
            upstream.nextRequest();
            SocketActivator.Sidecar next = platform.start(config, "0");
            next.awaitLog("serves at");
            old.signal("TERM");
            leaving.close();
            Thread.sleep(300);
            try (TestClient again = new TestClient(platform.address())) {
                assertEquals(409, TestClient.status(again.exchange(request)), next.log());
            }
            assertEquals(0, upstream.requests.size(), "executed again");
            assertEquals(0, old.awaitExit(), old.log());
            next.signal("TERM");
            assertEquals(0, next.awaitExit(), next.log());
        }
    }

    /**
     * Guards against a request that is executed twice, because its id comes again at the process
     * that takes over, while its attempt at the old one still runs.
     */
    @Test
    void idOfAnOpenRequestOfTheOldProcessIsNotExecutedAtTheNewOne() throws Exception {
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
                SocketActivator platform = new SocketActivator(folder)) {
            String config = config(discovery, upstream);
            SocketActivator.Sidecar old = platform.start(config, "0");
            old.awaitLog("serves at");
            String request = TestClient.request("pay", "3.0");
            try (TestClient first = new TestClient(platform.address())) {
                first.send(request);
                upstream.nextRequest();
                SocketActivator.Sidecar next = platform.start(config, "0");
                next.awaitLog("serves at");
                old.signal("TERM");
                old.awaitLog("draining");
                try (TestClient again = new TestClient(platform.address())) {
                    again.send(request);
                    assertNull(
                            upstream.requests.poll(500, TimeUnit.MILLISECONDS), "executed again");
                    assertEquals(409, TestClient.status(again.read()), next.log());
                }
                release.countDown();
                assertEquals(200, TestClient.status(first.read()), old.log());
                next.signal("TERM");
                assertEquals(0, next.awaitExit(), next.log());
            }
            assertEquals(0, old.awaitExit(), old.log());
        }
    }
}
