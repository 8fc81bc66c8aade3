package appleridge.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs the packaged jar with the heap that the deploy file gives it, under clients and upstreams
 * whose messages together are longer than that heap.
 */
@Timeout(120)
class MemoryLimitIT {
    private static final int MAX_BODY_BYTES = 64 << 10;
    private static final int UPSTREAMS = 10;
    private static final long UPSTREAM_DELAY_MILLIS = 80;

    /** Clients with short requests, whose requests must all be answered. */
    private static final int USUAL_CLIENTS = 10;

    private static final long USUAL_PAUSE_MILLIS = 20;

    /** A third of the descriptors that the configuration gives the process. */
    private static final int MANY_CLIENTS = 340;

    @TempDir private Path folder;
    private final ProcessFixture fixture = new ProcessFixture();
    private final List<DiscardingUpstream> upstreams = new ArrayList<>();
    private SidecarProcess sidecar;

    /** Starts a sidecar before upstreams with responses of a length. */
    private void start(int responseBytes) throws IOException {
        for (int i = 0; i < UPSTREAMS; i++) {
            DiscardingUpstream upstream =
                    fixture.open(new DiscardingUpstream(UPSTREAM_DELAY_MILLIS, responseBytes));
            upstreams.add(upstream);
            fixture.addTarget("u" + i, upstream.address());
        }
        sidecar = fixture.startSidecar(folder);
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    private ClosedLoopClients usualClients() {
        ClosedLoopClients clients =
                new ClosedLoopClients(
                        sidecar.address(),
                        USUAL_CLIENTS,
                        USUAL_PAUSE_MILLIS,
                        number -> TestClient.request("write", "2.0"));
        fixture.open(clients);
        return clients;
    }

    private static String requestWithBody(int bytes) {
        return TestClient.request("write", "2.0")
                .replace(
                        "Content-Length: 4\r\n\r\nbody",
                        "Content-Length: " + bytes + "\r\n\r\n" + "b".repeat(bytes));
    }

    private void assertEveryRequestAnswered(List<ClosedLoopClients.SentRequest> requests)
            throws IOException {
        assertTrue(sidecar.isAlive(), sidecar.log());
        List<ClosedLoopClients.SentRequest> unanswered =
                requests.stream().filter(request -> request.status() < 100).toList();
        assertEquals(List.of(), unanswered, sidecar.log());
        assertTrue(requests.size() > USUAL_CLIENTS, "requests: " + requests.size());
    }

    /** Sends on one connection at full speed and reads until its end, or for some seconds. */
    private static void sendAndRead(InetSocketAddress address, byte[] request, int times) {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(3000);
            CompletableFuture<Void> writer =
                    CompletableFuture.runAsync(
                            () -> write(socket, request, times), MemoryLimitIT::startDaemon);
            byte[] buffer = new byte[MAX_BODY_BYTES];
            while (socket.getInputStream().read(buffer) >= 0) {
                continue;
            }
            writer.join();
        } catch (IOException e) {
            // The sidecar reset the connection or sent nothing for some seconds.
        }
    }

    private static void write(Socket socket, byte[] request, int times) {
        try {
            for (int i = 0; i < times; i++) {
                socket.getOutputStream().write(request);
            }
        } catch (IOException e) {
            // The sidecar closed the connection.
        }
    }

    /** Runs a task for each of many clients at once and waits for all of them. */
    private static void forEachClient(int clients, Runnable task) {
        List<CompletableFuture<Void>> all = new ArrayList<>();
        for (int i = 0; i < clients; i++) {
            all.add(CompletableFuture.runAsync(task, MemoryLimitIT::startDaemon));
        }
        all.forEach(CompletableFuture::join);
    }

    /** Starts a daemon thread for each task, because all of them block at the same time. */
    private static void startDaemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Guards against a process that ends out of memory because clients pipeline long requests on
     * many connections: each connection is within its limits, all of them together are not.
     */
    @Test
    void pipelinedLongRequestsOnManyConnectionsDoNotExhaustTheHeap() throws Exception {
        start(100);
        ClosedLoopClients usual = usualClients();
        for (int burst = 0; burst < 2; burst++) {
            forEachClient(
                    100,
                    () -> {
                        StringBuilder requests = new StringBuilder();
                        for (int i = 0; i < 20; i++) {
                            requests.append(requestWithBody(MAX_BODY_BYTES));
                        }
                        sendAndRead(
                                sidecar.address(),
                                requests.toString().getBytes(StandardCharsets.US_ASCII),
                                1);
                    });
        }
        assertEveryRequestAnswered(usual.finish());
    }

    /**
     * Guards against a process that ends out of memory under clients that send one long request at
     * a time on a third of the descriptors, and get responses as long.
     */
    @Test
    void longRequestsAndResponsesOfUsualClientsDoNotExhaustTheHeap() throws Exception {
        start(65_000);
        try (ClosedLoopClients clients =
                new ClosedLoopClients(
                        sidecar.address(), MANY_CLIENTS, 250, number -> requestWithBody(65_000))) {
            TimeUnit.SECONDS.sleep(20);
            List<ClosedLoopClients.SentRequest> all = clients.finish();
            assertEveryRequestAnswered(all);
            long served = all.stream().filter(request -> request.status() == 200).count();
            assertTrue(served > MANY_CLIENTS, "served: " + served + " of " + all.size());
        }
    }

    /**
     * Guards against a process that ends out of memory because clients send heads of very many
     * short header lines, each of which occupies many times its length as a parsed header.
     */
    @Test
    void partialHeadsOfManyHeaderLinesDoNotExhaustTheHeap() throws Exception {
        start(100);
        ClosedLoopClients usual = usualClients();
        byte[] partialHead =
                ("POST /api HTTP/1.1\r\n" + "a:\r\n".repeat(2000))
                        .getBytes(StandardCharsets.US_ASCII);
        forEachClient(300, () -> sendAndRead(sidecar.address(), partialHead, 1));
        assertEveryRequestAnswered(usual.finish());
    }

    /** Guards against the same in the trailer of a chunked body, which the decoder also parses. */
    @Test
    void partialTrailersOfManyLinesDoNotExhaustTheHeap() throws Exception {
        start(100);
        ClosedLoopClients usual = usualClients();
        byte[] partialTrailer =
                (TestClient.request("write", "2.0")
                                        .replace(
                                                "Content-Length: 4\r\n\r\nbody",
                                                "Transfer-Encoding: chunked\r\n\r\n0\r\n")
                                + "a:\r\n".repeat(2000))
                        .getBytes(StandardCharsets.US_ASCII);
        forEachClient(390, () -> sendAndRead(sidecar.address(), partialTrailer, 1));
        assertEveryRequestAnswered(usual.finish());
    }
}
