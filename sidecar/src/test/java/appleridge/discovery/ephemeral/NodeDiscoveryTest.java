package appleridge.discovery.ephemeral;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.loadbalancing.HostState;
import appleridge.loadbalancing.UpdateKind;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The endpoint list of ephemeral nodes alone: when changes apply and when the last list stays. */
class NodeDiscoveryTest {
    private final NodeDiscoveryFixture fixture = new NodeDiscoveryFixture(SourceSelection.NODES);

    /** Connects, and reads a snapshot of three servers. */
    private void listThreeHosts() {
        fixture.session(SessionState.CONNECTED);
        fixture.snapshot(
                10,
                Map.of(
                        "a",
                        NodeDiscoveryFixture.ready(1, 1, 500),
                        "b",
                        NodeDiscoveryFixture.ready(2, 2, 600),
                        "c",
                        NodeDiscoveryFixture.ready(3, 3, 700)));
        fixture.advance(200);
    }

    @Test
    void firstSnapshotIsPublishedAsSnapshot() {
        assertFalse(fixture.discovery.hasList());
        assertEquals(StalenessCause.NOT_CONNECTED, fixture.discovery.staleness());
        listThreeHosts();
        assertEquals(1, fixture.events.size());
        assertEquals(UpdateKind.SNAPSHOT, fixture.events.get(0).kind());
        assertEquals(3, fixture.discovery.size());
        assertEquals(StalenessCause.NONE, fixture.discovery.staleness());
        assertTrue(fixture.discovery.hasList());
        assertEquals(
                NodeDiscoveryFixture.member("b", 2, HostState.READY, 600), fixture.list.get("b"));
    }

    /**
     * Guards against a list cached before the start that hides events which arrive before the first
     * snapshot.
     */
    @Test
    void cachedListHoldsUntilADeletionOrTheFirstSnapshot() {
        fixture.registry(
                UpdateKind.CACHED_SNAPSHOT,
                NodeDiscoveryFixture.member("a", 1, HostState.READY, 500),
                NodeDiscoveryFixture.member("old", 9, HostState.READY, 500));
        fixture.session(SessionState.CONNECTED);
        fixture.put("d", NodeDiscoveryFixture.ready(11, 4, 800));
        fixture.delete(12, "a");
        assertEquals(HostState.GONE, fixture.state("a"));
        fixture.advance(5000);
        assertEquals(HostState.READY, fixture.state("old"));
        assertEquals(HostState.GONE, fixture.state("d"), "a new host waits for the first snapshot");
        fixture.snapshot(
                12,
                Map.of(
                        "d",
                        NodeDiscoveryFixture.ready(11, 4, 800),
                        "b",
                        NodeDiscoveryFixture.ready(2, 2, 600)));
        assertEquals(Set.of("b", "d"), fixture.list.keySet());
    }

    // ---- deletions

    @Test
    void deletedNodeDrainsAtOnceAndIsGoneLater() {
        listThreeHosts();
        fixture.delete(fixture.nextZxid(), "b");
        assertEquals(HostState.DRAINING, fixture.state("b"));
        assertEquals(fixture.nowMillis, fixture.lastUpdate("b", HostState.DRAINING).sinceMillis());
        assertEquals("nodes", fixture.lastUpdate("b", HostState.DRAINING).source());
        fixture.advance(1900);
        assertEquals(HostState.DRAINING, fixture.state("b"));
        fixture.advance(200);
        assertEquals(HostState.GONE, fixture.state("b"));
        assertEquals(2, fixture.discovery.rememberedNodes());
    }

    @Test
    void deletionOfAllNodesIsBelieved() {
        listThreeHosts();
        fixture.snapshot(fixture.nextZxid(), Map.of());
        assertEquals(
                0,
                fixture.list.values().stream()
                        .filter(each -> each.state() == HostState.READY)
                        .count());
        fixture.advance(3000);
        assertEquals(0, fixture.list.size());
        assertEquals(0, fixture.discovery.rememberedNodes());
    }

