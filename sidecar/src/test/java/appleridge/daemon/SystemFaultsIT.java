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

/** A sidecar process under random failures of system calls and steps of the wall clock. */
@Timeout(120)
class SystemFaultsIT {
    private static final int CLIENTS = 4;
    private static final int REQUESTS_PER_PHASE = 400;
    private static final int FAULTS_PER_MILLE = 300;

    /** Minimum percentage of requests that are served although each attempt may fail. */
    private static final int MIN_SERVED_PERCENT = 90;

    /** Tolerance beyond a request's time-out, for processes that wait for a core. */
    private static final long SLACK_MILLIS = 500;

    private static final StubUpstream.Script KEEP_ALIVE =
            StubUpstream.respondWith(StubUpstream.response("200 OK", "fine"));

    /** Closes the connection after each response, so that each request needs a new one. */
    private static final StubUpstream.Script CLOSE =
            (socket, request) -> {
                StubUpstream.write(
                        socket, StubUpstream.response("200 OK", "fine", "Connection: close"));
                return false;
            };

    private static final IntFunction<String> READ_REQUESTS =
            client -> TestClient.request("read", "2.0");

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

    /** Waits until this many more requests have ended. */
    private static void awaitMore(ClosedLoopClients clients, int requests)
            throws InterruptedException {
        int target = clients.sentRequests().size() + requests;
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(LoopbackSidecar.TIMEOUT_SECONDS);
        while (clients.sentRequests().size() < target && System.nanoTime() < until) {
            Thread.sleep(5);
        }
        assertTrue(
                clients.sentRequests().size() >= target,
                "too few requests ended within the time-out");
    }

    private static List<ClosedLoopClients.SentRequest> unanswered(
            List<ClosedLoopClients.SentRequest> asked) {
        return asked.stream().filter(each -> each.status() <= 0).toList();
    }

    private static void assertMostServed(List<ClosedLoopClients.SentRequest> asked) {
        long served = asked.stream().filter(each -> each.status() == 200).count();
        assertTrue(
                100 * served >= MIN_SERVED_PERCENT * asked.size(),
                served + " served of " + asked.size());
    }

    /** Guards against an interrupted system call that is treated as the end of the connection. */
    @Test
    void interruptedSystemCallsFailNoConnection() throws Exception {
        try (StubUpstream discovery = new StubUpstream(StubUpstream.SILENT);
                StubUpstream closes = new StubUpstream(CLOSE);
                StubUpstream keeps = new StubUpstream(KEEP_ALIVE);
                SidecarProcess sidecar = start(discovery, closes, keeps);
                ClosedLoopClients clients =
                        new ClosedLoopClients(sidecar.address(), CLIENTS, 1, READ_REQUESTS)) {
            awaitMore(clients, REQUESTS_PER_PHASE);
            faults.fail(SystemFaults.Fault.WAIT, FAULTS_PER_MILLE, SystemFaults.EINTR);
            faults.fail(SystemFaults.Fault.READ_WRITE, FAULTS_PER_MILLE, SystemFaults.EINTR);
            awaitMore(clients, REQUESTS_PER_PHASE);
            List<ClosedLoopClients.SentRequest> asked = clients.finish();
            assertTrue(faults.count(SystemFaults.Fault.WAIT) > 0);
            assertTrue(faults.count(SystemFaults.Fault.READ_WRITE) > 0);
            assertEquals(List.of(), unanswered(asked), sidecar.log());
            assertFalse(sidecar.log().contains("attempt.ended"), sidecar.log());
            assertFalse(sidecar.log().contains(" ejected: "), sidecar.log());
            assertMostServed(asked);
        }
    }

    /** Guards against a healthy upstream that is ejected because this machine lacks resources. */
    @ParameterizedTest
    @ValueSource(ints = {SystemFaults.EADDRNOTAVAIL, SystemFaults.ENOBUFS})
    void connectFailureForLackOfLocalResourcesEjectsNoUpstream(int errno) throws Exception {
        try (StubUpstream discovery = new StubUpstream(StubUpstream.SILENT);
                StubUpstream a = new StubUpstream(CLOSE);
                StubUpstream b = new StubUpstream(CLOSE);
                StubUpstream c = new StubUpstream(CLOSE);
                SidecarProcess sidecar = start(discovery, a, b, c);
                ClosedLoopClients clients =
                        new ClosedLoopClients(sidecar.address(), CLIENTS, 1, READ_REQUESTS)) {
            faults.fail(SystemFaults.Fault.CONNECT, FAULTS_PER_MILLE, errno);
            awaitMore(clients, REQUESTS_PER_PHASE);
            List<ClosedLoopClients.SentRequest> asked = clients.finish();
            assertTrue(faults.count(SystemFaults.Fault.CONNECT) > 0);
            assertEquals(List.of(), unanswered(asked), sidecar.log());
            assertFalse(sidecar.log().contains(" ejected: "), sidecar.log());
            assertMostServed(asked);
        }
    }

