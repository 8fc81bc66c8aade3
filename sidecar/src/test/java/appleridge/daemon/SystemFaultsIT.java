package appleridge.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.config.SidecarConfig;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The packaged jar as a process whose system calls fail now and then and whose wall clock steps.
 */
@Timeout(120)
class SystemFaultsIT {
    private static final int CLIENTS = 4;
    private static final int ENOUGH = 400;
    private static final int OFTEN = 300;

    /**
     * Of all requests, in hundredths: those that must be served though each attempt may fail here.
     */
    private static final int MOST = 90;

    /** Beyond its time a request is answered late; for processes that wait for a core. */
    private static final long SLACK_MILLIS = 500;

    private static final StubUpstream.Script KEEPS =
            StubUpstream.respondWith(StubUpstream.response("200 OK", "fine"));

    /** Each request needs a connection of its own. */
    private static final StubUpstream.Script CLOSES =
            (socket, request) -> {
                StubUpstream.write(
                        socket, StubUpstream.response("200 OK", "fine", "Connection: close"));
                return false;
            };

    private static final IntFunction<String> READS = client -> TestClient.request("read", "2.0");

    @TempDir private Path folder;
    private SystemFaults faults;

    @BeforeEach
    void compile() throws Exception {
        faults = SystemFaults.in(folder);
    }

    private SidecarProcess start(StubUpstream discovery, StubUpstream... upstreams)
            throws Exception {
        return SidecarProcess.start(
                folder,
                LoopbackSidecar.json(
                        LoopbackSidecar.SettingValues.DEFAULT,
                        discovery.address(),
                        LoopbackSidecar.targets(upstreams)),
                faults.environment());
    }

    /** Waits until so many requests more have come to an end. */
    private static void awaitMore(ClosedLoopClients clients, int requests)
            throws InterruptedException {
        int goal = clients.asked().size() + requests;
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(LoopbackSidecar.TIMEOUT_SECONDS);
        while (clients.asked().size() < goal && System.nanoTime() < until) {
            Thread.sleep(5);
        }
        assertTrue(clients.asked().size() >= goal, "requests go on being answered");
    }

    private static List<ClosedLoopClients.Asked> unanswered(List<ClosedLoopClients.Asked> asked) {
        return asked.stream().filter(each -> each.status() <= 0).toList();
    }

    private static void assertMostServed(List<ClosedLoopClients.Asked> asked) {
        long served = asked.stream().filter(each -> each.status() == 200).count();
        assertTrue(100 * served >= MOST * asked.size(), served + " served of " + asked.size());
    }

    /**
     * Guards against a call that was only interrupted and is taken for the end of its connection.
     */
    @Test
    void interruptedSystemCallsFailNoConnection() throws Exception {
        try (StubUpstream discovery = new StubUpstream(StubUpstream.SILENT);
                StubUpstream closes = new StubUpstream(CLOSES);
                StubUpstream keeps = new StubUpstream(KEEPS);
                SidecarProcess sidecar = start(discovery, closes, keeps);
                ClosedLoopClients clients =
                        new ClosedLoopClients(sidecar.address(), CLIENTS, 1, READS)) {
            awaitMore(clients, ENOUGH);
            faults.fail(SystemFaults.Fault.WAIT, OFTEN, SystemFaults.EINTR);
            faults.fail(SystemFaults.Fault.READ_WRITE, OFTEN, SystemFaults.EINTR);
            awaitMore(clients, ENOUGH);
            List<ClosedLoopClients.Asked> asked = clients.end();
            assertTrue(faults.count(SystemFaults.Fault.WAIT) > 0);
            assertTrue(faults.count(SystemFaults.Fault.READ_WRITE) > 0);
            assertEquals(List.of(), unanswered(asked), sidecar.log());
            assertFalse(sidecar.log().contains("attempt.ended"), sidecar.log());
            assertFalse(sidecar.log().contains(" ejected: "), sidecar.log());
            assertMostServed(asked);
        }
    }

    /** Guards against a healthy upstream that is ejected for what this machine is short of. */
    @ParameterizedTest
    @ValueSource(ints = {SystemFaults.EADDRNOTAVAIL, SystemFaults.ENOBUFS})
    void aConnectThatFailsForWantOfLocalMeansEjectsNoUpstream(int errno) throws Exception {
        try (StubUpstream discovery = new StubUpstream(StubUpstream.SILENT);
                StubUpstream a = new StubUpstream(CLOSES);
                StubUpstream b = new StubUpstream(CLOSES);
                StubUpstream c = new StubUpstream(CLOSES);
                SidecarProcess sidecar = start(discovery, a, b, c);
                ClosedLoopClients clients =
                        new ClosedLoopClients(sidecar.address(), CLIENTS, 1, READS)) {
            faults.fail(SystemFaults.Fault.CONNECT, OFTEN, errno);
            awaitMore(clients, ENOUGH);
            List<ClosedLoopClients.Asked> asked = clients.end();
            assertTrue(faults.count(SystemFaults.Fault.CONNECT) > 0);
            assertEquals(List.of(), unanswered(asked), sidecar.log());
            assertFalse(sidecar.log().contains(" ejected: "), sidecar.log());
            assertMostServed(asked);
        }
    }