    /**
     * Guards against many events that are each published at once, which would cost the loop work in
     * proportion to the list each time.
     */
    @Test
    void manyDeletionsInOneTickArePublishedInTwoUpdates() {
        listThreeHosts();
        int before = fixture.events.size();
        fixture.delete(fixture.nextZxid(), "a");
        fixture.delete(fixture.nextZxid(), "b");
        fixture.delete(fixture.nextZxid(), "c");
        fixture.advance(100);
        assertEquals(before + 2, fixture.events.size());
        assertEquals(HostState.DRAINING, fixture.state("c"));
    }

    @Test
    void drainIsPublishedAtOnceAndANewHostWithTheTick() {
        listThreeHosts();
        fixture.put(
                "a",
                NodeDiscoveryFixture.node(
                        1,
                        fixture.nextZxid(),
                        NodeDiscoveryFixture.data(1, HostState.DRAINING, 500)));
        assertEquals(HostState.DRAINING, fixture.state("a"));
        fixture.put("d", NodeDiscoveryFixture.ready(fixture.nextZxid(), 4, 800));
        assertEquals(HostState.GONE, fixture.state("d"));
        fixture.advance(100);
        assertEquals(HostState.READY, fixture.state("d"));
    }

    /**
     * Guards against a drain that is timed from its delivery to the loop, before which it may have
     * been queued.
     */
    @Test
    void updateCarriesTheTimeOfNotification() {
        listThreeHosts();
        fixture.discovery.onNodeDeleted(
                fixture.nowNanos(),
                (fixture.nowMillis - 700) * NodeDiscoveryFixture.NANOS_PER_MILLI,
                fixture.nextZxid(),
                "a");
        assertEquals(
                fixture.nowMillis - 700, fixture.lastUpdate("a", HostState.DRAINING).sinceMillis());
    }

    @Test
    void deletionOlderThanTheNodeIsIgnored() {
        listThreeHosts();
        fixture.put("a", NodeDiscoveryFixture.ready(fixture.nextZxid(), 1, 900));
        fixture.advance(100);
        fixture.delete(50, "a");
        assertEquals(HostState.READY, fixture.state("a"));
    }

    // ---- flapping nodes

    @Test
    void flappingNodeWithTheSameStartIsTheSameProcess() {
        listThreeHosts();
        for (int i = 0; i < 10; i++) {
            fixture.delete(fixture.nextZxid(), "a");
            fixture.advance(400);
            assertEquals(HostState.DRAINING, fixture.state("a"));
            fixture.put("a", NodeDiscoveryFixture.ready(fixture.nextZxid(), 1, 500));
            fixture.advance(5600);
            assertEquals(
                    NodeDiscoveryFixture.member("a", 1, HostState.READY, 500),
                    fixture.list.get("a"));
        }
        assertTrue(
                fixture.events.stream()
                        .flatMap(each -> each.members().stream())
                        .noneMatch(each -> each.state() == HostState.GONE),
                "a flapping host is never gone");
        assertEquals(3, fixture.discovery.rememberedNodes());
    }

    @Test
    void flappingNodeWithAnotherStartIsAnotherProcess() {
        listThreeHosts();
        long start = 500;
        for (int i = 0; i < 10; i++) {
            fixture.delete(fixture.nextZxid(), "a");
            fixture.advance(200);
            start += 1000;
            fixture.put("a", NodeDiscoveryFixture.ready(fixture.nextZxid(), 1, start));
            fixture.advance(5800);
            assertEquals(start, fixture.list.get("a").startedAtUnixMillis());
        }
    }

    /** Guards against a restarted, cold process that is taken for the old, warm one. */
    @Test
    void restartUnderAClockThatSteppedBackIsARestart() {
        listThreeHosts();
        fixture.delete(fixture.nextZxid(), "c");
        fixture.put("c", NodeDiscoveryFixture.ready(fixture.nextZxid(), 3, 650));
        fixture.advance(100);
        long start = fixture.list.get("c").startedAtUnixMillis();
        assertTrue(start > 700, "started at " + start);
        fixture.put(
                "c",
                NodeDiscoveryFixture.node(
                        103,
                        fixture.nextZxid(),
                        NodeDiscoveryFixture.data(3, HostState.READY, 650)));
        fixture.advance(100);
        assertEquals(
                start,
                fixture.list.get("c").startedAtUnixMillis(),
                "the same stated start is the same process");
    }

