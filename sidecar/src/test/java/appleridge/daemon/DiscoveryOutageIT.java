package appleridge.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.daemon.ClosedLoopClients.SentRequest;
import appleridge.daemon.OutageAgent.Outage;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Outages of a discovery agent that lists are pushed to. What the agent has counts as notified from
 * the first moment of a process, whether or not the agent answers; a drain that a process may have
 * missed must be kept all the same. Runs the packaged jar.
 */
@Timeout(120)
class DiscoveryOutageIT {
    /** The slack of each time limit, and the time for which a sidecar may be held up. */
    private static final long SLACK_MILLIS = 200;

    /** After SIGHUP, what the new agent has counts as notified this much later. */
    private static final long RELOAD_MILLIS = 4000;

    /** The longest time in which a sidecar has to become ready. */
    private static final long MAX_READY_MILLIS = 6000;

    private static final long REQUEST_MILLIS = 400;
    private static final int CLIENTS = 2;
    private static final StubUpstream.Script GOOD =
            StubUpstream.respondWith(StubUpstream.response("200 OK", "fine"));

    @TempDir private Path folder;
    private final ProcessFixture fixture = new ProcessFixture();
    private StubUpstream draining;
    private StubUpstream other;

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    private void openUpstreams() throws IOException {
        draining = fixture.open(new StubUpstream(GOOD));
        other = fixture.open(new StubUpstream(GOOD));
    }

    private String[] targets(String stateOfFirst) {
        return new String[] {
            LoopbackSidecar.target("u0", draining.address(), stateOfFirst),
            LoopbackSidecar.target("u1", other.address(), "Ready")
        };
    }

    private String json(StubUpstream discovery, long graceMillis, String... known) {
        return LoopbackSidecar.json(
                        LoopbackSidecar.SettingValues.DEFAULT, discovery.address(), known)
                .replace("\"discovery\":\"subscribe\"", "\"discovery\":\"automatic\"")
                .replaceAll("\"askWithin\":[0-9]*,", "")
                .replace(
                        "\"stopSendingWithin\":2000000000",
                        "\"stopSendingWithin\":" + TimeUnit.MILLISECONDS.toNanos(graceMillis));
    }

    private StubUpstream discovery(OutageAgent agent) throws IOException {
        return fixture.open(new StubUpstream(agent));
    }

    private ClosedLoopClients startClients(SidecarProcess sidecar) {
        return fixture.open(
                new ClosedLoopClients(
                        sidecar.address(),
                        CLIENTS,
                        20,
                        number -> TestClient.request("read", "0.400")));
    }