    /**
     * Guards against connections that stay unaccepted or are closed because of a transient failure.
     */
    @Test
    void failedAcceptsAndShortReadsLoseNoRequest() throws Exception {
        IntFunction<String> closing =
                client -> TestClient.request("read", "2.0", "Connection: close");
        try (StubUpstream discovery = new StubUpstream(StubUpstream.SILENT);
                StubUpstream a = new StubUpstream(CLOSE);
                StubUpstream b = new StubUpstream(KEEP_ALIVE);
                SidecarProcess sidecar = start(discovery, a, b);
                ClosedLoopClients clients =
                        new ClosedLoopClients(sidecar.address(), CLIENTS, 1, closing)) {
            faults.fail(SystemFaults.Fault.SHORT, FAULTS_PER_MILLE, 0);
            faults.fail(SystemFaults.Fault.SOCKET, FAULTS_PER_MILLE / 3, SystemFaults.ENOBUFS);
            for (int errno :
                    List.of(SystemFaults.ENFILE, SystemFaults.ECONNABORTED, SystemFaults.ENOBUFS)) {
                faults.fail(SystemFaults.Fault.ACCEPT, FAULTS_PER_MILLE / 3, errno);
                awaitMore(clients, REQUESTS_PER_PHASE / 4);
            }
            List<ClosedLoopClients.SentRequest> asked = clients.finish();
            assertTrue(faults.count(SystemFaults.Fault.ACCEPT) > 0);
            assertTrue(faults.count(SystemFaults.Fault.SOCKET) > 0);
            assertTrue(faults.count(SystemFaults.Fault.SHORT) > 0);
            assertEquals(List.of(), unanswered(asked), sidecar.log());
            assertMostServed(asked);
        }
    }

    /** Guards against a request that runs twice or is lost when its connection fails. */
    @ParameterizedTest
    @ValueSource(ints = {SystemFaults.ETIMEDOUT, SystemFaults.EHOSTUNREACH})
    void failedConnectionRunsNoRequestTwice(int errno) throws Exception {
        IntFunction<String> both =
                client -> TestClient.request(client % 2 == 0 ? "read" : "pay", "2.0");
        try (StubUpstream discovery = new StubUpstream(StubUpstream.SILENT);
                StubUpstream a = new StubUpstream(KEEP_ALIVE);
                StubUpstream b = new StubUpstream(KEEP_ALIVE);
                SidecarProcess sidecar = start(discovery, a, b);
                ClosedLoopClients clients =
                        new ClosedLoopClients(sidecar.address(), CLIENTS, 1, both)) {
            awaitMore(clients, REQUESTS_PER_PHASE / 4);
            faults.breakConnectionsTo(SidecarConfig.literalAddress(a.address()).getPort());
            faults.fail(SystemFaults.Fault.BREAK, FAULTS_PER_MILLE / 3, errno);
            awaitMore(clients, REQUESTS_PER_PHASE);
            List<ClosedLoopClients.SentRequest> asked = clients.finish();
            assertTrue(faults.count(SystemFaults.Fault.BREAK) > 0);
            assertEquals(List.of(), unanswered(asked), sidecar.log());
            Set<String> ran = new HashSet<>();
            for (StubUpstream upstream : List.of(a, b)) {
                for (String request : upstream.requests) {
                    boolean nonIdempotent = request.startsWith("POST");
                    assertTrue(
                            !nonIdempotent || ran.add(StubUpstream.header(request, "x-request-id")),
                            request);
                }
            }
        }
    }

    /** Guards against deadlines, waits and slow starts that depend on the wall clock. */
    @Test
    void wallClockStepsDoNotAffectDeadlinesOrSlowStart() throws Exception {
        try (StubUpstream discovery = new StubUpstream(StubUpstream.SILENT);
                StubUpstream a = new StubUpstream(KEEP_ALIVE);
                StubUpstream b = new StubUpstream(KEEP_ALIVE);
                StubUpstream silent = new StubUpstream(StubUpstream.SILENT);
                SidecarProcess sidecar = start(discovery, a, b, silent);
                ClosedLoopClients clients =
                        new ClosedLoopClients(
                                sidecar.address(),
                                CLIENTS,
                                1,
                                client -> TestClient.request("pay", "1.0"))) {
            for (long hours : new long[] {1, -1, 0, -1, 1}) {
                awaitMore(clients, REQUESTS_PER_PHASE / 8);
                faults.stepWallClock(hours, TimeUnit.HOURS);
            }
            awaitMore(clients, REQUESTS_PER_PHASE / 8);
            List<ClosedLoopClients.SentRequest> asked = clients.finish();
            assertEquals(List.of(), unanswered(asked), sidecar.log());
            long latest = TimeUnit.SECONDS.toMillis(1) + SLACK_MILLIS;
            assertEquals(
                    List.of(),
                    asked.stream().filter(each -> each.durationMillis() > latest).toList());
            assertEquals(0, sidecar.metric("event_loop_stalls"), sidecar.log());
            assertTrue(silent.requests.size() > 0, "no request waited for its deadline");
        }
    }
}
