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
 * Drains the packaged jar under load while an upstream hangs and the process stalls now and then.
 * Clients keep sending on their connections. At the earliest time at which the platform may send
 * SIGKILL, every request must have been answered.
 */
@Timeout(120)
class DrainUnderLoadIT {
    private static final int CLIENTS = 8;
    private static final long PAUSE_MILLIS = 5;

    /** Load before SIGTERM, so that both upstreams are in use and one of them hangs. */
    private static final long LOAD_BEFORE_SIGTERM_MILLIS = 500;

    /** The longest stall of a process between reading its clock and writing a response. */
    private static final long STALL_MILLIS = 150;

    /**
     * SIGKILL follows SIGTERM after this time and the longest deadline at the earliest. Of the
     * deadline, at most {@link #MAX_COUNTED_DEADLINE_MILLIS} count.
     */
    private static final long GRACE_MILLIS = 700;

    private static final long MAX_COUNTED_DEADLINE_MILLIS = 3000;

    /** A deadline beyond the part that counts. */
    private static final long LONG_DEADLINE_MILLIS = 6000;

    @TempDir private Path folder;

    private static String withDeadlines(String json, long millis) {
        return json.replaceAll(
                        "\"deadline\":\\d+",
                        "\"deadline\":" + TimeUnit.MILLISECONDS.toNanos(millis))
                .replaceAll("\"slo\":\\d+", "\"slo\":" + TimeUnit.MILLISECONDS.toNanos(millis / 2));
    }

    /** Sleeps until a time of {@link System#nanoTime}. */
    private static void sleepUntil(long nanos) throws InterruptedException {
        long left = nanos - System.nanoTime();
        if (left > 0) {
            TimeUnit.NANOSECONDS.sleep(left);
        }
    }

    private static Set<String> forwardedIds(StubUpstream... upstreams) {
        return Stream.of(upstreams)
                .flatMap(each -> each.requests.stream())
                .map(request -> StubUpstream.header(request, "x-request-id"))
                .collect(Collectors.toSet());
    }

    /**
     * Drains a process under load and asserts that no request is open when SIGKILL may come.
     *
     * @param deadlineMillis the deadline of every class
     * @param stallsAtMillis when the process stalls, in milliseconds after SIGTERM; at 0 the stall
     *     also delays the delivery of SIGTERM
     */
    private void assertNothingOpenAtSigkill(long deadlineMillis, long... stallsAtMillis)
            throws Exception {
        try (StubUpstream discovery = new StubUpstream(StubUpstream.SILENT);
                StubUpstream upstream =
                        new StubUpstream(
                                (socket, request) -> {
                                    Thread.sleep(PAUSE_MILLIS);
                                    StubUpstream.write(
                                            socket, StubUpstream.response("200 OK", "fine"));
                                    return true;
                                });
                StubUpstream hanging = new StubUpstream(StubUpstream.SILENT);
                SidecarProcess sidecar =
                        SidecarProcess.start(
                                folder,
                                withDeadlines(
                                        LoopbackSidecar.json(
                                                LoopbackSidecar.SettingValues.DEFAULT,
                                                discovery.address(),
                                                LoopbackSidecar.targets(upstream, hanging)),
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
            Thread.sleep(LOAD_BEFORE_SIGTERM_MILLIS);
            boolean sigtermDelayed = stallsAtMillis.length > 0 && stallsAtMillis[0] == 0;
            if (sigtermDelayed) {
                sidecar.signal("STOP");
            }
            sidecar.signal("TERM");
            long sigtermAtNanos = System.nanoTime();
            if (sigtermDelayed) {
                sleepUntil(sigtermAtNanos + TimeUnit.MILLISECONDS.toNanos(STALL_MILLIS));
                sidecar.signal("CONT");
            }
            for (int i = sigtermDelayed ? 1 : 0; i < stallsAtMillis.length; i++) {
                sleepUntil(sigtermAtNanos + TimeUnit.MILLISECONDS.toNanos(stallsAtMillis[i]));
                sidecar.pause(STALL_MILLIS);
            }
            sleepUntil(
                    sigtermAtNanos
                            + TimeUnit.MILLISECONDS.toNanos(
                                    GRACE_MILLIS
                                            + Math.min(
                                                    MAX_COUNTED_DEADLINE_MILLIS, deadlineMillis)));
            List<ClosedLoopClients.SentRequest> openAtSigkill =
                    clients.sentRequests().stream()
                            .filter(each -> each.status() == ClosedLoopClients.WAITING)
                            .toList();
            assertEquals(0, sidecar.awaitExit(), sidecar.log());
            List<ClosedLoopClients.SentRequest> sent = clients.finish();
            // A client's thread may not have noticed yet that its connect attempt was refused; the
            // sidecar never received that request. Any other open request would be answered after
            // SIGKILL or never.
            assertEquals(
                    List.of(),
                    openAtSigkill.stream()
                            .filter(each -> each.status() != ClosedLoopClients.NOT_CONNECTED)
                            .toList(),
                    sidecar.log());
            Set<String> forwardedIds = forwardedIds(upstream, hanging);
            assertEquals(
                    List.of(),
                    sent.stream()
                            .filter(each -> each.status() <= 0 && forwardedIds.contains(each.id))
                            .toList());
            assertEquals(
                    List.of(),
                    sent.stream()
                            .filter(each -> each.status() == ClosedLoopClients.NO_ANSWER)
                            .toList());
            long answeredAfterSigterm =
                    sent.stream()
                            .filter(each -> each.sentAtNanos > sigtermAtNanos && each.status() > 0)
                            .count();
            assertTrue(
                    answeredAfterSigterm > CLIENTS,
                    "answered after SIGTERM: " + answeredAfterSigterm);
        }
    }

    /** Guards against requests that are accepted late in a drain and are unanswered at SIGKILL. */
    @Test
    void nothingIsOpenAtSigkillWhenAnUpstreamHangs() throws Exception {
        assertNothingOpenAtSigkill(LONG_DEADLINE_MILLIS);
    }

    /** Guards against a drain schedule with steps for which short deadlines leave no time. */
    @ParameterizedTest
    @ValueSource(longs = {100, 200, 400, 1000})
    void nothingIsOpenAtSigkillHoweverShortDeadlinesAre(long deadlineMillis) throws Exception {
        assertNothingOpenAtSigkill(deadlineMillis);
    }

    /**
     * Guards against open requests at SIGKILL if the process receives SIGTERM late and stalls again
     * when it answers its last requests.
     */
    @ParameterizedTest
    @ValueSource(longs = {3250, 3400, 3530})
    void nothingIsOpenAtSigkillWhenTheProcessStallsTwice(long secondStallAtMillis)
            throws Exception {
        assertNothingOpenAtSigkill(LONG_DEADLINE_MILLIS, 0, secondStallAtMillis);
    }
}