    /**
     * Guards against connections that wait unaccepted, or break, because of a failure that passes.
     */
    @Test
    void failedAcceptsAndShortReadsLoseNoRequest() throws Exception {
        IntFunction<String> closing =
                client -> TestClient.request("read", "2.0", "Connection: close");
        try (StubUpstream discovery = new StubUpstream(StubUpstream.SILENT);
                StubUpstream a = new StubUpstream(CLOSES);
                StubUpstream b = new StubUpstream(KEEPS);
                SidecarProcess sidecar = start(discovery, a, b);
                ClosedLoopClients clients =
                        new ClosedLoopClients(sidecar.address(), CLIENTS, 1, closing)) {
            faults.fail(SystemFaults.Fault.SHORT, OFTEN, 0);
            faults.fail(SystemFaults.Fault.SOCKET, OFTEN / 3, SystemFaults.ENOBUFS);
            for (int errno :
                    List.of(SystemFaults.ENFILE, SystemFaults.ECONNABORTED, SystemFaults.ENOBUFS)) {
                faults.fail(SystemFaults.Fault.ACCEPT, OFTEN / 3, errno);
                awaitMore(clients, ENOUGH / 4);
            }
            List<ClosedLoopClients.Asked> asked = clients.end();
            assertTrue(faults.count(SystemFaults.Fault.ACCEPT) > 0);
            assertTrue(faults.count(SystemFaults.Fault.SOCKET) > 0);
            assertTrue(faults.count(SystemFaults.Fault.SHORT) > 0);
            assertEquals(List.of(), unanswered(asked), sidecar.log());
            assertMostServed(asked);
        }
    }

    /**
     * Guards against an effect that happens twice, or a request lost, where a connection just
     * stops.
     */
    @ParameterizedTest
    @ValueSource(ints = {SystemFaults.ETIMEDOUT, SystemFaults.EHOSTUNREACH})
    void aConnectionThatBreaksUnderARequestRunsNothingTwice(int errno) throws Exception {
        IntFunction<String> both =
                client -> TestClient.request(client % 2 == 0 ? "read" : "pay", "2.0");
        try (StubUpstream discovery = new StubUpstream(StubUpstream.SILENT);
                StubUpstream a = new StubUpstream(KEEPS);
                StubUpstream b = new StubUpstream(KEEPS);
                SidecarProcess sidecar = start(discovery, a, b);
                ClosedLoopClients clients =
                        new ClosedLoopClients(sidecar.address(), CLIENTS, 1, both)) {
            awaitMore(clients, ENOUGH / 4);
            faults.breakConnectionsTo(SidecarConfig.literalAddress(a.address()).getPort());
            faults.fail(SystemFaults.Fault.BREAK, OFTEN / 3, errno);
            awaitMore(clients, ENOUGH);
            List<ClosedLoopClients.Asked> asked = clients.end();
            assertTrue(faults.count(SystemFaults.Fault.BREAK) > 0);
            assertEquals(List.of(), unanswered(asked), sidecar.log());
            Set<String> ran = new HashSet<>();
            for (StubUpstream upstream : List.of(a, b)) {
                for (String request : upstream.requests) {
                    boolean once = request.startsWith("POST");
                    assertTrue(
                            !once || ran.add(StubUpstream.header(request, "x-request-id")),
                            request);
                }
            }
        }
    }

    /** Guards against a deadline, wait or slow start that goes by a clock that somebody sets. */
    @Test
    void wallClockStepsMoveNoDeadlineAndNoSlowStart() throws Exception {
        try (StubUpstream discovery = new StubUpstream(StubUpstream.SILENT);
                StubUpstream a = new StubUpstream(KEEPS);
                StubUpstream b = new StubUpstream(KEEPS);
                StubUpstream silent = new StubUpstream(StubUpstream.SILENT);
                SidecarProcess sidecar = start(discovery, a, b, silent);
                ClosedLoopClients clients =
                        new ClosedLoopClients(
                                sidecar.address(),
                                CLIENTS,
                                1,
                                client -> TestClient.request("pay", "1.0"))) {
            for (long hours : new long[] {1, -1, 0, -1, 1}) {
                awaitMore(clients, ENOUGH / 8);
                faults.stepWallClock(hours, TimeUnit.HOURS);
            }
            awaitMore(clients, ENOUGH / 8);
            List<ClosedLoopClients.Asked> asked = clients.end();
            assertEquals(List.of(), unanswered(asked), sidecar.log());
            long latest = TimeUnit.SECONDS.toMillis(1) + SLACK_MILLIS;
            assertEquals(
                    List.of(), asked.stream().filter(each -> each.tookMillis() > latest).toList());
            assertEquals(0, sidecar.metric("event_loop_stalls"), sidecar.log());
            assertTrue(silent.requests.size() > 0, "some waited for their deadline");
        }
    }
}
