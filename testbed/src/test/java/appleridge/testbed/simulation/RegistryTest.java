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

    private static ServerFixture fixture() {
        return new ServerFixture(
                "set call-cost 0.01\nset notice 0.5\nset silent-notice 2\nset add-notice 0.2");
    }

    @Test
    void givesTheWholeListAsTheProtocolHasIt() {
        ServerFixture fixture = fixture();
        String answer = fixture.toDiscovery().say(WHOLE).hear(50 * MS);
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
        assertEquals(List.of("n0 s0.0 Ready", "n0 s1.0 Ready"), fixture.recorder.delivered);
    }

    @Test
    void aWatchWaitsForNewsOrItsTime() {
        ServerFixture fixture = fixture();
        ServerFixture.Line line = fixture.toDiscovery().say(watch(2, 1000));
        assertEquals("", line.hear(900 * MS));
        assertTrue(line.hear(200 * MS).endsWith("{\"rev\":2,\"all\":false,\"targets\":[]}"));
        line.say(watch(2, 5000));
        fixture.machine(0).crash(Site.SECOND, false);
        assertEquals("", line.hear(1900 * MS - Site.SECOND));
        String added = line.hear(500 * MS);
        assertTrue(
                added.contains("\"uid\":\"s0.1\"") && added.contains("\"state\":\"Ready\""), added);
        assertTrue(added.contains("\"boot_ms\":17"), added);
        assertTrue(line.say(watch(3, 5000)).hear(Site.SECOND).contains("\"state\":\"Gone\""));
    }

    @Test
    void callsAreWorkedThroughInTurn() {
        ServerFixture fixture = fixture();
        fixture.registry.slow(Site.SECOND, 400 * MS);
        ServerFixture.Line one = fixture.toDiscovery();
        ServerFixture.Line other = fixture.toDiscovery();
        one.say(WHOLE).hear(MS);
        other.say(WHOLE);
        assertFalse(one.hear(450 * MS).isEmpty());
        assertTrue(other.hear(10 * MS).isEmpty());
        assertFalse(other.hear(450 * MS).isEmpty());
    }

    @Test
    void aVersionThatIsNotThereYetIsWaitedFor() {
        ServerFixture.Line line = fixture().toDiscovery().say(watch(1002, 1000));
        assertEquals("", line.hear(900 * MS));
        assertTrue(line.hear(200 * MS).contains("\"targets\":[]"));
    }

    @Test
    void whenItGoesDownWatchesEndAndCallsAreRefusedUntilItIsBack() {
        ServerFixture fixture = fixture();
        ServerFixture.Line line = fixture.toDiscovery().say(watch(2, 5000));
        fixture.after(100 * MS);
        fixture.registry.down(Site.SECOND);
        fixture.after(10 * MS);
        assertTrue(line.isEnded());
        assertTrue(fixture.toDiscovery().hasFailed());
        fixture.after(Site.SECOND);
        assertTrue(fixture.toDiscovery().say(WHOLE).hear(50 * MS).contains("\"all\":true"));
    }

    @Test
    void aLostWatchIsNeverAnswered() {
        ServerFixture fixture = fixture();
        ServerFixture.Line line = fixture.toDiscovery().say(watch(2, 1000));
        fixture.after(100 * MS);
        fixture.registry.loseWatches();
        fixture.machine(0).crash(0, false);
        assertEquals("", line.hear(5 * Site.SECOND));
        assertFalse(line.isEnded());
        assertTrue(fixture.recorder.delivered.isEmpty());
    }

    @Test
    void whatIsLostUnreadWasNotTold() {
        ServerFixture fixture = fixture();
        ServerFixture.Line line = fixture.toDiscovery().deaf().say(WHOLE);
        fixture.after(3 * Site.SECOND);
        assertEquals(List.of(), fixture.recorder.notDelivered, "it may be read yet");
        fixture.registry.down(Site.SECOND);
        fixture.after(2 * Site.SECOND);
        assertTrue(line.hear(0).isEmpty());
        assertEquals(List.of("n0 20 ms"), fixture.recorder.notDelivered);
    }

    @Test
    void whatIsOnItsWayWhenTheMachineFallsSilentWasNotTold() {
        ServerFixture fixture = fixture();
        ServerFixture.Line line = fixture.toDiscovery();
        fixture.slowFromDiscovery(300 * MS);
        line.say(WHOLE).hear(50 * MS);
        assertTrue(fixture.recorder.delivered.contains("n0 s0.0 Ready"));
        fixture.registry.silent(500 * MS);
        fixture.after(3 * Site.SECOND);
        assertEquals(1, fixture.recorder.notDelivered.size());
    }

    @Test
    void whatWasReadOrGivenUpWasTold() {
        ServerFixture fixture = fixture();
        fixture.toDiscovery().say(WHOLE).hear(50 * MS);
        ServerFixture.Line leaves = fixture.toDiscovery().deaf().say(WHOLE);
        fixture.after(50 * MS);
        leaves.close();
        fixture.after(MS);
        fixture.registry.down(Site.SECOND);
        fixture.after(3 * Site.SECOND);
        assertEquals(List.of(), fixture.recorder.notDelivered);
    }

    @Test
    void answersAreCutAndGarbled() {
        ServerFixture fixture = fixture();
        fixture.registry.cut(1);
        fixture.registry.garble(1);
        ServerFixture.Line cut = fixture.toDiscovery().say(WHOLE);
        assertFalse(cut.hear(50 * MS).endsWith("]}"));
        assertTrue(cut.isEnded());
        assertTrue(fixture.toDiscovery().say(WHOLE).hear(50 * MS).contains(" 200 "));
        assertTrue(fixture.recorder.delivered.isEmpty());
        assertTrue(fixture.toDiscovery().say(WHOLE).hear(50 * MS).endsWith("]}"));
    }

    @Test
    void itFailsHangsAndFallsSilent() {
        ServerFixture fixture = fixture();
        fixture.registry.failing(100 * MS);
        assertTrue(fixture.toDiscovery().say(WHOLE).hear(50 * MS).contains(" 503 "));
        fixture.after(100 * MS);
        fixture.registry.hang(Site.SECOND);
        ServerFixture.Line line = fixture.toDiscovery().say(WHOLE);
        assertEquals("", line.hear(900 * MS));
        assertTrue(line.hear(200 * MS).contains(" 200 "));
        fixture.registry.silent(Site.SECOND);
        assertEquals("", line.say(WHOLE).hear(500 * MS));
        assertFalse(line.isEnded());
    }

    @Test
    void wholeListsCanBeOld() {
        ServerFixture fixture = fixture();
        fixture.machine(0).crash(0, false);
        fixture.after(3 * Site.SECOND);
        assertFalse(fixture.toDiscovery().say(WHOLE).hear(50 * MS).contains("s0.0"));
        fixture.registry.stale(Site.SECOND, 10 * Site.SECOND);
        String old = fixture.toDiscovery().say(WHOLE).hear(50 * MS);
        assertTrue(old.contains("s0.0") && old.contains("\"rev\":2"), old);
        assertTrue(
                fixture.recorder.delivered.contains("n0 s0.1 Gone"),
                "what a whole list leaves out is told as gone");
    }

    @Test
    void entriesFlap() {
        ServerFixture fixture = fixture();
        fixture.instances.flap("s0.0", Instances.GONE, 2, 100 * MS);
        fixture.after(Site.SECOND);
        assertEquals(
                List.of(
                        "s0.0 Ready",
                        "s1.0 Ready",
                        "s0.0 Gone",
                        "s0.0 Ready",
                        "s0.0 Gone",
                        "s0.0 Ready"),
                fixture.recorder.knows);
    }

    @Test
    void theOldAddressEndsWhatIsOpenAfterAWhile() {
        ServerFixture fixture = fixture();
        ServerFixture.Line line = fixture.toDiscovery().say(watch(2, 9000));
        fixture.registry.retire();
        fixture.after(Site.SECOND);
        assertFalse(line.isEnded());
        assertTrue(fixture.toDiscovery().hasFailed());
        fixture.after(Site.SECOND);
        assertTrue(line.isEnded());
    }

    @Test
    void anOlderChangeThatIsNoticedLaterDoesNotCount() {
        ServerFixture fixture = fixture();
        fixture.machine(0).crash(100 * MS, true);
        fixture.after(3 * Site.SECOND);
        assertEquals("s0.0 Ready", fixture.recorder.knows.get(fixture.recorder.knows.size() - 1));
    }
}