    @Test
    void missingStartIsTheNodesCreation() {
        fixture.session(SessionState.CONNECTED);
        fixture.snapshot(
                10,
                Map.of(
                        "a",
                        NodeDiscoveryFixture.ready(7, 1, 0),
                        "b",
                        new NodeRead(
                                NodeDiscoveryFixture.data(2, HostState.READY, 0), null, 0, 8, 8)));
        assertEquals(7000, fixture.list.get("a").startedAtUnixMillis());
        assertTrue(
                fixture.list.get("b").startedAtUnixMillis() > 0,
                "an unknown start must not count as long ago");
        fixture.delete(fixture.nextZxid(), "a");
        fixture.put("a", NodeDiscoveryFixture.ready(fixture.nextZxid(), 1, 0));
        fixture.advance(100);
        assertTrue(fixture.list.get("a").startedAtUnixMillis() > 7000);
    }

    @Test
    void nodeReturningAfterRemovalIsAnotherProcess() {
        listThreeHosts();
        fixture.delete(fixture.nextZxid(), "a");
        fixture.advance(2500);
        assertEquals(HostState.GONE, fixture.state("a"));
        fixture.put("a", NodeDiscoveryFixture.ready(fixture.nextZxid(), 1, 500));
        fixture.advance(100);
        assertEquals(HostState.READY, fixture.state("a"));
    }

    // ---- reads

    @Test
    void overdueDataDrainsTheHostUntilItIsRead() {
        listThreeHosts();
        long zxid = fixture.nextZxid();
        fixture.changed(zxid, "a");
        fixture.advance(900);
        assertEquals(HostState.READY, fixture.state("a"));
        fixture.advance(200);
        assertEquals(HostState.DRAINING, fixture.state("a"));
        fixture.advance(60_000);
        assertEquals(
                HostState.DRAINING,
                fixture.state("a"),
                "drains without a time limit, and is never gone");
        fixture.read(
                "a",
                NodeDiscoveryFixture.node(
                        1, 1, NodeDiscoveryFixture.data(1, HostState.READY, 500)));
        fixture.advance(100);
        assertEquals(HostState.DRAINING, fixture.state("a"), "older than the change");
        fixture.read(
                "a",
                NodeDiscoveryFixture.node(
                        1, zxid, NodeDiscoveryFixture.data(1, HostState.READY, 500)));
        fixture.advance(100);
        assertEquals(HostState.READY, fixture.state("a"));
    }

    /** Guards against a read time-out that starts again with each of many changes. */
    @Test
    void readTimeoutRunsFromTheFirstOfManyChanges() {
        listThreeHosts();
        for (int i = 0; i < 12; i++) {
            fixture.changed(fixture.nextZxid(), "a");
            fixture.advance(100);
        }
        assertEquals(HostState.DRAINING, fixture.state("a"));
    }

    @Test
    void readOfALaterChangeIsTaken() {
        listThreeHosts();
        long first = fixture.nextZxid();
        long second = fixture.nextZxid();
        fixture.changed(first, "a");
        fixture.read(
                "a",
                NodeDiscoveryFixture.node(
                        1, second, NodeDiscoveryFixture.data(1, HostState.DRAINING, 500)));
        fixture.changed(second, "a");
        fixture.advance(1500);
        assertEquals(HostState.DRAINING, fixture.state("a"));
        fixture.read(
                "a",
                NodeDiscoveryFixture.node(
                        1, first, NodeDiscoveryFixture.data(1, HostState.READY, 500)));
        fixture.advance(100);
        assertEquals(HostState.DRAINING, fixture.state("a"));
    }

