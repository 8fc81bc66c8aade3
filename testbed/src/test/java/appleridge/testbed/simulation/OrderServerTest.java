package appleridge.testbed.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class OrderServerTest {
    private static final long MS = Site.MS;
    private static final long WORK = 40 * MS;
    private static final long LONG = 200 * MS;

    private static ServerFixture fixture(String sizes) {
        ServerFixture fixture = new ServerFixture(sizes);
        for (int i = 0; i < 50; i++) {
            fixture.knows("r" + i, 0, null, WORK);
        }
        return fixture.knows("k1", 2, "key", WORK)
                .knows("k2", 2, "key", WORK)
                .knows("h1", 1, "hold", WORK)
                .knows("h2", 1, "hold", WORK);
    }

    private static String body(String answer) {
        return answer.substring(answer.indexOf("\r\n\r\n") + 4);
    }

    @Test
    void aGoodAnswerSaysWhoMadeItForWhom() {
        ServerFixture fixture = fixture("");
        ServerFixture.Line line = fixture.toServer(0).say(ServerFixture.get("r1"));
        assertEquals("", line.hear(20 * MS));
        String answer = line.hear(LONG);
        assertTrue(answer.startsWith("HTTP/1.1 200 OK\r\n"), answer);
        assertTrue(answer.contains("X-Load: rate="), answer);
        assertEquals("s0.0/0/1/r1", body(answer));
        assertEquals("r1", fixture.recorder.made.get("s0.0/0/1/r1"));
        assertEquals(List.of("r1"), fixture.recorder.arrived);
    }

    @Test
    void connectionsAreKeptAndClosedWhenIdleForLong() {
        ServerFixture fixture = fixture("set server-idle 1");
        ServerFixture.Line line = fixture.toServer(0).say(ServerFixture.get("r1"));
        assertTrue(line.hear(LONG).contains("/r1"));
        assertTrue(line.say(ServerFixture.get("r2")).hear(LONG).contains("/r2"));
        line.hear(900 * MS);
        assertTrue(line.isEnded());
    }

    @Test
    void whatNoClientSentIsTurnedDown() {
        ServerFixture fixture = fixture("");
        assertTrue(fixture.toServer(0).say(ServerFixture.get("who")).hear(LONG).contains(" 400 "));
        assertTrue(
                fixture.toServer(0).say("GET /api HTTP/1.1\r\n\r\n").hear(LONG).contains(" 404 "));
        assertTrue(
                fixture.toServer(0)
                        .say(ServerFixture.post("r1", null))
                        .hear(LONG)
                        .contains(" 400 "));
        assertEquals(List.of("who", "r1"), fixture.recorder.arrived);
        ServerFixture.Line noise = fixture.toServer(0).say("what\r\n\r\n");
        noise.hear(LONG);
        assertTrue(noise.isEnded());
    }

    @Test
    void coresAreFewAndTheQueueIsBounded() {
        ServerFixture fixture = fixture("set cores 1\nset queue 2");
        for (int i = 0; i < 5; i++) {
            fixture.toServer(0).say(ServerFixture.get("r" + i));
        }
        fixture.after(LONG * 2);
        assertEquals(2, fixture.recorder.notRun.size());
        assertEquals(3, fixture.recorder.made.size());
    }

    @Test
    void repeatsAreDroppedByTheGroupForTheWindow() {
        ServerFixture fixture = fixture("set cores 1");
        assertTrue(
                fixture.toServer(0)
                        .say(ServerFixture.post("k1", "key"))
                        .hear(LONG)
                        .contains(" 200 "));
        assertTrue(
                fixture.toServer(1)
                        .say(ServerFixture.post("k2", "key"))
                        .hear(5 * MS)
                        .contains(" 200 "),
                "no work");
        assertTrue(
                fixture.toServer(0)
                        .say(ServerFixture.post("h1", "hold"))
                        .hear(LONG)
                        .contains(" 200 "));
        assertEquals(
                "",
                fixture.toServer(1).say(ServerFixture.post("h2", "hold")).hear(5 * MS),
                "another site");
        fixture.after(8 * Site.SECOND);
        assertEquals(
                "",
                fixture.toServer(1).say(ServerFixture.post("k1", "key")).hear(5 * MS),
                "past the window");
    }

    @Test
    void whatIsLateMayBeDropped() {
        ServerFixture fixture = fixture("set cores 1\nset drops-expired 1");
        for (int i = 0; i < 20; i++) {
            fixture.toServer(0).say(ServerFixture.get("r" + i));
        }
        fixture.after(2 * Site.SECOND);
        assertTrue(fixture.recorder.notRun.size() > 3, fixture.recorder.notRun.toString());
        assertEquals(20, fixture.recorder.notRun.size() + fixture.recorder.made.size());
    }

    @Test
    void aDrainFinishesWhatThereIsAndTakesNothingNew() {
        ServerFixture fixture = fixture("set notice 0.5");
        ServerFixture.Line first = fixture.toServer(0).say(ServerFixture.get("r1"));
        ServerFixture.Line second = fixture.toServer(0);
        fixture.machine(0).drain(Site.SECOND, 0);
        String refused = second.say(ServerFixture.get("r2")).hear(10 * MS);
        assertTrue(second.isEnded() || refused.contains("X-Not-Run: 1"), refused);
        assertTrue(first.hear(LONG).contains("/r1"));
        fixture.after(6 * Site.SECOND);
        assertTrue(fixture.recorder.servers.contains("s0.0 0 Gone"));
        assertTrue(fixture.recorder.servers.contains("s0.1 0 Ready born"));
        assertTrue(first.isEnded());
    }

    @Test
    void aCrashResetsAndANewOneListensAtTheSameAddress() {
        ServerFixture fixture = fixture("");
        ServerFixture.Line line = fixture.toServer(0).say(ServerFixture.get("r1"));
        fixture.machine(0).crash(Site.SECOND, true);
        fixture.after(10 * MS);
        assertTrue(line.isEnded());
        assertTrue(fixture.toServer(0).hasFailed());
        fixture.after(Site.SECOND);
        assertTrue(
                fixture.toServer(0)
                        .say(ServerFixture.get("r2"))
                        .hear(LONG)
                        .contains("s0.0/1/1/r2"));
    }

    @Test
    void aColdServerIsSlowAndFallsOverWhenOverfilled() {
        ServerFixture fixture = fixture("set cores 1");
        fixture.machine(0).crash(0, false);
        fixture.after(10 * MS);
        assertEquals("", fixture.toServer(0).say(ServerFixture.get("r1")).hear(60 * MS));
        for (int i = 2; i < 50; i++) {
            fixture.knows("r" + i, 0, null, 100 * MS);
            fixture.toServer(0).say(ServerFixture.get("r" + i));
        }
        assertEquals(List.of("s0.1"), fixture.recorder.fell);
        assertTrue(fixture.toServer(0).hasFailed());
        fixture.after(2 * Site.SECOND);
        assertTrue(fixture.toServer(0).hasFailed(), "stays down while there may be faults");
        fixture.after(8 * Site.SECOND);
        assertFalse(fixture.toServer(0).hasFailed());
    }

    @Test
    void aWarmServerNeverFallsOver() {
        ServerFixture fixture = fixture("set cores 1");
        for (int i = 0; i < 50; i++) {
            fixture.knows("r" + i, 0, null, 500 * MS);
            fixture.toServer(0).say(ServerFixture.get("r" + i));
        }
        assertTrue(fixture.recorder.fell.isEmpty());
    }

    @Test
    void troublesAreAsTheySay() {
        ServerFixture fixture = fixture("");
        OrderServer server = fixture.machine(0).server();
        server.hang(Site.SECOND);
        ServerFixture.Line line = fixture.toServer(0).say(ServerFixture.get("r1"));
        assertEquals("", line.hear(900 * MS));
        assertEquals(List.of("r1"), fixture.recorder.arrived);
        assertTrue(line.hear(LONG).contains("/r1"));
        server.full(Site.SECOND);
        assertTrue(line.say(ServerFixture.get("r2")).hear(LONG).contains("X-Not-Run: 1"));
        fixture.after(Site.SECOND);
        server.fail(Site.SECOND, 1);
        assertTrue(line.say(ServerFixture.get("r3")).hear(LONG).contains("sorry"));
        server.closeIdle();
        fixture.after(10 * MS);
        assertTrue(line.isEnded());
        fixture.after(Site.SECOND);
        server.backlog(Site.SECOND);
        ServerFixture.Line waits = fixture.toServer(0).say(ServerFixture.get("r4"));
        assertEquals("", waits.hear(500 * MS));
        assertTrue(waits.hear(Site.SECOND).contains("/r4"));
        server.slow(Site.SECOND, 10);
        assertEquals("", waits.say(ServerFixture.get("r5")).hear(LONG));
        assertTrue(waits.hear(Site.SECOND).contains("/r5"));
    }

    @Test
    void connectionsBeyondTheCapAreTurnedAway() {
        ServerFixture fixture = fixture("set connections 2");
        fixture.toServer(0);
        fixture.toServer(0);
        ServerFixture.Line third = fixture.toServer(0).say(ServerFixture.get("r1"));
        assertTrue(third.hear(LONG).contains("X-Not-Run: 1"));
        assertTrue(third.isEnded());
    }

    @Test
    void aVanishedMachineIsSilentAndKnowsNothingWhenItIsBack() {
        ServerFixture fixture = fixture("");
        ServerFixture.Line line = fixture.toServer(0).say(ServerFixture.get("r1"));
        fixture.machine(0).vanish(Site.SECOND);
        assertEquals("", line.hear(500 * MS));
        assertFalse(line.isEnded());
        fixture.after(Site.SECOND);
        line.say(ServerFixture.get("r2")).hear(LONG);
        assertTrue(line.isEnded());
        assertTrue(fixture.toServer(0).say(ServerFixture.get("r3")).hear(LONG).contains("/r3"));
    }

    @Test
    void loadReportsCanBeOfNoUse() {
        ServerFixture fixture = fixture("");
        OrderServer server = fixture.machine(0).server();
        server.report(Site.SECOND, LoadReportQuality.ABSENT);
        assertFalse(fixture.toServer(0).say(ServerFixture.get("r1")).hear(LONG).contains("X-Load"));
        server.report(Site.SECOND, LoadReportQuality.UNREADABLE);
        assertTrue(fixture.toServer(0).say(ServerFixture.get("r2")).hear(LONG).contains("X-Load"));
    }

    @Test
    void spoiltAnswersAreNoneThatAServerMade() {
        for (ResponseCorruption each : ResponseCorruption.values()) {
            ServerFixture fixture = fixture("");
            fixture.day.asked.corruptResponse("r1", each);
            ServerFixture.Line line = fixture.toServer(0).say(ServerFixture.get("r1"));
            String answer = line.hear(Site.SECOND);
            assertEquals(
                    each == ResponseCorruption.PAUSES,
                    fixture.recorder.made.containsKey(body(answer)),
                    each.name());
            assertFalse(answer.isEmpty(), each.name());
            fixture.day.asked.takeCorruption("r1");
        }
    }

    @Test
    void extrasComeWithAGoodAnswer() {
        for (ResponseExtra each : ResponseExtra.values()) {
            if (each == ResponseExtra.EARLY) {
                continue;
            }
            ServerFixture fixture = fixture("");
            fixture.day.asked.addExtra("r1", each);
            ServerFixture.Line line = fixture.toServer(0).say(ServerFixture.get("r1"));
            String answer = line.hear(Site.SECOND);
            assertTrue(answer.contains("s0.0/0/1/r1"), answer);
            assertEquals(
                    each == ResponseExtra.INTERIM || each == ResponseExtra.INTERIMS,
                    answer.startsWith("HTTP/1.1 10"),
                    each.name());
            assertEquals(
                    each == ResponseExtra.COPY ? 3 : 2,
                    answer.split("200 OK", -1).length,
                    each.name());
            assertEquals(each == ResponseExtra.CLOSES, line.isEnded(), each.name());
        }
    }

    @Test
    void anAnswerCanComeBeforeTheRequestHasComeWhole() {
        ServerFixture fixture = fixture("");
        fixture.day.asked.addExtra("k1", ResponseExtra.EARLY);
        String request = ServerFixture.post("k1", "key");
        ServerFixture.Line line =
                fixture.toServer(0).say(request.substring(0, request.length() - 2));
        assertTrue(line.hear(LONG).startsWith("HTTP/1.1 "));
        assertTrue(fixture.recorder.arrived.isEmpty());
        line.say(request.substring(request.length() - 2)).hear(LONG);
        assertEquals(List.of("k1"), fixture.recorder.arrived);
    }
}
