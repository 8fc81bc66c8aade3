package appleridge.testbed.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class OrderServerTest {
    private static final long MS = Site.MS;
    private static final long WORK_NANOS = 40 * MS;
    private static final long RESPONSE_WAIT = 200 * MS;

    private static ServerFixture fixture(String sizes) {
        ServerFixture fixture = new ServerFixture(sizes);
        for (int i = 0; i < 50; i++) {
            fixture.addRequest("r" + i, 0, null, WORK_NANOS);
        }
        return fixture.addRequest("k1", 2, "key", WORK_NANOS)
                .addRequest("k2", 2, "key", WORK_NANOS)
                .addRequest("h1", 1, "hold", WORK_NANOS)
                .addRequest("h2", 1, "hold", WORK_NANOS);
    }

    private static String body(String answer) {
        return answer.substring(answer.indexOf("\r\n\r\n") + 4);
    }

    @Test
    void aResponseNamesItsServerAndItsRequest() {
        ServerFixture fixture = fixture("");
        ServerFixture.Connection connection =
                fixture.connectToServer(0).send(ServerFixture.get("r1"));
        assertEquals("", connection.receive(20 * MS));
        String answer = connection.receive(RESPONSE_WAIT);
        assertTrue(answer.startsWith("HTTP/1.1 200 OK\r\n"), answer);
        assertTrue(answer.contains("X-Load: rate="), answer);
        assertEquals("s0.0/0/1/r1", body(answer));
        assertEquals("r1", fixture.recorder.made.get("s0.0/0/1/r1"));
        assertEquals(List.of("r1"), fixture.recorder.arrived);
    }

    @Test
    void connectionsAreKeptAliveUntilTheIdleTimeout() {
        ServerFixture fixture = fixture("set server-idle 1");
        ServerFixture.Connection connection =
                fixture.connectToServer(0).send(ServerFixture.get("r1"));
        assertTrue(connection.receive(RESPONSE_WAIT).contains("/r1"));
        assertTrue(connection.send(ServerFixture.get("r2")).receive(RESPONSE_WAIT).contains("/r2"));
        connection.receive(900 * MS);
        assertTrue(connection.isClosed());
    }

    @Test
    void requestsThatNoClientSentAreRejected() {
        ServerFixture fixture = fixture("");
        assertTrue(
                fixture.connectToServer(0)
                        .send(ServerFixture.get("who"))
                        .receive(RESPONSE_WAIT)
                        .contains(" 400 "));
        assertTrue(
                fixture.connectToServer(0)
                        .send("GET /api HTTP/1.1\r\n\r\n")
                        .receive(RESPONSE_WAIT)
                        .contains(" 404 "));
        assertTrue(
                fixture.connectToServer(0)
                        .send(ServerFixture.post("r1", null))
                        .receive(RESPONSE_WAIT)
                        .contains(" 400 "));
        assertEquals(List.of("who", "r1"), fixture.recorder.arrived);
        ServerFixture.Connection noise = fixture.connectToServer(0).send("what\r\n\r\n");
        noise.receive(RESPONSE_WAIT);
        assertTrue(noise.isClosed());
    }

    @Test
    void requestsBeyondCoresAndQueueAreRejected() {
        ServerFixture fixture = fixture("set cores 1\nset queue 2");
        for (int i = 0; i < 5; i++) {
            fixture.connectToServer(0).send(ServerFixture.get("r" + i));
        }
        fixture.advance(RESPONSE_WAIT * 2);
        assertEquals(2, fixture.recorder.notRun.size());
        assertEquals(3, fixture.recorder.made.size());
    }

    @Test
    void duplicateKeysAreDroppedWithinTheirScopeAndWindow() {
        ServerFixture fixture = fixture("set cores 1");
        assertTrue(
                fixture.connectToServer(0)
                        .send(ServerFixture.post("k1", "key"))
                        .receive(RESPONSE_WAIT)
                        .contains(" 200 "));
        assertTrue(
                fixture.connectToServer(1)
                        .send(ServerFixture.post("k2", "key"))
                        .receive(5 * MS)
                        .contains(" 200 "),
                "a duplicate costs no work");
        assertTrue(
                fixture.connectToServer(0)
                        .send(ServerFixture.post("h1", "hold"))
                        .receive(RESPONSE_WAIT)
                        .contains(" 200 "));
        assertEquals(
                "",
                fixture.connectToServer(1).send(ServerFixture.post("h2", "hold")).receive(5 * MS),
                "another zone processes it again");
        fixture.advance(8 * Site.SECOND);
        assertEquals(
                "",
                fixture.connectToServer(1).send(ServerFixture.post("k1", "key")).receive(5 * MS),
                "after the window it is processed again");
    }

    @Test
    void requestsPastTheirDeadlineMayBeDropped() {
        ServerFixture fixture = fixture("set cores 1\nset drops-expired 1");
        for (int i = 0; i < 20; i++) {
            fixture.connectToServer(0).send(ServerFixture.get("r" + i));
        }
        fixture.advance(2 * Site.SECOND);
        assertTrue(fixture.recorder.notRun.size() > 3, fixture.recorder.notRun.toString());
        assertEquals(20, fixture.recorder.notRun.size() + fixture.recorder.made.size());
    }

    @Test
    void aDrainFinishesOpenRequestsAndRejectsNewOnes() {
        ServerFixture fixture = fixture("set notice 0.5");
        ServerFixture.Connection first = fixture.connectToServer(0).send(ServerFixture.get("r1"));
        ServerFixture.Connection second = fixture.connectToServer(0);
        fixture.machine(0).drain(Site.SECOND, 0);
        String refused = second.send(ServerFixture.get("r2")).receive(10 * MS);
        assertTrue(second.isClosed() || refused.contains("X-Not-Run: 1"), refused);
        assertTrue(first.receive(RESPONSE_WAIT).contains("/r1"));
        fixture.advance(6 * Site.SECOND);
        assertTrue(fixture.recorder.servers.contains("s0.0 0 Gone"));
        assertTrue(fixture.recorder.servers.contains("s0.1 0 Ready born"));
        assertTrue(first.isClosed());
    }

    @Test
    void aCrashResetsConnectionsAndTheRestartedServerListensAtTheSameAddress() {
        ServerFixture fixture = fixture("");
        ServerFixture.Connection connection =
                fixture.connectToServer(0).send(ServerFixture.get("r1"));
        fixture.machine(0).crash(Site.SECOND, true);
        fixture.advance(10 * MS);
        assertTrue(connection.isClosed());
        assertTrue(fixture.connectToServer(0).hasConnectFailed());
        fixture.advance(Site.SECOND);
        assertTrue(
                fixture.connectToServer(0)
                        .send(ServerFixture.get("r2"))
                        .receive(RESPONSE_WAIT)
                        .contains("s0.0/1/1/r2"));
    }

    @Test
    void aColdServerIsSlowAndCollapsesWhenOverloaded() {
        ServerFixture fixture = fixture("set cores 1");
        fixture.machine(0).crash(0, false);
        fixture.advance(10 * MS);
        assertEquals("", fixture.connectToServer(0).send(ServerFixture.get("r1")).receive(60 * MS));
        for (int i = 2; i < 50; i++) {
            fixture.addRequest("r" + i, 0, null, 100 * MS);
            fixture.connectToServer(0).send(ServerFixture.get("r" + i));
        }
        assertEquals(List.of("s0.1"), fixture.recorder.collapsed);
        assertTrue(fixture.connectToServer(0).hasConnectFailed());
        fixture.advance(2 * Site.SECOND);
        assertTrue(
                fixture.connectToServer(0).hasConnectFailed(),
                "stays down while there may be faults");
        fixture.advance(8 * Site.SECOND);
        assertFalse(fixture.connectToServer(0).hasConnectFailed());
    }

    @Test
    void aWarmServerNeverCollapses() {
        ServerFixture fixture = fixture("set cores 1");
        for (int i = 0; i < 50; i++) {
            fixture.addRequest("r" + i, 0, null, 500 * MS);
            fixture.connectToServer(0).send(ServerFixture.get("r" + i));
        }
        assertTrue(fixture.recorder.collapsed.isEmpty());
    }

    @Test
    void injectedFaultsHaveTheirEffects() {
        ServerFixture fixture = fixture("");
        OrderServer server = fixture.machine(0).server();
        server.hang(Site.SECOND);
        ServerFixture.Connection connection =
                fixture.connectToServer(0).send(ServerFixture.get("r1"));
        assertEquals("", connection.receive(900 * MS));
        assertEquals(List.of("r1"), fixture.recorder.arrived);
        assertTrue(connection.receive(RESPONSE_WAIT).contains("/r1"));
        server.full(Site.SECOND);
        assertTrue(
                connection
                        .send(ServerFixture.get("r2"))
                        .receive(RESPONSE_WAIT)
                        .contains("X-Not-Run: 1"));
        fixture.advance(Site.SECOND);
        server.fail(Site.SECOND, 1);
        assertTrue(
                connection.send(ServerFixture.get("r3")).receive(RESPONSE_WAIT).contains("sorry"));
        server.closeIdle();
        fixture.advance(10 * MS);
        assertTrue(connection.isClosed());
        fixture.advance(Site.SECOND);
        server.backlog(Site.SECOND);
        ServerFixture.Connection waits = fixture.connectToServer(0).send(ServerFixture.get("r4"));
        assertEquals("", waits.receive(500 * MS));
        assertTrue(waits.receive(Site.SECOND).contains("/r4"));
        server.slow(Site.SECOND, 10);
        assertEquals("", waits.send(ServerFixture.get("r5")).receive(RESPONSE_WAIT));
        assertTrue(waits.receive(Site.SECOND).contains("/r5"));
    }

    @Test
    void requestsOnConnectionsBeyondTheLimitAreRejected() {
        ServerFixture fixture = fixture("set connections 2");
        fixture.connectToServer(0);
        fixture.connectToServer(0);
        ServerFixture.Connection third = fixture.connectToServer(0).send(ServerFixture.get("r1"));
        assertTrue(third.receive(RESPONSE_WAIT).contains("X-Not-Run: 1"));
        assertTrue(third.isClosed());
    }

    @Test
    void aVanishedMachineIsSilentAndComesBackWithoutItsConnections() {
        ServerFixture fixture = fixture("");
        ServerFixture.Connection connection =
                fixture.connectToServer(0).send(ServerFixture.get("r1"));
        fixture.machine(0).isolate(Site.SECOND);
        assertEquals("", connection.receive(500 * MS));
        assertFalse(connection.isClosed());
        fixture.advance(Site.SECOND);
        connection.send(ServerFixture.get("r2")).receive(RESPONSE_WAIT);
        assertTrue(connection.isClosed());
        assertTrue(
                fixture.connectToServer(0)
                        .send(ServerFixture.get("r3"))
                        .receive(RESPONSE_WAIT)
                        .contains("/r3"));
    }

    @Test
    void loadReportsCanBeAbsentOrUnreadable() {
        ServerFixture fixture = fixture("");
        OrderServer server = fixture.machine(0).server();
        server.report(Site.SECOND, LoadReportQuality.ABSENT);
        assertFalse(
                fixture.connectToServer(0)
                        .send(ServerFixture.get("r1"))
                        .receive(RESPONSE_WAIT)
                        .contains("X-Load"));
        server.report(Site.SECOND, LoadReportQuality.UNREADABLE);
        assertTrue(
                fixture.connectToServer(0)
                        .send(ServerFixture.get("r2"))
                        .receive(RESPONSE_WAIT)
                        .contains("X-Load"));
    }

    @Test
    void corruptedResponsesNeverMatchAProcessedRequest() {
        for (ResponseCorruption each : ResponseCorruption.values()) {
            ServerFixture fixture = fixture("");
            fixture.day.sentRequests.corruptResponse("r1", each);
            ServerFixture.Connection connection =
                    fixture.connectToServer(0).send(ServerFixture.get("r1"));
            String answer = connection.receive(Site.SECOND);
            assertEquals(
                    each == ResponseCorruption.PAUSES,
                    fixture.recorder.made.containsKey(body(answer)),
                    each.name());
            assertFalse(answer.isEmpty(), each.name());
            fixture.day.sentRequests.takeCorruption("r1");
        }
    }

    @Test
    void extrasAccompanyAValidResponse() {
        for (ResponseExtra each : ResponseExtra.values()) {
            if (each == ResponseExtra.EARLY) {
                continue;
            }
            ServerFixture fixture = fixture("");
            fixture.day.sentRequests.addExtra("r1", each);
            ServerFixture.Connection connection =
                    fixture.connectToServer(0).send(ServerFixture.get("r1"));
            String answer = connection.receive(Site.SECOND);
            assertTrue(answer.contains("s0.0/0/1/r1"), answer);
            assertEquals(
                    each == ResponseExtra.INTERIM || each == ResponseExtra.INTERIMS,
                    answer.startsWith("HTTP/1.1 10"),
                    each.name());
            assertEquals(
                    each == ResponseExtra.COPY ? 3 : 2,
                    answer.split("200 OK", -1).length,
                    each.name());
            assertEquals(each == ResponseExtra.CLOSES, connection.isClosed(), each.name());
        }
    }

    @Test
    void aResponseCanBeSentBeforeTheWholeRequestHasArrived() {
        ServerFixture fixture = fixture("");
        fixture.day.sentRequests.addExtra("k1", ResponseExtra.EARLY);
        String request = ServerFixture.post("k1", "key");
        ServerFixture.Connection connection =
                fixture.connectToServer(0).send(request.substring(0, request.length() - 2));
        assertTrue(connection.receive(RESPONSE_WAIT).startsWith("HTTP/1.1 "));
        assertTrue(fixture.recorder.arrived.isEmpty());
        connection.send(request.substring(request.length() - 2)).receive(RESPONSE_WAIT);
        assertEquals(List.of("k1"), fixture.recorder.arrived);
    }
}