    /**
     * Guards against a deleted node that exists again because of a response that was in flight when
     * it was deleted.
     */
    @Test
    void readFromBeforeTheDeletionIsIgnored() {
        listThreeHosts();
        fixture.changed(fixture.nextZxid(), "d");
        fixture.delete(fixture.nextZxid(), "d");
        fixture.read("d", NodeDiscoveryFixture.ready(101, 4, 800));
        fixture.delete(fixture.nextZxid(), "a");
        fixture.read("a", NodeDiscoveryFixture.ready(1, 1, 500));
        fixture.changed(fixture.nextZxid(), "a");
        fixture.read("a", NodeDiscoveryFixture.ready(1, 1, 500));
        fixture.advance(100);
        assertEquals(HostState.GONE, fixture.state("d"));
        assertEquals(HostState.DRAINING, fixture.state("a"));
    }

    @Test
    void unreadableNodeIsLeftOutAndLoggedOnce() {
        fixture.session(SessionState.CONNECTED);
        fixture.snapshot(
                10,
                Map.of(
                        "a",
                        NodeDiscoveryFixture.ready(1, 1, 500),
                        "bad",
                        NodeDiscoveryFixture.unreadable(2)));
        fixture.put("bad", NodeDiscoveryFixture.unreadable(fixture.nextZxid()));
        fixture.advance(300);
        assertEquals(1, fixture.list.size());
        assertEquals(1, fixture.discovery.unreadable());
        assertEquals(1, fixture.warningLines.size());
        fixture.put(
                "bad",
                NodeDiscoveryFixture.node(
                        2, fixture.nextZxid(), NodeDiscoveryFixture.data(2, HostState.READY, 600)));
        fixture.put("a", new NodeRead(null, "garbage", 1000, fixture.nextZxid(), 1));
        fixture.advance(100);
        assertEquals(HostState.READY, fixture.state("bad"));
        assertEquals(
                HostState.DRAINING,
                fixture.state("a"),
                "the unreadable data may say that it drains");
        for (int i = 0; i < 300; i++) {
            fixture.put("x" + i, NodeDiscoveryFixture.unreadable(fixture.nextZxid()));
        }
        assertEquals(301, fixture.discovery.unreadable());
        assertEquals(
                101,
                fixture.warningLines.size(),
                "100 nodes are logged, and one line for the rest");
    }

    /**
     * A node that may not be read comes without a transaction, and must not count as older than the
     * known data.
     */
    @Test
    void nodeThatBecomesUnreadableDrains() {
        listThreeHosts();
        fixture.snapshot(
                fixture.nextZxid(),
                Map.of(
                        "a",
                        new NodeRead(null, "may not be read", 0, 0, 0),
                        "b",
                        NodeDiscoveryFixture.ready(2, 2, 600),
                        "c",
                        NodeDiscoveryFixture.ready(3, 3, 700)));
        assertEquals(HostState.DRAINING, fixture.state("a"));
    }

    // ---- sessions

    @Test
    void listStandsWhileDisconnectedAndTheNextSnapshotBringsMissedChanges() {
        listThreeHosts();
        fixture.session(SessionState.SUSPENDED);
        fixture.session(SessionState.EXPIRED);
        fixture.advance(3_600_000);
        assertEquals(StalenessCause.NOT_CONNECTED, fixture.discovery.staleness());
        assertEquals(1, fixture.warningLines.size(), "logged once");
        assertEquals(1, fixture.events.size());
        fixture.session(SessionState.CONNECTED);
        assertEquals(StalenessCause.NOT_CONNECTED, fixture.discovery.staleness());
        fixture.snapshot(
                fixture.nextZxid(),
                Map.of(
                        "a",
                        NodeDiscoveryFixture.ready(1, 1, 500),
                        "d",
                        NodeDiscoveryFixture.ready(50, 4, 900),
                        "c",
                        NodeDiscoveryFixture.node(
                                3, 51, NodeDiscoveryFixture.data(3, HostState.DRAINING, 700))));
        assertEquals(StalenessCause.NONE, fixture.discovery.staleness());
        assertEquals(HostState.READY, fixture.state("a"));
        assertEquals(HostState.DRAINING, fixture.state("b"));
        assertEquals(HostState.DRAINING, fixture.state("c"));
        assertEquals(HostState.READY, fixture.state("d"));
        assertEquals(2, fixture.infoLines.size());
    }

