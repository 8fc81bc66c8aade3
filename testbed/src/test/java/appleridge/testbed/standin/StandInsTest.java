package appleridge.testbed.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.testbed.standin.LoopbackRegistry.State;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the order server and discovery stand-ins with the JDK's HTTP client. */
@Timeout(60)
class StandInsTest {
    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final RealTime time = new RealTime();
    private final RecordingListener events = new RecordingListener();
    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    @AfterEach
    void end() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private LoopbackServer server(int queue) throws InterruptedException {
        LoopbackServer server =
                new LoopbackServer(
                        loop,
                        time,
                        new LoopbackServer.Identity(
                                "s1", "a", ColdStart.Figures.USUAL, queue, false),
                        new RepeatMemory(0),
                        new SplittableRandom(1),
                        events);
        server.listen();
        return server;
    }

    private HttpResponse<String> confirm(LoopbackServer server, String id) throws Exception {
        return http.send(request(server, id), HttpResponse.BodyHandlers.ofString());
    }

    private static HttpRequest request(LoopbackServer server, String id) {
        return HttpRequest.newBuilder(
                        URI.create("http://" + server.endpoint() + "/api/order-confirm"))
                .header("X-Request-Id", id)
                .header("Idempotency-Key", "k")
                .POST(HttpRequest.BodyPublishers.ofString("{}"))
                .build();
    }

    private <T> T onLoop(Callable<T> what) throws Exception {
        return loop.submit(what).get();
    }

    @Test
    void serverRunsAKeyedRequestOnceAndReportsItsLoad() throws Exception {
        LoopbackServer server = server(10);
        HttpResponse<String> first = confirm(server, "one");
        assertEquals(200, first.statusCode());
        assertEquals("one done by s1 #1", first.body());
        assertTrue(first.headers().firstValue("X-Load").orElseThrow().startsWith("qps="));
        assertEquals("two known to s1 #2", confirm(server, "two").body());
        assertEquals(
                "[arrived one, made one, arrived two, made two]", onLoop(events.lines::toString));
    }

    @Test
    void fullServerRejectsWithANotRunHeader() throws Exception {
        LoopbackServer server = server(0);
        HttpResponse<String> answer = confirm(server, "one");
        assertEquals(503, answer.statusCode());
        assertEquals("1", answer.headers().firstValue("X-Not-Run").orElseThrow());
        assertEquals("[arrived one, turned away]", onLoop(events.lines::toString));
    }

    @Test
    void resetFaultCutsTheResponseAfterTheWorkIsDone() throws Exception {
        LoopbackServer server = server(10);
        onLoop(
                () -> {
                    server.resets(1);
                    return null;
                });
        // The JDK client does not retry a request with a body.
        assertThrows(IOException.class, () -> confirm(server, "one"));
        assertTrue(onLoop(events.lines::toString).startsWith("[arrived one, made one"));
    }

    @Test
    void newProcessListensOnTheAddressOfACrashedOne() throws Exception {
        LoopbackServer server = server(10);
        int port = server.port();
        onLoop(
                () -> {
                    server.slow(1000);
                    return null;
                });
        CompletableFuture<HttpResponse<String>> open =
                http.sendAsync(request(server, "one"), HttpResponse.BodyHandlers.ofString());
        while (onLoop(events.lines::isEmpty)) {
            Thread.onSpinWait();
        }
        CountDownLatch listening = new CountDownLatch(1);
        LoopbackServer next =
                new LoopbackServer(
                        loop,
                        time,
                        new LoopbackServer.Identity("s2", "a", ColdStart.Figures.USUAL, 10, true),
                        new RepeatMemory(0),
                        new SplittableRandom(1),
                        events);
        onLoop(
                () -> {
                    server.crash();
                    next.listen(port, listening::countDown);
                    return null;
                });
        assertThrows(Exception.class, open::get);
        listening.await();
        assertEquals("two done by s2 #1", confirm(next, "two").body());
    }

    @Test
    void discoverySendsTheWholeListAndThenChanges() throws Exception {
        LoopbackRegistry registry = new LoopbackRegistry(loop, time, events);
        registry.listen();
        set(registry, "s1", State.READY);
        set(registry, "s2", State.READY);
        JsonNode whole = get(registry, "").get();
        assertTrue(whole.path("all").asBoolean());
        assertEquals(2, whole.path("targets").size());
        CompletableFuture<JsonNode> watch = get(registry, "?since=2&timeout_ms=60000");
        while (onLoop(() -> !registry.watched())) {
            Thread.onSpinWait();
        }
        set(registry, "s1", State.GONE);
        JsonNode change = watch.get();
        assertEquals(3, change.path("rev").asInt());
        assertEquals("Gone", change.path("targets").path(0).path("state").asText());
        assertEquals(1, change.path("targets").size());
        assertEquals(1, get(registry, "").get().path("targets").size());
        assertEquals(0, get(registry, "?since=3&timeout_ms=1").get().path("targets").size());
        assertTrue(
                onLoop(events.lines::toString)
                        .startsWith(
                                "[changed s1 READY, changed s2 READY, told s1 READY, told s2 READY,"
                                        + " changed s1 GONE, told s1 GONE"));
    }

    @Test
    void unavailableDiscoveryEndsWatchesAndAnswersNothing() throws Exception {
        LoopbackRegistry registry = new LoopbackRegistry(loop, time, events);
        registry.listen();
        CompletableFuture<JsonNode> watch = get(registry, "?since=0&timeout_ms=60000");
        while (onLoop(() -> !registry.watched())) {
            Thread.onSpinWait();
        }
        away(registry, true);
        assertThrows(Exception.class, watch::get);
        assertThrows(Exception.class, () -> get(registry, "").get());
        away(registry, false);
        assertEquals(0, get(registry, "").get().path("targets").size());
    }

    private void away(LoopbackRegistry registry, boolean away) throws Exception {
        onLoop(
                () -> {
                    registry.away(away);
                    return null;
                });
    }

    private void set(LoopbackRegistry registry, String uid, State state) throws Exception {
        onLoop(
                () -> {
                    registry.set(new LoopbackRegistry.Entry(uid, "127.0.0.1:1", "a", state, 0));
                    return null;
                });
    }

    private CompletableFuture<JsonNode> get(LoopbackRegistry registry, String query) {
        URI uri = URI.create("http://" + registry.endpoint() + "/registry/instances" + query);
        return http.sendAsync(
                        HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString())
                .thenApply(
                        answer -> {
                            try {
                                return new ObjectMapper().readTree(answer.body());
                            } catch (IOException e) {
                                throw new IllegalStateException(e);
                            }
                        });
    }
}