    private static long after(long nanos, long millis) {
        return nanos + TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private static void sleepUntil(long nanos) throws InterruptedException {
        TimeUnit.NANOSECONDS.sleep(Math.max(0, nanos - System.nanoTime()));
    }

    private static void awaitServed(ClosedLoopClients clients) throws InterruptedException {
        int from = clients.sentRequests().size();
        long until = after(System.nanoTime(), TimeUnit.SECONDS.toMillis(10));
        while (clients.count(from, 200) == 0) {
            assertTrue(System.nanoTime() < until, "no request is served after the outage");
            Thread.sleep(5);
        }
    }

    private static void awaitRejected(ClosedLoopClients clients, int fromIndex)
            throws InterruptedException {
        long until = after(System.nanoTime(), TimeUnit.SECONDS.toMillis(10));
        while (clients.count(fromIndex, 503) < 20) {
            assertTrue(System.nanoTime() < until, "requests are not rejected in the outage");
            Thread.sleep(5);
        }
    }

    private static long begunAfter(StubUpstream upstream, long nanos) {
        return upstream.begunAtNanos().values().stream().filter(at -> at > nanos).count();
    }

    private static Map<Integer, Long> counts(List<SentRequest> requests) {
        return requests.stream()
                .collect(
                        Collectors.groupingBy(
                                SentRequest::status, TreeMap::new, Collectors.counting()));
    }

    private static List<SentRequest> withStatus(List<SentRequest> requests, int status) {
        return requests.stream().filter(each -> each.status() == status).toList();
    }

    /**
     * Each client gets its answer, and those that are rejected get it while there is time for
     * another try: most in less than half of their time.
     */
    private static void assertRejectedSoon(List<SentRequest> requests) {
        List<SentRequest> rejected = withStatus(requests, 503);
        long soon =
                rejected.stream()
                        .filter(each -> each.durationMillis() < REQUEST_MILLIS / 2)
                        .count();
        assertTrue(soon > rejected.size() / 2, "of " + rejected.size() + " soon: " + soon);
        assertEquals(List.of(), withStatus(requests, ClosedLoopClients.NO_ANSWER));
        assertEquals(List.of(), withStatus(requests, 504));
    }

    /**
     * Guards against a new process that sends by its cached list, after some time-out, to a host
     * whose drain its agent has and does not tell.
     */
    @ParameterizedTest
    @CsvSource({
        "SILENT, 700, 3500",
        "RESETS_CALLS, 300, 2500",
        "SERVER_ERRORS, 700, 3000",
        "BROKEN_LISTS, 1000, 3000",
        "HALF_RESPONSES, 300, 3000",
        "SILENT, 250, 7500",
    })
    void newProcessDoesNotSendToAHostWhoseDrainItMayHaveMissed(
            Outage outage, long graceMillis, long outageMillis) throws Exception {
        openUpstreams();
        OutageAgent agent = new OutageAgent(2, targets("Terminating"));
        agent.beginOutage(outage);
        String json = json(discovery(agent), graceMillis, targets("Ready"));
        long startedAt = System.nanoTime();
        SidecarProcess sidecar = fixture.open(SidecarProcess.launch(folder, json, Map.of()));
        ClosedLoopClients clients = startClients(sidecar);
        sidecar.awaitReady();
        int sentBeforeReady = clients.sentRequests().size();
        sleepUntil(after(startedAt, outageMillis));
        long limit = after(startedAt, graceMillis + SLACK_MILLIS);
        assertEquals(0, begunAfter(draining, limit), "sent in the outage to the draining host");
        awaitRejected(clients, sentBeforeReady);
        agent.endOutage();
        awaitServed(clients);
        List<SentRequest> requests = clients.finish();
        assertEquals(0, begunAfter(draining, limit), "sent to the draining host");
        assertTrue(begunAfter(other, limit) > 0);
        assertRejectedSoon(requests.subList(sentBeforeReady, requests.size()));
        assertTrue(
                sidecar.log().contains("reason=endpoint_list_stale"), "the reason is in the log");
    }

    /** Guards against a sidecar that is not ready as long as its agent is silent. */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void sidecarBecomesReadyDuringALongOutage(boolean withCachedList) throws Exception {
        openUpstreams();
        OutageAgent agent = new OutageAgent(2, targets("Ready"));
        agent.beginOutage(Outage.SILENT);
        String[] known = withCachedList ? targets("Ready") : new String[0];
        long startedAt = System.nanoTime();
        SidecarProcess sidecar =
                fixture.open(
                        SidecarProcess.launch(
                                folder, json(discovery(agent), 250, known), Map.of()));
        sidecar.awaitReady();
        assertTrue(System.nanoTime() < after(startedAt, MAX_READY_MILLIS), "ready too late");
        ClosedLoopClients clients = startClients(sidecar);
        awaitRejected(clients, 0);
        assertEquals(0, clients.count(0, 200));
        agent.endOutage();
        awaitServed(clients);
        assertRejectedSoon(clients.finish());
    }

    /** Guards against requests that are rejected although the drain grace is not over. */
    @Test
    void newProcessServesByItsCachedListWithinTheDrainGrace() throws Exception {
        openUpstreams();
        OutageAgent agent = new OutageAgent(1, targets("Ready"));
        agent.beginOutage(Outage.SILENT);
        SidecarProcess sidecar =
                fixture.open(
                        SidecarProcess.launch(
                                folder,
                                json(discovery(agent), 10_000, targets("Ready")),
                                Map.of()));
        sidecar.awaitReady();
        ClosedLoopClients clients = startClients(sidecar);
        Thread.sleep(1000);
        List<SentRequest> requests = clients.finish();
        assertTrue(requests.size() > 10);
        assertEquals(Map.of(200, (long) requests.size()), counts(requests));
    }

    /**
     * Guards against a sidecar that stops to serve in an outage although it knows the list: it
     * heard all that its agent had, and an agent that fails learns nothing.
     */
    @ParameterizedTest
    @CsvSource({
        "SILENT, 300, 4000, 0",
        "RESETS_CALLS, 2000, 3000, 0",
        "SERVER_ERRORS, 2000, 3000, 0",
        "HALF_RESPONSES, 2000, 3000, 0",
        "SILENT, 300, 3000, 450",
        "RESETS_CALLS, 2000, 3000, 600",
    })
    void sidecarThatRunsOnServesThroughAnOutage(
            Outage outage, long graceMillis, long outageMillis, long pauseMillis) throws Exception {
        openUpstreams();
        OutageAgent agent = new OutageAgent(1, targets("Ready"));
        SidecarProcess sidecar =
                fixture.open(
                        SidecarProcess.start(
                                folder,
                                json(discovery(agent), graceMillis, targets("Ready")),
                                Map.of()));
        ClosedLoopClients clients =
                fixture.open(
                        new ClosedLoopClients(
                                sidecar.address(),
                                CLIENTS,
                                20,
                                number -> TestClient.request("read", "2.000")));
        awaitServed(clients);
        agent.beginOutage(outage);
        Thread.sleep(outageMillis / 2);
        if (pauseMillis > 0) {
            sidecar.pause(pauseMillis);
        }
        Thread.sleep(outageMillis / 2);
        List<SentRequest> requests = clients.finish();
        assertEquals(Map.of(200, (long) requests.size()), counts(requests), sidecar.log());
    }

    /**
     * Guards against a sidecar that takes the agent's silence after a stall for proof that it
     * missed nothing: the agent was back during the stall, and had a drain.
     */
    @Test
    void stallInWhichTheAgentMayHaveBeenBackEndsTheTrustInTheList() throws Exception {
        openUpstreams();
        OutageAgent agent = new OutageAgent(1, targets("Ready"));
        SidecarProcess sidecar =
                fixture.open(
                        SidecarProcess.start(
                                folder, json(discovery(agent), 300, targets("Ready")), Map.of()));
        ClosedLoopClients clients = startClients(sidecar);
        awaitServed(clients);
        agent.beginOutage(Outage.RESETS_CALLS);
        Thread.sleep(500);
        sidecar.signal("STOP");
        agent.setList(2, targets("Terminating"));
        agent.endOutage();
        long drainedAt = System.nanoTime();
        Thread.sleep(1500);
        agent.beginOutage(Outage.RESETS_CALLS);
        sidecar.signal("CONT");
        Thread.sleep(2000);
        agent.endOutage();
        awaitServed(clients);
        clients.finish();
        assertEquals(0, begunAfter(draining, after(drainedAt, 300 + SLACK_MILLIS)));
    }

    /**
     * Guards against a sidecar that goes by the old agent's list for as long as the agent of a new
     * configuration is silent.
     */
    @Test
    void newAgentThatIsSilentAfterAReloadEndsTheTrustInTheOldList() throws Exception {
        openUpstreams();
        OutageAgent oldAgent = new OutageAgent(1, targets("Ready"));
        OutageAgent newAgent = new OutageAgent(5, targets("Terminating"));
        newAgent.beginOutage(Outage.SILENT);
        SidecarProcess sidecar =
                fixture.open(
                        SidecarProcess.start(
                                folder,
                                json(discovery(oldAgent), 300, targets("Ready")),
                                Map.of()));
        ClosedLoopClients clients = startClients(sidecar);
        awaitServed(clients);
        sidecar.reload(json(discovery(newAgent), 300, targets("Ready")));
        long reloadedAt = System.nanoTime();
        int sentBefore = clients.sentRequests().size();
        sleepUntil(after(reloadedAt, RELOAD_MILLIS - 500));
        assertEquals(0, clients.count(sentBefore, 503), "rejected too early");
        sleepUntil(after(reloadedAt, RELOAD_MILLIS + 2000));
        newAgent.endOutage();
        awaitServed(clients);
        clients.finish();
        assertEquals(
                0, begunAfter(draining, after(reloadedAt, RELOAD_MILLIS + 300 + SLACK_MILLIS)));
    }
}