    @Test
    void listStandsWhileTheSubtreeCantBeRead() {
        listThreeHosts();
        for (StalenessCause each :
                List.of(
                        StalenessCause.ROOT_MISSING,
                        StalenessCause.ACCESS_DENIED,
                        StalenessCause.TOO_LARGE)) {
            fixture.discovery.markStale(fixture.nowNanos(), each);
            fixture.advance(10_000);
            assertEquals(each, fixture.discovery.staleness());
        }
        assertEquals(3, fixture.warningLines.size());
        assertEquals(1, fixture.events.size());
    }

    /** A notified deletion counts, even if the root was deleted too. */
    @Test
    void eventWhileStaleIsBelieved() {
        listThreeHosts();
        fixture.discovery.markStale(fixture.nowNanos(), StalenessCause.ROOT_MISSING);
        fixture.delete(fixture.nextZxid(), "a");
        assertEquals(HostState.DRAINING, fixture.state("a"));
    }

    @Test
    void readOnlyServerRemovesNoHost() {
        listThreeHosts();
        fixture.session(SessionState.READ_ONLY);
        fixture.snapshot(fixture.nextZxid(), Map.of());
        fixture.delete(fixture.nextZxid(), "a");
        fixture.put("d", NodeDiscoveryFixture.ready(fixture.nextZxid(), 4, 900));
        fixture.advance(5000);
        assertEquals(StalenessCause.READ_ONLY, fixture.discovery.staleness());
        assertEquals(1, fixture.events.size());
        fixture.session(SessionState.CONNECTED);
        fixture.snapshot(fixture.nextZxid(), Map.of("b", NodeDiscoveryFixture.ready(2, 2, 600)));
        assertEquals(HostState.DRAINING, fixture.state("a"));
    }

    @Test
    void readOnlyServerIsUsedForTheFirstSnapshot() {
        fixture.session(SessionState.READ_ONLY);
        fixture.snapshot(10, Map.of("a", NodeDiscoveryFixture.ready(1, 1, 500)));
        assertEquals(HostState.READY, fixture.state("a"));
        assertEquals(StalenessCause.READ_ONLY, fixture.discovery.staleness());
    }

    // ---- transactions lower than before

    @Test
    void olderStateIsIgnoredUntilTheServerHasCaughtUp() {
        listThreeHosts();
        fixture.delete(20, "a");
        fixture.put("d", NodeDiscoveryFixture.ready(30, 4, 900));
        fixture.advance(3000);
        fixture.session(SessionState.SUSPENDED);
        fixture.session(SessionState.CONNECTED);
        fixture.snapshot(
                10,
                Map.of(
                        "a",
                        NodeDiscoveryFixture.ready(1, 1, 500),
                        "b",
                        NodeDiscoveryFixture.ready(2, 2, 600),
                        "c",
                        NodeDiscoveryFixture.ready(3, 3, 700)));
        assertEquals(StalenessCause.OLDER, fixture.discovery.staleness());
        fixture.changed(2, "b");
        fixture.delete(16, "d");
        fixture.changed(17, "e");
        fixture.read("e", NodeDiscoveryFixture.ready(17, 5, 900));
        fixture.advance(3000);
        assertEquals(HostState.GONE, fixture.state("e"));
        assertEquals(HostState.GONE, fixture.state("a"));
        assertEquals(HostState.READY, fixture.state("b"));
        assertEquals(HostState.READY, fixture.state("d"));
        fixture.delete(31, "b");
        assertEquals(HostState.DRAINING, fixture.state("b"), "newer than all that was seen");
        fixture.snapshot(
                31,
                Map.of(
                        "c",
                        NodeDiscoveryFixture.ready(3, 3, 700),
                        "d",
                        NodeDiscoveryFixture.ready(30, 4, 900)));
        assertEquals(StalenessCause.NONE, fixture.discovery.staleness());
        assertEquals(HostState.READY, fixture.state("d"));
        fixture.advance(60_000);
        assertEquals(2, fixture.list.size());
    }

