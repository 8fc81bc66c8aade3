package appleridge.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The packaged jar as a process that is told to end while an upstream hangs, is held up now and
 * then, and is killed as soon as the platform may: clients send on each connection that stays open
 * until then.
 */
@Timeout(120)
class EndOfServiceIT {
    private static final int CLIENTS = 8;
    private static final long PAUSE_MILLIS = 5;

    /** Of load before the end: both upstreams are in use, and one of them hangs. */
    private static final long SETTLED_MILLIS = 500;

    /** A process may be held up for so long between reading its clock and writing. */
    private static final long HOLD_UP_MILLIS = 150;

    /**
     * SIGKILL comes no sooner after SIGTERM than this and the longest deadline, of which 3 s count.
     */
    private static final long GRACE_MILLIS = 700;

    private static final long LONGEST_WAITED_MILLIS = 3000;
    private static final long LONGEST_DEADLINE_MILLIS = 6000;

    @TempDir private Path folder;

    private static String withDeadlines(String json, long millis) {
        return json.replaceAll(
                        "\"deadline\":\\d+",
                        "\"deadline\":" + TimeUnit.MILLISECONDS.toNanos(millis))
                .replaceAll("\"slo\":\\d+", "\"slo\":" + TimeUnit.MILLISECONDS.toNanos(millis / 2));
    }

    /** A moment by the monotonic clock is awaited. */
    private static void sleepUntil(long nanos) throws InterruptedException {
        long left = nanos - System.nanoTime();
        if (left > 0) {
            TimeUnit.NANOSECONDS.sleep(left);
        }
    }

    private static Set<String> forwarded(StubUpstream... upstreams) {
        return Stream.of(upstreams)
                .flatMap(each -> each.requests.stream())
                .map(request -> StubUpstream.header(request, "x-request-id"))
                .collect(Collectors.toSet());
    }

    /**
     * Ends a process under load.
     *
     * @param deadlineMillis of every class
     * @param heldUpAt milliseconds after SIGTERM at which it is held up; at 0 it hears of SIGTERM
     *     late
     */
    private void endsWithNothingOpen(long deadlineMillis, long... heldUpAt) throws Exception {
        try (StubUpstream discovery = new StubUpstream(StubUpstream.SILENT);
                StubUpstream upstream =
                        new StubUpstream(
                                (socket, request) -> {
                                    Thread.sleep(PAUSE_MILLIS);
                                    StubUpstream.write(
                                            socket, StubUpstream.response("200 OK", "fine"));
                                    return true;
                                });
                StubUpstream hangs = new StubUpstream(StubUpstream.SILENT);
                SidecarProcess sidecar =
                        SidecarProcess.start(
                                folder,
                                withDeadlines(
                                        LoopbackSidecar.json(
                                                LoopbackSidecar.SettingValues.DEFAULT,
                                                discovery.address(),
                                                LoopbackSidecar.targets(upstream, hangs)),
                                        deadlineMillis),
                                Map.of());
                ClosedLoopClients clients =
                        new ClosedLoopClients(
                                sidecar.address(),
                                CLIENTS,
                                PAUSE_MILLIS,
                                client ->
                                        TestClient.request(
                                                "pay", String.valueOf(deadlineMillis / 1000.0)))) {
            Thread.sleep(SETTLED_MILLIS);
            boolean late = heldUpAt.length > 0 && heldUpAt[0] == 0;
            if (late) {
                sidecar.signal("STOP");
            }
            sidecar.signal("TERM");
            long told = System.nanoTime();
            if (late) {
                sleepUntil(told + TimeUnit.MILLISECONDS.toNanos(HOLD_UP_MILLIS));
                sidecar.signal("CONT");
            }
            for (int i = late ? 1 : 0; i < heldUpAt.length; i++) {
                sleepUntil(told + TimeUnit.MILLISECONDS.toNanos(heldUpAt[i]));
                sidecar.pause(HOLD_UP_MILLIS);
            }
            sleepUntil(
                    told
                            + TimeUnit.MILLISECONDS.toNanos(
                                    GRACE_MILLIS
                                            + Math.min(LONGEST_WAITED_MILLIS, deadlineMillis)));
            List<ClosedLoopClients.Asked> open =
                    clients.asked().stream()
                            .filter(each -> each.status() == ClosedLoopClients.WAITING)
                            .toList();
            assertEquals(0, sidecar.awaitExit(), sidecar.log());
            List<ClosedLoopClients.Asked> asked = clients.end();
            // A client may be about to learn that nobody listens any more: that takes its thread a
            // moment, and its request was never taken. Whatever else is open here is answered late
            // or never.
            assertEquals(
                    List.of(),
                    open.stream()
                            .filter(each -> each.status() != ClosedLoopClients.NOT_TAKEN)
                            .toList(),
                    sidecar.log());
            Set<String> forwarded = forwarded(upstream, hangs);
            assertEquals(
                    List.of(),
                    asked.stream()
                            .filter(each -> each.status() <= 0 && forwarded.contains(each.id))
                            .toList());
            assertEquals(
                    List.of(),
                    asked.stream()
                            .filter(each -> each.status() == ClosedLoopClients.NO_ANSWER)
                            .toList());
            long after =
                    asked.stream().filter(each -> each.sentAt > told && each.status() > 0).count();
            assertTrue(after > CLIENTS, "clients go on for a while: " + after);
        }
    }

    /**
     * Guards against requests that are taken late in a shutdown and found unanswered by SIGKILL.
     */
    @Test
    void nothingIsOpenAtSigkillWhenAnUpstreamHangs() throws Exception {
        endsWithNothingOpen(LONGEST_DEADLINE_MILLIS);
    }

    /** Guards against an end that is reckoned by what short deadlines leave no time for. */
    @ParameterizedTest
    @ValueSource(longs = {100, 200, 400, 1000})
    void nothingIsOpenAtSigkillHoweverShortDeadlinesAre(long deadlineMillis) throws Exception {
        endsWithNothingOpen(deadlineMillis);
    }

    /**
     * Guards against a process that hears of SIGTERM late and is held up once more when it answers.
     */
    @ParameterizedTest
    @ValueSource(longs = {3250, 3400, 3530})
    void nothingIsOpenAtSigkillWhenTheProcessStallsTwice(long heldUpAt) throws Exception {
        endsWithNothingOpen(LONGEST_DEADLINE_MILLIS, 0, heldUpAt);
    }
}
