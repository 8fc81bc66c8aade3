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

    private static Stage stage(String sizes) {
        Stage stage = new Stage(sizes);
        for (int i = 0; i < 50; i++) {
            stage.knows("r" + i, 0, null, WORK);
        }
        return stage.knows("k1", 2, "key", WORK)
                .knows("k2", 2, "key", WORK)
                .knows("h1", 1, "hold", WORK)
                .knows("h2", 1, "hold", WORK);
    }

    private static String body(String answer) {
        return answer.substring(answer.indexOf("\r\n\r\n") + 4);
    }

    @Test
    void aGoodAnswerSaysWhoMadeItForWhom() {
        Stage stage = stage("");
        Stage.Line line = stage.toServer(0).say(Stage.get("r1"));
        assertEquals("", line.hear(20 * MS));
        String answer = line.hear(LONG);
        assertTrue(answer.startsWith("HTTP/1.1 200 OK\r\n"), answer);
        assertTrue(answer.contains("X-Load: rate="), answer);
        assertEquals("s0.0/0/1/r1", body(answer));
        assertEquals("r1", stage.told.made.get("s0.0/0/1/r1"));
        assertEquals(List.of("r1"), stage.told.arrived);
    }

    @Test
    void connectionsAreKeptAndClosedWhenIdleForLong() {
        Stage stage = stage("set server-idle 1");
        Stage.Line line = stage.toServer(0).say(Stage.get("r1"));
        assertTrue(line.hear(LONG).contains("/r1"));
        assertTrue(line.say(Stage.get("r2")).hear(LONG).contains("/r2"));
        line.hear(900 * MS);
        assertTrue(line.isEnded());
    }

    @Test
    void whatNoClientSentIsTurnedDown() {
        Stage stage = stage("");
        assertTrue(stage.toServer(0).say(Stage.get("who")).hear(LONG).contains(" 400 "));
        assertTrue(stage.toServer(0).say("GET /api HTTP/1.1\r\n\r\n").hear(LONG).contains(" 404 "));
        assertTrue(stage.toServer(0).say(Stage.post("r1", null)).hear(LONG).contains(" 400 "));
        assertEquals(List.of("who", "r1"), stage.told.arrived);
        Stage.Line noise = stage.toServer(0).say("what\r\n\r\n");
        noise.hear(LONG);
        assertTrue(noise.isEnded());
    }

    @Test
    void coresAreFewAndTheQueueIsBounded() {
        Stage stage = stage("set cores 1\nset queue 2");
        for (int i = 0; i < 5; i++) {
            stage.toServer(0).say(Stage.get("r" + i));
        }
        stage.after(LONG * 2);
        assertEquals(2, stage.told.notRun.size());
        assertEquals(3, stage.told.made.size());
    }

    @Test
    void repeatsAreDroppedByTheGroupForTheWindow() {
        Stage stage = stage("set cores 1");
        assertTrue(stage.toServer(0).say(Stage.post("k1", "key")).hear(LONG).contains(" 200 "));
        assertTrue(
                stage.toServer(1).say(Stage.post("k2", "key")).hear(5 * MS).contains(" 200 "),
                "no work");
        assertTrue(stage.toServer(0).say(Stage.post("h1", "hold")).hear(LONG).contains(" 200 "));
        assertEquals(
                "", stage.toServer(1).say(Stage.post("h2", "hold")).hear(5 * MS), "another site");
        stage.after(8 * Site.SECOND);
        assertEquals(
                "", stage.toServer(1).say(Stage.post("k1", "key")).hear(5 * MS), "past the window");
    }

    @Test
    void whatIsLateMayBeDropped() {
        Stage stage = stage("set cores 1\nset drops-expired 1");
        for (int i = 0; i < 20; i++) {
            stage.toServer(0).say(Stage.get("r" + i));
        }
        stage.after(2 * Site.SECOND);
        assertTrue(stage.told.notRun.size() > 3, stage.told.notRun.toString());
        assertEquals(20, stage.told.notRun.size() + stage.told.made.size());
    }

    @Test
    void aDrainFinishesWhatThereIsAndTakesNothingNew() {
        Stage stage = stage("set notice 0.5");
        Stage.Line first = stage.toServer(0).say(Stage.get("r1"));
        Stage.Line second = stage.toServer(0);
        stage.machine(0).drain(Site.SECOND, 0);
        String refused = second.say(Stage.get("r2")).hear(10 * MS);
        assertTrue(second.isEnded() || refused.contains("X-Not-Run: 1"), refused);
        assertTrue(first.hear(LONG).contains("/r1"));
        stage.after(6 * Site.SECOND);
        assertTrue(stage.told.servers.contains("s0.0 0 Gone"));
        assertTrue(stage.told.servers.contains("s0.1 0 Ready born"));
        assertTrue(first.isEnded());
    }

    @Test
    void aCrashResetsAndANewOneListensAtTheSameAddress() {
        Stage stage = stage("");
        Stage.Line line = stage.toServer(0).say(Stage.get("r1"));
        stage.machine(0).crash(Site.SECOND, true);
        stage.after(10 * MS);
        assertTrue(line.isEnded());
        assertTrue(stage.toServer(0).hasFailed());
        stage.after(Site.SECOND);
        assertTrue(stage.toServer(0).say(Stage.get("r2")).hear(LONG).contains("s0.0/1/1/r2"));
    }

    @Test
    void aColdServerIsSlowAndFallsOverWhenOverfilled() {
        Stage stage = stage("set cores 1");
        stage.machine(0).crash(0, false);
        stage.after(10 * MS);
        assertEquals("", stage.toServer(0).say(Stage.get("r1")).hear(60 * MS));
        for (int i = 2; i < 50; i++) {
            stage.knows("r" + i, 0, null, 100 * MS);
            stage.toServer(0).say(Stage.get("r" + i));
        }
        assertEquals(List.of("s0.1"), stage.told.fell);
        assertTrue(stage.toServer(0).hasFailed());
        stage.after(2 * Site.SECOND);
        assertTrue(stage.toServer(0).hasFailed(), "stays down while there may be faults");
        stage.after(8 * Site.SECOND);
        assertFalse(stage.toServer(0).hasFailed());
    }

    @Test
    void aWarmServerNeverFallsOver() {
        Stage stage = stage("set cores 1");
        for (int i = 0; i < 50; i++) {
            stage.knows("r" + i, 0, null, 500 * MS);
            stage.toServer(0).say(Stage.get("r" + i));
        }
        assertTrue(stage.told.fell.isEmpty());
    }

    @Test
    void troublesAreAsTheySay() {
        Stage stage = stage("");
        OrderServer server = stage.machine(0).server();
        server.hang(Site.SECOND);
        Stage.Line line = stage.toServer(0).say(Stage.get("r1"));
        assertEquals("", line.hear(900 * MS));
        assertEquals(List.of("r1"), stage.told.arrived);
        assertTrue(line.hear(LONG).contains("/r1"));
        server.full(Site.SECOND);
        assertTrue(line.say(Stage.get("r2")).hear(LONG).contains("X-Not-Run: 1"));
        stage.after(Site.SECOND);
        server.fail(Site.SECOND, 1);
        assertTrue(line.say(Stage.get("r3")).hear(LONG).contains("sorry"));
        server.closeIdle();
        stage.after(10 * MS);
        assertTrue(line.isEnded());
        stage.after(Site.SECOND);
        server.backlog(Site.SECOND);
        Stage.Line waits = stage.toServer(0).say(Stage.get("r4"));
        assertEquals("", waits.hear(500 * MS));
        assertTrue(waits.hear(Site.SECOND).contains("/r4"));
        server.slow(Site.SECOND, 10);
        assertEquals("", waits.say(Stage.get("r5")).hear(LONG));
        assertTrue(waits.hear(Site.SECOND).contains("/r5"));
    }

    @Test
    void connectionsBeyondTheCapAreTurnedAway() {
        Stage stage = stage("set connections 2");
        stage.toServer(0);
        stage.toServer(0);
        Stage.Line third = stage.toServer(0).say(Stage.get("r1"));
        assertTrue(third.hear(LONG).contains("X-Not-Run: 1"));
        assertTrue(third.isEnded());
    }

    @Test
    void aVanishedMachineIsSilentAndKnowsNothingWhenItIsBack() {
        Stage stage = stage("");
        Stage.Line line = stage.toServer(0).say(Stage.get("r1"));
        stage.machine(0).vanish(Site.SECOND);
        assertEquals("", line.hear(500 * MS));
        assertFalse(line.isEnded());
        stage.after(Site.SECOND);
        line.say(Stage.get("r2")).hear(LONG);
        assertTrue(line.isEnded());
        assertTrue(stage.toServer(0).say(Stage.get("r3")).hear(LONG).contains("/r3"));
    }

    @Test
    void loadReportsCanBeOfNoUse() {
        Stage stage = stage("");
        OrderServer server = stage.machine(0).server();
        server.report(Site.SECOND, Report.ABSENT);
        assertFalse(stage.toServer(0).say(Stage.get("r1")).hear(LONG).contains("X-Load"));
        server.report(Site.SECOND, Report.UNREADABLE);
        assertTrue(stage.toServer(0).say(Stage.get("r2")).hear(LONG).contains("X-Load"));
    }

    @Test
    void spoiltAnswersAreNoneThatAServerMade() {
        for (ResponseCorruption each : ResponseCorruption.values()) {
            Stage stage = stage("");
            stage.day.sentRequests.spoil("r1", each);
            Stage.Line line = stage.toServer(0).say(Stage.get("r1"));
            String answer = line.hear(Site.SECOND);
            assertEquals(
                    each == ResponseCorruption.PAUSES,
                    stage.told.made.containsKey(body(answer)),
                    each.name());
            assertFalse(answer.isEmpty(), each.name());
            stage.day.sentRequests.takeSpoil("r1");
        }
    }

    @Test
    void extrasComeWithAGoodAnswer() {
        for (ResponseExtra each : ResponseExtra.values()) {
            if (each == ResponseExtra.EARLY) {
                continue;
            }
            Stage stage = stage("");
            stage.day.sentRequests.extra("r1", each);
            Stage.Line line = stage.toServer(0).say(Stage.get("r1"));
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
        Stage stage = stage("");
        stage.day.sentRequests.extra("k1", ResponseExtra.EARLY);
        String request = Stage.post("k1", "key");
        Stage.Line line = stage.toServer(0).say(request.substring(0, request.length() - 2));
        assertTrue(line.hear(LONG).startsWith("HTTP/1.1 "));
        assertTrue(stage.told.arrived.isEmpty());
        line.say(request.substring(request.length() - 2)).hear(LONG);
        assertEquals(List.of("k1"), stage.told.arrived);
    }
}