    /** A session that continues proves that the ensemble has its history: the server only lags. */
    @Test
    void ensembleThatKeepsTheSessionIsNeverTakenForWiped() {
        listThreeHosts();
        fixture.session(SessionState.SUSPENDED);
        fixture.session(SessionState.CONNECTED);
        for (int i = 0; i < 100; i++) {
            fixture.snapshot(5, Map.of());
            fixture.advance(1000);
        }
        assertEquals(StalenessCause.OLDER, fixture.discovery.staleness());
        assertEquals(3, fixture.list.size());
    }

    /** Lists three hosts, then wipes the ensemble: a new session, and lower transactions. */
    private void wipeEnsemble() {
        listThreeHosts();
        fixture.session(SessionState.EXPIRED);
        fixture.session(SessionState.CONNECTED);
        for (int i = 0; i < 10; i++) {
            fixture.snapshot(5, Map.of());
            fixture.advance(2000);
        }
        assertEquals(StalenessCause.WIPED, fixture.discovery.staleness());
        assertEquals(3, fixture.list.size());
    }

    @Test
    void wipedEnsembleLeavesTheListUntilItHoldsNodesAgain() {
        wipeEnsemble();
        fixture.changed(fixture.nextZxid(), "a");
        fixture.changed(fixture.nextZxid(), "d");
        fixture.advance(60_000);
        assertEquals(
                HostState.READY,
                fixture.state("a"),
                "changes don't count before the next snapshot with nodes");
        fixture.snapshot(6, Map.of("b", NodeDiscoveryFixture.ready(6, 2, 600)));
        assertEquals(StalenessCause.NONE, fixture.discovery.staleness());
        fixture.advance(9000);
        assertEquals(HostState.READY, fixture.state("a"), "it has time to register again");
        fixture.put("a", NodeDiscoveryFixture.ready(7, 1, 500));
        fixture.advance(2000);
        assertEquals(HostState.READY, fixture.state("a"));
        assertEquals(HostState.READY, fixture.state("b"));
        assertEquals(HostState.DRAINING, fixture.state("c"));
        fixture.delete(8, "b");
        assertEquals(HostState.DRAINING, fixture.state("b"), "deletions in the new history count");
    }

    @Test
    void changeInANewHistoryAppliesToHostsOfTheLostOne() {
        wipeEnsemble();
        fixture.snapshot(6, Map.of("b", NodeDiscoveryFixture.ready(6, 2, 600)));
        fixture.put("a", NodeDiscoveryFixture.ready(7, 1, 500));
        fixture.delete(8, "a");
        assertEquals(HostState.DRAINING, fixture.state("a"));
    }

    /**
     * Guards against a node that was created again in time but is deleted with the lost history,
     * because its data were not read yet.
     */
    @Test
    void returnedNodeIsNotDroppedWithTheLostHistory() {
        wipeEnsemble();
        fixture.snapshot(6, Map.of("b", NodeDiscoveryFixture.ready(6, 2, 600)));
        fixture.changed(7, "a");
        fixture.advance(12_000);
        assertEquals(HostState.DRAINING, fixture.state("a"));
        fixture.snapshot(
                7,
                Map.of(
                        "b",
                        NodeDiscoveryFixture.ready(6, 2, 600),
                        "a",
                        NodeDiscoveryFixture.ready(7, 1, 500)));
        assertEquals(HostState.READY, fixture.state("a"));
    }

    @Test
    void deletionIsBelievedInAWipedEnsemble() {
        wipeEnsemble();
        fixture.delete(6, "a");
        assertEquals(HostState.DRAINING, fixture.state("a"));
    }

    @Test
    void wipedEnsembleIsBelievedIfAnOperatorAcceptsIt() {
        wipeEnsemble();
        fixture.discovery.acceptState(fixture.nowNanos());
        assertEquals(3, fixture.list.size());
        fixture.snapshot(5, Map.of());
        assertEquals(StalenessCause.NONE, fixture.discovery.staleness());
        assertEquals(HostState.DRAINING, fixture.state("a"));
        fixture.advance(3000);
        assertEquals(0, fixture.list.size());
    }

