package appleridge.daemon;

import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.config.SidecarConfig;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs the packaged jar as a process with a delaying proxy before its upstream, and compares the
 * turns of its event loop with the events that it handles.
 */
@Timeout(120)
class EventLoopSpinIT {
    private static final int CLIENTS = 4;
    private static final int REQUESTS = 200;

    /** An event takes several turns: to read it, to run its follow-up tasks and its timers. */
    private static final int TURNS_PER_EVENT = 5;

    /**
     * Turns that timers and periodic tasks may add: at most one a millisecond if a timer is always
     * due soon, and the periodic tasks.
     */
    private static final int TURNS_PER_SECOND = 1100;

    @TempDir private Path folder;

    /**
     * Sends requests one after the other and returns how many were served. Some may be rejected
     * while the limits of a new process are small.
     */
    private static int countServed(SidecarProcess sidecar) {
        int served = 0;
        try (TestClient client = new TestClient(sidecar.address())) {
            for (int i = 0; i < REQUESTS; i++) {
                served +=
                        TestClient.status(client.exchange(TestClient.request("read", "2.0"))) == 200
                                ? 1
                                : 0;
            }
            return served;
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Guards against an event loop that busy-waits for its next timer. Requests, attempts and
     * tenants have timers at arbitrary times, and the loop would spin for the last half millisecond
     * before each.
     */
    @Test
    void eventLoopDoesNotSpinBetweenEvents() throws Exception {
        try (StubUpstream discovery = new StubUpstream(StubUpstream.SILENT);
                StubUpstream upstream =
                        new StubUpstream(
                                StubUpstream.respondWith(StubUpstream.response("200 OK", "fine")));
                DelayingProxy proxy =
                        new DelayingProxy(
                                SidecarConfig.literalAddress(upstream.address()),
                                7,
                                TimeUnit.MILLISECONDS.toNanos(12))) {
            String target =
                    LoopbackSidecar.targets(upstream)[0].replace(
                            upstream.address(), proxy.address());
            try (SidecarProcess sidecar =
                    SidecarProcess.start(
                            folder,
                            LoopbackSidecar.json(
                                    LoopbackSidecar.SettingValues.DEFAULT,
                                    discovery.address(),
                                    target),
                            Map.of())) {
                long startedAtNanos = System.nanoTime();
                long turns = sidecar.metric("event_loop_turns");
                long events = sidecar.metric("event_loop_events");
                List<CompletableFuture<Integer>> clients = new ArrayList<>();
                for (int i = 0; i < CLIENTS; i++) {
                    clients.add(CompletableFuture.supplyAsync(() -> countServed(sidecar)));
                }
                int served = clients.stream().mapToInt(CompletableFuture::join).sum();
                assertTrue(served > CLIENTS * REQUESTS / 2, "served: " + served);
                turns = sidecar.metric("event_loop_turns") - turns;
                events = sidecar.metric("event_loop_events") - events;
                long seconds =
                        1 + TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - startedAtNanos);
                assertTrue(events >= CLIENTS * REQUESTS, "events: " + events);
                assertTrue(
                        turns <= TURNS_PER_EVENT * events + TURNS_PER_SECOND * seconds,
                        "turns: " + turns + ", events: " + events + ", seconds: " + seconds);
            }
        }
    }
}
