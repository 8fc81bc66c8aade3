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
    void returnsTheWholeListInTheProtocolsFormat() {
        ServerFixture fixture = fixture();
        String answer = fixture.connectToDiscovery().send(WHOLE).receive(50 * MS);
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
    void aWatchWaitsForAChangeOrItsTimeout() {
        ServerFixture fixture = fixture();
        ServerFixture.Connection connection = fixture.connectToDiscovery().send(watch(2, 1000));
        assertEquals("", connection.receive(900 * MS));
        assertTrue(
                connection.receive(200 * MS).endsWith("{\"rev\":2,\"all\":false,\"targets\":[]}"));
        connection.send(watch(2, 5000));
        fixture.machine(0).crash(Site.SECOND, false);
        assertEquals("", connection.receive(1900 * MS - Site.SECOND));
        String added = connection.receive(500 * MS);
        assertTrue(
                added.contains("\"uid\":\"s0.1\"") && added.contains("\"state\":\"Ready\""), added);
        assertTrue(added.contains("\"boot_ms\":17"), added);
        assertTrue(
                connection
                        .send(watch(3, 5000))
                        .receive(Site.SECOND)
                        .contains("\"state\":\"Gone\""));
    }

    @Test
    void callsAreProcessedOneAfterTheOther() {
        ServerFixture fixture = fixture();
        fixture.registry.slow(Site.SECOND, 400 * MS);
        ServerFixture.Connection one = fixture.connectToDiscovery();
        ServerFixture.Connection other = fixture.connectToDiscovery();
        one.send(WHOLE).receive(MS);
        other.send(WHOLE);
        assertFalse(one.receive(450 * MS).isEmpty());
        assertTrue(other.receive(10 * MS).isEmpty());
        assertFalse(other.receive(450 * MS).isEmpty());
    }

    @Test
    void aWatchOfAFutureVersionWaits() {
        ServerFixture.Connection connection =
                fixture().connectToDiscovery().send(watch(1002, 1000));
        assertEquals("", connection.receive(900 * MS));
        assertTrue(connection.receive(200 * MS).contains("\"targets\":[]"));
    }

    @Test
    void anOutageEndsWatchesAndRefusesConnectionsUntilItIsOver() {
        ServerFixture fixture = fixture();
        ServerFixture.Connection connection = fixture.connectToDiscovery().send(watch(2, 5000));
        fixture.advance(100 * MS);
        fixture.registry.down(Site.SECOND);
        fixture.advance(10 * MS);
        assertTrue(connection.isClosed());
        assertTrue(fixture.connectToDiscovery().hasConnectFailed());
        fixture.advance(Site.SECOND);
        assertTrue(
                fixture.connectToDiscovery().send(WHOLE).receive(50 * MS).contains("\"all\":true"));
    }

    @Test
    void aDroppedWatchIsNeverAnswered() {
        ServerFixture fixture = fixture();
        ServerFixture.Connection connection = fixture.connectToDiscovery().send(watch(2, 1000));
        fixture.advance(100 * MS);
        fixture.registry.loseWatches();
        fixture.machine(0).crash(0, false);
        assertEquals("", connection.receive(5 * Site.SECOND));
        assertFalse(connection.isClosed());
        assertTrue(fixture.recorder.delivered.isEmpty());
    }

    @Test
    void aResponseLostUnreadCountsAsNotDelivered() {
        ServerFixture fixture = fixture();
        ServerFixture.Connection connection =
                fixture.connectToDiscovery().stopReading().send(WHOLE);
        fixture.advance(3 * Site.SECOND);
        assertEquals(List.of(), fixture.recorder.notDelivered, "it may still be read");
        fixture.registry.down(Site.SECOND);
        fixture.advance(2 * Site.SECOND);
        assertTrue(connection.receive(0).isEmpty());
        assertEquals(List.of("n0 20 ms"), fixture.recorder.notDelivered);
    }

    @Test
    void aResponseInTransitWhenTheMachineVanishesCountsAsNotDelivered() {
        ServerFixture fixture = fixture();
        ServerFixture.Connection connection = fixture.connectToDiscovery();
        fixture.delayFromDiscovery(300 * MS);
        connection.send(WHOLE).receive(50 * MS);
        assertTrue(fixture.recorder.delivered.contains("n0 s0.0 Ready"));
        fixture.registry.silent(500 * MS);
        fixture.advance(3 * Site.SECOND);
        assertEquals(1, fixture.recorder.notDelivered.size());
    }

    @Test
    void aResponseReadOrDroppedByTheSidecarCountsAsDelivered() {
        ServerFixture fixture = fixture();
        fixture.connectToDiscovery().send(WHOLE).receive(50 * MS);
        ServerFixture.Connection closing = fixture.connectToDiscovery().stopReading().send(WHOLE);
        fixture.advance(50 * MS);
        closing.close();
        fixture.advance(MS);
        fixture.registry.down(Site.SECOND);
        fixture.advance(3 * Site.SECOND);
        assertEquals(List.of(), fixture.recorder.notDelivered);
    }

    @Test
    void responsesCanBeCutAndGarbled() {
        ServerFixture fixture = fixture();
        fixture.registry.cut(1);
        fixture.registry.garble(1);
        ServerFixture.Connection cut = fixture.connectToDiscovery().send(WHOLE);
        assertFalse(cut.receive(50 * MS).endsWith("]}"));
        assertTrue(cut.isClosed());
        assertTrue(fixture.connectToDiscovery().send(WHOLE).receive(50 * MS).contains(" 200 "));
        assertTrue(fixture.recorder.delivered.isEmpty());
        assertTrue(fixture.connectToDiscovery().send(WHOLE).receive(50 * MS).endsWith("]}"));
    }

    @Test
    void itCanFailHangAndBecomeUnreachable() {
        ServerFixture fixture = fixture();
        fixture.registry.failing(100 * MS);
        assertTrue(fixture.connectToDiscovery().send(WHOLE).receive(50 * MS).contains(" 503 "));
        fixture.advance(100 * MS);
        fixture.registry.hang(Site.SECOND);
        ServerFixture.Connection connection = fixture.connectToDiscovery().send(WHOLE);
        assertEquals("", connection.receive(900 * MS));
        assertTrue(connection.receive(200 * MS).contains(" 200 "));
        fixture.registry.silent(Site.SECOND);
        assertEquals("", connection.send(WHOLE).receive(500 * MS));
        assertFalse(connection.isClosed());
    }

    @Test
    void wholeListsCanBeStale() {
        ServerFixture fixture = fixture();
        fixture.machine(0).crash(0, false);
        fixture.advance(3 * Site.SECOND);
        assertFalse(fixture.connectToDiscovery().send(WHOLE).receive(50 * MS).contains("s0.0"));
        fixture.registry.stale(Site.SECOND, 10 * Site.SECOND);
        String old = fixture.connectToDiscovery().send(WHOLE).receive(50 * MS);
        assertTrue(old.contains("s0.0") && old.contains("\"rev\":2"), old);
        assertTrue(
                fixture.recorder.delivered.contains("n0 s0.1 Gone"),
                "an entry missing from a whole list counts as gone");
    }

    @Test
    void entriesCanFlap() {
        ServerFixture fixture = fixture();
        fixture.instances.flap("s0.0", Instances.GONE, 2, 100 * MS);
        fixture.advance(Site.SECOND);
        assertEquals(
                List.of(
                        "s0.0 Ready",
                        "s1.0 Ready",
                        "s0.0 Gone",
                        "s0.0 Ready",
                        "s0.0 Gone",
                        "s0.0 Ready"),
                fixture.recorder.listed);
    }

    @Test
    void theOldAddressClosesItsConnectionsAfterAMove() {
        ServerFixture fixture = fixture();
        ServerFixture.Connection connection = fixture.connectToDiscovery().send(watch(2, 9000));
        fixture.registry.retire();
        fixture.advance(Site.SECOND);
        assertFalse(connection.isClosed());
        assertTrue(fixture.connectToDiscovery().hasConnectFailed());
        fixture.advance(Site.SECOND);
        assertTrue(connection.isClosed());
    }

    @Test
    void anOlderChangeNoticedLaterIsIgnored() {
        ServerFixture fixture = fixture();
        fixture.machine(0).crash(100 * MS, true);
        fixture.advance(3 * Site.SECOND);
        assertEquals("s0.0 Ready", fixture.recorder.listed.get(fixture.recorder.listed.size() - 1));
    }
}