    @Test
    void acceptHasNoEffectWhileTheListIsNotStale() {
        listThreeHosts();
        fixture.discovery.acceptState(fixture.nowNanos());
        assertEquals(1, fixture.events.size());
        fixture.snapshot(9, Map.of());
        assertEquals(StalenessCause.OLDER, fixture.discovery.staleness());
    }

    @Test
    void ensembleWipedByItsRootIsStaleAtOnce() {
        listThreeHosts();
        fixture.discovery.markStale(fixture.nowNanos(), StalenessCause.WIPED);
        fixture.snapshot(1000, Map.of());
        assertEquals(StalenessCause.WIPED, fixture.discovery.staleness());
        assertEquals(3, fixture.list.size());
    }

    // ---- events during a snapshot

    @Test
    void eventDuringASnapshotIsNewerThanIt() {
        listThreeHosts();
        long asOf = fixture.nowNanos();
        fixture.advance(300);
        fixture.put("d", NodeDiscoveryFixture.ready(fixture.nextZxid(), 4, 800));
        fixture.changed(fixture.nextZxid(), "e");
        fixture.delete(fixture.nextZxid(), "a");
        fixture.put(
                "b",
                NodeDiscoveryFixture.node(
                        2,
                        fixture.nextZxid(),
                        NodeDiscoveryFixture.data(2, HostState.DRAINING, 600)));
        fixture.advance(300);
        fixture.discovery.onSnapshot(
                fixture.nowNanos(),
                asOf,
                10,
                Map.of(
                        "a",
                        NodeDiscoveryFixture.ready(1, 1, 500),
                        "b",
                        NodeDiscoveryFixture.ready(2, 2, 600),
                        "c",
                        NodeDiscoveryFixture.ready(3, 3, 700)));
        assertEquals(HostState.DRAINING, fixture.state("a"));
        assertEquals(HostState.DRAINING, fixture.state("b"));
        assertEquals(HostState.READY, fixture.state("c"));
        assertEquals(HostState.READY, fixture.state("d"));
        fixture.read("e", NodeDiscoveryFixture.ready(102, 5, 900));
        fixture.advance(100);
        assertEquals(HostState.READY, fixture.state("e"));
        assertEquals(StalenessCause.NONE, fixture.discovery.staleness());
    }

    /** Ensembles before version 3.9 send events without a transaction. */
    @Test
    void eventsWithoutATransactionAreBelievedInTheirOrder() {
        listThreeHosts();
        fixture.delete(-1, "a");
        assertEquals(HostState.DRAINING, fixture.state("a"));
        fixture.changed(-1, "a");
        fixture.read("a", NodeDiscoveryFixture.ready(1, 1, 500));
        fixture.advance(100);
        assertEquals(HostState.DRAINING, fixture.state("a"), "the data are of the deleted node");
        fixture.read("a", NodeDiscoveryFixture.ready(120, 1, 500));
        fixture.advance(100);
        assertEquals(HostState.READY, fixture.state("a"));
    }

    // ---- ids and addresses

    @Test
    void hostMayHaveAnotherIdThanItsNode() {
        listThreeHosts();
        NodeData named =
                new NodeData(
                        NodeDiscoveryFixture.at(4), 0, 0, 0, HostState.READY, 1, 900, "server-4");
        fixture.put("n4", NodeDiscoveryFixture.node(fixture.nextZxid(), 104, named));
        fixture.advance(100);
        assertEquals(HostState.READY, fixture.state("server-4"));
        fixture.put("n4-again", NodeDiscoveryFixture.node(105, 105, named));
        fixture.delete(106, "n4");
        fixture.advance(5000);
        assertEquals(HostState.READY, fixture.state("server-4"), "two nodes of one server");
        fixture.delete(107, "n4-again");
        assertEquals(HostState.DRAINING, fixture.state("server-4"));
        fixture.put(
                "a",
                NodeDiscoveryFixture.node(
                        1,
                        108,
                        new NodeData(
                                NodeDiscoveryFixture.at(1),
                                0,
                                0,
                                0,
                                HostState.READY,
                                1,
                                500,
                                "other")));
        fixture.advance(100);
        assertEquals(HostState.GONE, fixture.state("a"));
        assertEquals(HostState.READY, fixture.state("other"));
    }

