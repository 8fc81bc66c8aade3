package appleridge.testbed.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class RegistryTest {
    private static final long MS = Site.MS;
    private static final String WHOLE = "GET /registry/instances HTTP/1.1\r\nHost: d\r\n\r\n";

    private static String watch(long since, long millis) {
        return "GET /registry/instances?since="
                + since
                + "&timeout_ms="
                + millis
                + " HTTP/1.1\r\nHost: d\r\n\r\n";
    }

    private static Stage stage() {
        return new Stage(
                "set call-cost 0.01\nset notice 0.5\nset silent-notice 2\nset add-notice 0.2");
    }

    @Test
    void givesTheWholeListAsTheProtocolHasIt() {
        Stage stage = stage();
        String answer = stage.toDiscovery().say(WHOLE).hear(50 * MS);
        assertTrue(
                answer.endsWith(
                        "{\"rev\":2,\"all\":true,\"targets\":["
                            + "{\"uid\":\"s0.0\",\"endpoint\":\"127.3.0.1:4000\",\"az\":\"ebene\","
                            + "\"model\":\"std-3c\","
                            + "\"pod_group\":0,\"state\":\"Ready\",\"capacity_hint\":1.0,\"boot_ms\":0},"
                            + "{\"uid\":\"s1.0\",\"endpoint\":\"127.3.1.1:4000\",\"az\":\"port-louis\","
                            + "\"model\":\"std-3c\","
                            + "\"pod_group\":1,\"state\":\"Ready\",\"capacity_hint\":1.0,\"boot_ms\":0}]}"),
                answer);
        assertEquals(List.of("n0 s0.0 Ready", "n0 s1.0 Ready"), stage.told.told);
    }

    @Test
    void aWatchWaitsForNewsOrItsTime() {
        Stage stage = stage();
        Stage.Line line = stage.toDiscovery().say(watch(2, 1000));
        assertEquals("", line.hear(900 * MS));
        assertTrue(line.hear(200 * MS).endsWith("{\"rev\":2,\"all\":false,\"targets\":[]}"));
        line.say(watch(2, 5000));
        stage.machine(0).crash(Site.SECOND, false);
        assertEquals("", line.hear(1900 * MS - Site.SECOND));
        String added = line.hear(500 * MS);
        assertTrue(
                added.contains("\"uid\":\"s0.1\"") && added.contains("\"state\":\"Ready\""), added);
        assertTrue(added.contains("\"boot_ms\":17"), added);
        assertTrue(line.say(watch(3, 5000)).hear(Site.SECOND).contains("\"state\":\"Gone\""));
    }

    @Test
    void callsAreWorkedThroughInTurn() {
        Stage stage = stage();
        stage.registry.slow(Site.SECOND, 400 * MS);
        Stage.Line one = stage.toDiscovery();
        Stage.Line other = stage.toDiscovery();
        one.say(WHOLE).hear(MS);
        other.say(WHOLE);
        assertFalse(one.hear(450 * MS).isEmpty());
        assertTrue(other.hear(10 * MS).isEmpty());
        assertFalse(other.hear(450 * MS).isEmpty());
    }

    @Test
    void aVersionThatIsNotThereYetIsWaitedFor() {
        Stage.Line line = stage().toDiscovery().say(watch(1002, 1000));
        assertEquals("", line.hear(900 * MS));
        assertTrue(line.hear(200 * MS).contains("\"targets\":[]"));
    }

    @Test
    void whenItGoesDownWatchesEndAndCallsAreRefusedUntilItIsBack() {
        Stage stage = stage();
        Stage.Line line = stage.toDiscovery().say(watch(2, 5000));
        stage.after(100 * MS);
        stage.registry.down(Site.SECOND);
        stage.after(10 * MS);
        assertTrue(line.isEnded());
        assertTrue(stage.toDiscovery().hasFailed());
        stage.after(Site.SECOND);
        assertTrue(stage.toDiscovery().say(WHOLE).hear(50 * MS).contains("\"all\":true"));
    }

    @Test
    void aLostWatchIsNeverAnswered() {
        Stage stage = stage();
        Stage.Line line = stage.toDiscovery().say(watch(2, 1000));
        stage.after(100 * MS);
        stage.registry.loseWatches();
        stage.machine(0).crash(0, false);
        assertEquals("", line.hear(5 * Site.SECOND));
        assertFalse(line.isEnded());
        assertTrue(stage.told.told.isEmpty());
    }

    @Test
    void whatIsLostUnreadWasNotTold() {
        Stage stage = stage();
        Stage.Line line = stage.toDiscovery().deaf().say(WHOLE);
        stage.after(3 * Site.SECOND);
        assertEquals(List.of(), stage.told.untold, "it may be read yet");
        stage.registry.down(Site.SECOND);
        stage.after(2 * Site.SECOND);
        assertTrue(line.hear(0).isEmpty());
        assertEquals(List.of("n0 20 ms"), stage.told.untold);
    }

    @Test
    void whatIsOnItsWayWhenTheMachineFallsSilentWasNotTold() {
        Stage stage = stage();
        Stage.Line line = stage.toDiscovery();
        stage.slowFromDiscovery(300 * MS);
        line.say(WHOLE).hear(50 * MS);
        assertTrue(stage.told.told.contains("n0 s0.0 Ready"));
        stage.registry.silent(500 * MS);
        stage.after(3 * Site.SECOND);
        assertEquals(1, stage.told.untold.size());
    }

    @Test
    void whatWasReadOrGivenUpWasTold() {
        Stage stage = stage();
        stage.toDiscovery().say(WHOLE).hear(50 * MS);
        Stage.Line leaves = stage.toDiscovery().deaf().say(WHOLE);
        stage.after(50 * MS);
        leaves.close();
        stage.after(MS);
        stage.registry.down(Site.SECOND);
        stage.after(3 * Site.SECOND);
        assertEquals(List.of(), stage.told.untold);
    }

    @Test
    void answersAreCutAndGarbled() {
        Stage stage = stage();
        stage.registry.cut(1);
        stage.registry.garble(1);
        Stage.Line cut = stage.toDiscovery().say(WHOLE);
        assertFalse(cut.hear(50 * MS).endsWith("]}"));
        assertTrue(cut.isEnded());
        assertTrue(stage.toDiscovery().say(WHOLE).hear(50 * MS).contains(" 200 "));
        assertTrue(stage.told.told.isEmpty());
        assertTrue(stage.toDiscovery().say(WHOLE).hear(50 * MS).endsWith("]}"));
    }

    @Test
    void itFailsHangsAndFallsSilent() {
        Stage stage = stage();
        stage.registry.failing(100 * MS);
        assertTrue(stage.toDiscovery().say(WHOLE).hear(50 * MS).contains(" 503 "));
        stage.after(100 * MS);
        stage.registry.hang(Site.SECOND);
        Stage.Line line = stage.toDiscovery().say(WHOLE);
        assertEquals("", line.hear(900 * MS));
        assertTrue(line.hear(200 * MS).contains(" 200 "));
        stage.registry.silent(Site.SECOND);
        assertEquals("", line.say(WHOLE).hear(500 * MS));
        assertFalse(line.isEnded());
    }

    @Test
    void wholeListsCanBeOld() {
        Stage stage = stage();
        stage.machine(0).crash(0, false);
        stage.after(3 * Site.SECOND);
        assertFalse(stage.toDiscovery().say(WHOLE).hear(50 * MS).contains("s0.0"));
        stage.registry.stale(Site.SECOND, 10 * Site.SECOND);
        String old = stage.toDiscovery().say(WHOLE).hear(50 * MS);
        assertTrue(old.contains("s0.0") && old.contains("\"rev\":2"), old);
        assertTrue(
                stage.told.told.contains("n0 s0.1 Gone"),
                "what a whole list leaves out is told as gone");
    }

    @Test
    void entriesFlap() {
        Stage stage = stage();
        stage.instances.flap("s0.0", Instances.GONE, 2, 100 * MS);
        stage.after(Site.SECOND);
        assertEquals(
                List.of(
                        "s0.0 Ready",
                        "s1.0 Ready",
                        "s0.0 Gone",
                        "s0.0 Ready",
                        "s0.0 Gone",
                        "s0.0 Ready"),
                stage.told.knows);
    }

    @Test
    void theOldAddressEndsWhatIsOpenAfterAWhile() {
        Stage stage = stage();
        Stage.Line line = stage.toDiscovery().say(watch(2, 9000));
        stage.registry.retire();
        stage.after(Site.SECOND);
        assertFalse(line.isEnded());
        assertTrue(stage.toDiscovery().hasFailed());
        stage.after(Site.SECOND);
        assertTrue(line.isEnded());
    }

    @Test
    void anOlderChangeThatIsNoticedLaterDoesNotCount() {
        Stage stage = stage();
        stage.machine(0).crash(100 * MS, true);
        stage.after(3 * Site.SECOND);
        assertEquals("s0.0 Ready", stage.told.knows.get(stage.told.knows.size() - 1));
    }
}