    @Test
    void laterHostHoldsTheAddressBeforeTheOldNodeIsDeleted() {
        listThreeHosts();
        fixture.put("d", NodeDiscoveryFixture.ready(fixture.nextZxid(), 1, 900));
        assertEquals(HostState.READY, fixture.state("d"), "at once");
        assertEquals(HostState.GONE, fixture.state("a"));
        fixture.delete(fixture.nextZxid(), "a");
        fixture.advance(5000);
        assertEquals(HostState.READY, fixture.state("d"));
        assertEquals(HostState.GONE, fixture.state("a"));
        fixture.delete(fixture.nextZxid(), "d");
        fixture.advance(5000);
        assertEquals(2, fixture.discovery.rememberedNodes());
    }

    /**
     * Guards against a displaced host that gets requests again once the host that took its address
     * has ended.
     */
    @Test
    void displacedHostDoesNotReturnWhenTheLaterOneEnds() {
        listThreeHosts();
        fixture.put("d", NodeDiscoveryFixture.ready(fixture.nextZxid(), 1, 900));
        fixture.delete(fixture.nextZxid(), "d");
        fixture.advance(5000);
        assertEquals(HostState.GONE, fixture.state("d"));
        assertEquals(HostState.GONE, fixture.state("a"));
        fixture.put("a", NodeDiscoveryFixture.ready(fixture.nextZxid(), 1, 500));
        fixture.advance(100);
        assertEquals(HostState.READY, fixture.state("a"), "its node was created again");
    }

    /**
     * Guards against a host that is not listed because another one at its address, whose clock is
     * ahead, counts as later although its node was deleted.
     */
    @Test
    void hostOfADeletedNodeHoldsNoAddress() {
        listThreeHosts();
        fixture.delete(fixture.nextZxid(), "c");
        fixture.put("d", NodeDiscoveryFixture.ready(fixture.nextZxid(), 3, 650));
        fixture.advance(100);
        assertEquals(HostState.READY, fixture.state("d"));
        assertEquals(HostState.GONE, fixture.state("c"));
    }

    // ---- bounds

    @Test
    void nothingIsKeptOfHostsInNoSource() {
        listThreeHosts();
        for (int i = 0; i < 10_000; i++) {
            String name = "n" + i;
            fixture.put(
                    name,
                    i % 3 == 0
                            ? NodeDiscoveryFixture.unreadable(fixture.nextZxid())
                            : NodeDiscoveryFixture.ready(fixture.nextZxid(), 10 + i, i));
            fixture.delete(fixture.nextZxid(), name);
            fixture.delete(fixture.nextZxid(), "never" + i);
        }
        fixture.advance(2200);
        assertEquals(3, fixture.discovery.rememberedNodes());
        assertEquals(3, fixture.discovery.size());
        assertEquals(0, fixture.discovery.unreadable());
    }

    @Test
    void changeWithoutEffectIsNotPublished() {
        listThreeHosts();
        fixture.put(
                "a",
                NodeDiscoveryFixture.node(
                        1, fixture.nextZxid(), NodeDiscoveryFixture.data(1, HostState.READY, 500)));
        fixture.advance(1000);
        fixture.snapshot(
                fixture.nextZxid(),
                Map.of(
                        "a",
                        NodeDiscoveryFixture.node(
                                1, 101, NodeDiscoveryFixture.data(1, HostState.READY, 500)),
                        "b",
                        NodeDiscoveryFixture.ready(2, 2, 600),
                        "c",
                        NodeDiscoveryFixture.ready(3, 3, 700)));
        assertEquals(1, fixture.events.size());
    }

    @Test
    void registryFailurePassesThroughAndItsListsDoNot() {
        fixture.registry(UpdateKind.FAILURE);
        assertEquals(UpdateKind.FAILURE, fixture.events.get(0).kind());
        listThreeHosts();
        fixture.registry(
                UpdateKind.SNAPSHOT, NodeDiscoveryFixture.member("r", 9, HostState.READY, 1));
        fixture.advance(1000);
        assertEquals(HostState.GONE, fixture.state("r"));
    }
}
