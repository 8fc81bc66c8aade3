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

/** What counts as told, and what stands where nothing was told: ephemeral nodes alone. */
class NodeDiscoveryTest {
    private final NodeDiscoveryFixture told = new NodeDiscoveryFixture(SourceSelection.NODES);

    /** Three servers, connected. */
    private void three() {
        told.session(SessionState.CONNECTED);
        told.snapshot(
                10,
                Map.of(
                        "a",
                        NodeDiscoveryFixture.ready(1, 1, 500),
                        "b",
                        NodeDiscoveryFixture.ready(2, 2, 600),
                        "c",
                        NodeDiscoveryFixture.ready(3, 3, 700)));
        told.pass(200);
    }

    @Test
    void firstSnapshotIsPublishedAsSnapshot() {
        assertFalse(told.membership.hasList());
        assertEquals(StalenessCause.NOT_CONNECTED, told.membership.staleness());
        three();
        assertEquals(1, told.events.size());
        assertEquals(UpdateKind.SNAPSHOT, told.events.get(0).kind());
        assertEquals(3, told.membership.size());
        assertEquals(StalenessCause.NONE, told.membership.staleness());
        assertTrue(told.membership.hasList());
        assertEquals(NodeDiscoveryFixture.member("b", 2, HostState.READY, 600), told.list.get("b"));
    }

    /**
     * Guards against a list from before the start that outlives what is told before the nodes are
     * read.
     */
    @Test
    void cachedListHoldsUntilADeletionOrTheFirstSnapshot() {
        told.registry(
                UpdateKind.CACHED_SNAPSHOT,
                NodeDiscoveryFixture.member("a", 1, HostState.READY, 500),
                NodeDiscoveryFixture.member("old", 9, HostState.READY, 500));
        told.session(SessionState.CONNECTED);
        told.put("d", NodeDiscoveryFixture.ready(11, 4, 800));
        told.gone(12, "a");
        assertEquals(HostState.GONE, told.state("a"));
        told.pass(5000);
        assertEquals(HostState.READY, told.state("old"));
        assertEquals(HostState.GONE, told.state("d"), "no list yet");
        told.snapshot(
                12,
                Map.of(
                        "d",
                        NodeDiscoveryFixture.ready(11, 4, 800),
                        "b",
                        NodeDiscoveryFixture.ready(2, 2, 600)));
        assertEquals(Set.of("b", "d"), told.list.keySet());
    }

    // ---- ends

    @Test
    void deletedNodeDrainsAtOnceAndIsGoneLater() {
        three();
        told.gone(told.nextZxid(), "b");
        assertEquals(HostState.DRAINING, told.state("b"));
        assertEquals(told.now, told.last("b", HostState.DRAINING).toldAt());
        assertEquals("nodes", told.last("b", HostState.DRAINING).source());
        told.pass(1900);
        assertEquals(HostState.DRAINING, told.state("b"));
        told.pass(200);
        assertEquals(HostState.GONE, told.state("b"));
        assertEquals(2, told.membership.rememberedNodes());
    }

    @Test
    void deletionOfAllNodesIsBelieved() {
        three();
        told.snapshot(told.nextZxid(), Map.of());
        assertEquals(
                0,
                told.list.values().stream()
                        .filter(each -> each.state() == HostState.READY)
                        .count());
        told.pass(3000);
        assertEquals(0, told.list.size());
        assertEquals(0, told.membership.rememberedNodes());
    }

    /**
     * Guards against a flood of events, each of which costs the loop work that grows with the list.
     */
    @Test
    void manyDeletionsInOneTickArePublishedInTwoUpdates() {
        three();
        int before = told.events.size();
        told.gone(told.nextZxid(), "a");
        told.gone(told.nextZxid(), "b");
        told.gone(told.nextZxid(), "c");
        told.pass(100);
        assertEquals(before + 2, told.events.size());
        assertEquals(HostState.DRAINING, told.state("c"));
    }

    @Test
    void drainIsPublishedAtOnceAndANewHostWithTheTick() {
        three();
        told.put(
                "a",
                NodeDiscoveryFixture.node(
                        1, told.nextZxid(), NodeDiscoveryFixture.data(1, HostState.DRAINING, 500)));
        assertEquals(HostState.DRAINING, told.state("a"));
        told.put("d", NodeDiscoveryFixture.ready(told.nextZxid(), 4, 800));
        assertEquals(HostState.GONE, told.state("d"));
        told.pass(100);
        assertEquals(HostState.READY, told.state("d"));
    }

    /**
     * Guards against a drain whose time is counted from when it was read: a queue may have held it.
     */
    @Test
    void updateCarriesTheTimeOfNotification() {
        three();
        told.membership.onNodeDeleted(
                told.now * NodeDiscoveryFixture.MS,
                (told.now - 700) * NodeDiscoveryFixture.MS,
                told.nextZxid(),
                "a");
        assertEquals(told.now - 700, told.last("a", HostState.DRAINING).toldAt());
    }

    @Test
    void deletionOlderThanTheNodeIsIgnored() {
        three();
        told.put("a", NodeDiscoveryFixture.ready(told.nextZxid(), 1, 900));
        told.pass(100);
        told.gone(50, "a");
        assertEquals(HostState.READY, told.state("a"));
    }

    // ---- flaps

    @Test
    void flappingNodeWithTheSameStartIsTheSameProcess() {
        three();
        for (int i = 0; i < 10; i++) {
            told.gone(told.nextZxid(), "a");
            told.pass(400);
            assertEquals(HostState.DRAINING, told.state("a"));
            told.put("a", NodeDiscoveryFixture.ready(told.nextZxid(), 1, 500));
            told.pass(5600);
            assertEquals(
                    NodeDiscoveryFixture.member("a", 1, HostState.READY, 500), told.list.get("a"));
        }
        assertTrue(
                told.events.stream()
                        .flatMap(each -> each.members().stream())
                        .noneMatch(each -> each.state() == HostState.GONE),
                "its records are kept");
        assertEquals(3, told.membership.rememberedNodes());
    }

    @Test
    void flappingNodeWithAnotherStartIsAnotherProcess() {
        three();
        long start = 500;
        for (int i = 0; i < 10; i++) {
            told.gone(told.nextZxid(), "a");
            told.pass(200);
            start += 1000;
            told.put("a", NodeDiscoveryFixture.ready(told.nextZxid(), 1, start));
            told.pass(5800);
            assertEquals(start, told.list.get("a").startedAtUnixMillis());
        }
    }

    /** Guards against a restarted, cold process that is taken for the old one. */
    @Test
    void restartUnderAClockThatSteppedBackIsARestart() {
        three();
        told.gone(told.nextZxid(), "c");
        told.put("c", NodeDiscoveryFixture.ready(told.nextZxid(), 3, 650));
        told.pass(100);
        long start = told.list.get("c").startedAtUnixMillis();
        assertTrue(start > 700, "started at " + start);
        told.put(
                "c",
                NodeDiscoveryFixture.node(
                        103, told.nextZxid(), NodeDiscoveryFixture.data(3, HostState.READY, 650)));
        told.pass(100);
        assertEquals(
                start,
                told.list.get("c").startedAtUnixMillis(),
                "what it says again is nothing new");
    }

    @Test
    void missingStartIsTheNodesCreation() {
        told.session(SessionState.CONNECTED);
        told.snapshot(
                10,
                Map.of(
                        "a",
                        NodeDiscoveryFixture.ready(7, 1, 0),
                        "b",
                        new NodeRead(
                                NodeDiscoveryFixture.data(2, HostState.READY, 0), null, 0, 8, 8)));
        assertEquals(7000, told.list.get("a").startedAtUnixMillis());
        assertTrue(told.list.get("b").startedAtUnixMillis() > 0, "cold, and never long ago");
        told.gone(told.nextZxid(), "a");
        told.put("a", NodeDiscoveryFixture.ready(told.nextZxid(), 1, 0));
        told.pass(100);
        assertTrue(told.list.get("a").startedAtUnixMillis() > 7000);
    }

    @Test
    void nodeReturningAfterRemovalIsAnotherProcess() {
        three();
        told.gone(told.nextZxid(), "a");
        told.pass(2500);
        assertEquals(HostState.GONE, told.state("a"));
        told.put("a", NodeDiscoveryFixture.ready(told.nextZxid(), 1, 500));
        told.pass(100);
        assertEquals(HostState.READY, told.state("a"));
    }

    // ---- data

    @Test
    void overdueDataDrainsTheHostUntilItIsRead() {
        three();
        long zxid = told.nextZxid();
        told.changed(zxid, "a");
        told.pass(900);
        assertEquals(HostState.READY, told.state("a"));
        told.pass(200);
        assertEquals(HostState.DRAINING, told.state("a"));
        told.pass(60_000);
        assertEquals(HostState.DRAINING, told.state("a"), "without end, and never gone");
        told.read(
                "a",
                NodeDiscoveryFixture.node(
                        1, 1, NodeDiscoveryFixture.data(1, HostState.READY, 500)));
        told.pass(100);
        assertEquals(HostState.DRAINING, told.state("a"), "older than the change");
        told.read(
                "a",
                NodeDiscoveryFixture.node(
                        1, zxid, NodeDiscoveryFixture.data(1, HostState.READY, 500)));
        told.pass(100);
        assertEquals(HostState.READY, told.state("a"));
    }

    /** Guards against a second that begins anew with each of many changes. */
    @Test
    void readTimeoutRunsFromTheFirstOfManyChanges() {
        three();
        for (int i = 0; i < 12; i++) {
            told.changed(told.nextZxid(), "a");
            told.pass(100);
        }
        assertEquals(HostState.DRAINING, told.state("a"));
    }

    @Test
    void readOfALaterChangeIsTaken() {
        three();
        long first = told.nextZxid();
        long second = told.nextZxid();
        told.changed(first, "a");
        told.read(
                "a",
                NodeDiscoveryFixture.node(
                        1, second, NodeDiscoveryFixture.data(1, HostState.DRAINING, 500)));
        told.changed(second, "a");
        told.pass(1500);
        assertEquals(HostState.DRAINING, told.state("a"));
        told.read(
                "a",
                NodeDiscoveryFixture.node(
                        1, first, NodeDiscoveryFixture.data(1, HostState.READY, 500)));
        told.pass(100);
        assertEquals(HostState.DRAINING, told.state("a"));
    }

    /**
     * Guards against one that comes back to life by an answer that was on its way when it ended.
     */
    @Test
    void readFromBeforeTheDeletionIsIgnored() {
        three();
        told.changed(told.nextZxid(), "d");
        told.gone(told.nextZxid(), "d");
        told.read("d", NodeDiscoveryFixture.ready(101, 4, 800));
        told.gone(told.nextZxid(), "a");
        told.read("a", NodeDiscoveryFixture.ready(1, 1, 500));
        told.changed(told.nextZxid(), "a");
        told.read("a", NodeDiscoveryFixture.ready(1, 1, 500));
        told.pass(100);
        assertEquals(HostState.GONE, told.state("d"));
        assertEquals(HostState.DRAINING, told.state("a"));
    }

    @Test
    void unreadableNodeIsLeftOutAndLoggedOnce() {
        told.session(SessionState.CONNECTED);
        told.snapshot(
                10,
                Map.of(
                        "a",
                        NodeDiscoveryFixture.ready(1, 1, 500),
                        "bad",
                        NodeDiscoveryFixture.unreadable(2)));
        told.put("bad", NodeDiscoveryFixture.unreadable(told.nextZxid()));
        told.pass(300);
        assertEquals(1, told.list.size());
        assertEquals(1, told.membership.unreadable());
        assertEquals(1, told.warnings.size());
        told.put(
                "bad",
                NodeDiscoveryFixture.node(
                        2, told.nextZxid(), NodeDiscoveryFixture.data(2, HostState.READY, 600)));
        told.put("a", new NodeRead(null, "garbage", 1000, told.nextZxid(), 1));
        told.pass(100);
        assertEquals(HostState.READY, told.state("bad"));
        assertEquals(HostState.DRAINING, told.state("a"), "what it says now may be that it ends");
        for (int i = 0; i < 300; i++) {
            told.put("x" + i, NodeDiscoveryFixture.unreadable(told.nextZxid()));
        }
        assertEquals(301, told.membership.unreadable());
        assertEquals(101, told.warnings.size(), "named up to a bound");
    }

    /**
     * What has no transaction, because the reading itself was refused, is no older than anything.
     */
    @Test
    void nodeThatBecomesUnreadableDrains() {
        three();
        told.snapshot(
                told.nextZxid(),
                Map.of(
                        "a",
                        new NodeRead(null, "may not be read", 0, 0, 0),
                        "b",
                        NodeDiscoveryFixture.ready(2, 2, 600),
                        "c",
                        NodeDiscoveryFixture.ready(3, 3, 700)));
        assertEquals(HostState.DRAINING, told.state("a"));
    }

    // ---- sessions

    @Test
    void listStandsWhileDisconnectedAndTheNextSnapshotBringsMissedChanges() {
        three();
        told.session(SessionState.SUSPENDED);
        told.session(SessionState.EXPIRED);
        told.pass(3_600_000);
        assertEquals(StalenessCause.NOT_CONNECTED, told.membership.staleness());
        assertEquals(1, told.warnings.size(), "said once");
        assertEquals(1, told.events.size());
        told.session(SessionState.CONNECTED);
        assertEquals(StalenessCause.NOT_CONNECTED, told.membership.staleness());
        told.snapshot(
                told.nextZxid(),
                Map.of(
                        "a",
                        NodeDiscoveryFixture.ready(1, 1, 500),
                        "d",
                        NodeDiscoveryFixture.ready(50, 4, 900),
                        "c",
                        NodeDiscoveryFixture.node(
                                3, 51, NodeDiscoveryFixture.data(3, HostState.DRAINING, 700))));
        assertEquals(StalenessCause.NONE, told.membership.staleness());
        assertEquals(HostState.READY, told.state("a"));
        assertEquals(HostState.DRAINING, told.state("b"));
        assertEquals(HostState.DRAINING, told.state("c"));
        assertEquals(HostState.READY, told.state("d"));
        assertEquals(2, told.news.size());
    }

    @Test
    void listStandsWhileTheSubtreeCantBeRead() {
        three();
        for (StalenessCause each :
                List.of(
                        StalenessCause.ROOT_MISSING,
                        StalenessCause.ACCESS_DENIED,
                        StalenessCause.TOO_LARGE)) {
            told.membership.markStale(told.now * NodeDiscoveryFixture.MS, each);
            told.pass(10_000);
            assertEquals(each, told.membership.staleness());
        }
        assertEquals(3, told.warnings.size());
        assertEquals(1, told.events.size());
    }

    /** An end that was told counts, also where the root is gone by then. */
    @Test
    void eventWhileStaleIsBelieved() {
        three();
        told.membership.markStale(told.now * NodeDiscoveryFixture.MS, StalenessCause.ROOT_MISSING);
        told.gone(told.nextZxid(), "a");
        assertEquals(HostState.DRAINING, told.state("a"));
    }

    @Test
    void readOnlyServerRemovesNoHost() {
        three();
        told.session(SessionState.READ_ONLY);
        told.snapshot(told.nextZxid(), Map.of());
        told.gone(told.nextZxid(), "a");
        told.put("d", NodeDiscoveryFixture.ready(told.nextZxid(), 4, 900));
        told.pass(5000);
        assertEquals(StalenessCause.READ_ONLY, told.membership.staleness());
        assertEquals(1, told.events.size());
        told.session(SessionState.CONNECTED);
        told.snapshot(told.nextZxid(), Map.of("b", NodeDiscoveryFixture.ready(2, 2, 600)));
        assertEquals(HostState.DRAINING, told.state("a"));
    }

    @Test
    void readOnlyServerIsUsedForTheFirstSnapshot() {
        told.session(SessionState.READ_ONLY);
        told.snapshot(10, Map.of("a", NodeDiscoveryFixture.ready(1, 1, 500)));
        assertEquals(HostState.READY, told.state("a"));
        assertEquals(StalenessCause.READ_ONLY, told.membership.staleness());
    }

    // ---- transactions that run back

    @Test
    void olderStateIsIgnoredUntilTheServerHasCaughtUp() {
        three();
        told.gone(20, "a");
        told.put("d", NodeDiscoveryFixture.ready(30, 4, 900));
        told.pass(3000);
        told.session(SessionState.SUSPENDED);
        told.session(SessionState.CONNECTED);
        told.snapshot(
                10,
                Map.of(
                        "a",
                        NodeDiscoveryFixture.ready(1, 1, 500),
                        "b",
                        NodeDiscoveryFixture.ready(2, 2, 600),
                        "c",
                        NodeDiscoveryFixture.ready(3, 3, 700)));
        assertEquals(StalenessCause.OLDER, told.membership.staleness());
        told.changed(2, "b");
        told.gone(16, "d");
        told.changed(17, "e");
        told.read("e", NodeDiscoveryFixture.ready(17, 5, 900));
        told.pass(3000);
        assertEquals(HostState.GONE, told.state("e"));
        assertEquals(HostState.GONE, told.state("a"));
        assertEquals(HostState.READY, told.state("b"));
        assertEquals(HostState.READY, told.state("d"));
        told.gone(31, "b");
        assertEquals(HostState.DRAINING, told.state("b"), "newer than all");
        told.snapshot(
                31,
                Map.of(
                        "c",
                        NodeDiscoveryFixture.ready(3, 3, 700),
                        "d",
                        NodeDiscoveryFixture.ready(30, 4, 900)));
        assertEquals(StalenessCause.NONE, told.membership.staleness());
        assertEquals(HostState.READY, told.state("d"));
        told.pass(60_000);
        assertEquals(2, told.list.size());
    }

    /** A session that goes on proves that the ensemble has its past, so this is a lag for ever. */
    @Test
    void ensembleThatKeepsTheSessionIsNeverTakenForWiped() {
        three();
        told.session(SessionState.SUSPENDED);
        told.session(SessionState.CONNECTED);
        for (int i = 0; i < 100; i++) {
            told.snapshot(5, Map.of());
            told.pass(1000);
        }
        assertEquals(StalenessCause.OLDER, told.membership.staleness());
        assertEquals(3, told.list.size());
    }

    /** The ensemble has lost its past: a new session, and every answer is lower than before. */
    private void wiped() {
        three();
        told.session(SessionState.EXPIRED);
        told.session(SessionState.CONNECTED);
        for (int i = 0; i < 10; i++) {
            told.snapshot(5, Map.of());
            told.pass(2000);
        }
        assertEquals(StalenessCause.WIPED, told.membership.staleness());
        assertEquals(3, told.list.size());
    }

    @Test
    void wipedEnsembleLeavesTheListUntilItHoldsNodesAgain() {
        wiped();
        told.changed(told.nextZxid(), "a");
        told.changed(told.nextZxid(), "d");
        told.pass(60_000);
        assertEquals(HostState.READY, told.state("a"), "nothing is made of that");
        told.snapshot(6, Map.of("b", NodeDiscoveryFixture.ready(6, 2, 600)));
        assertEquals(StalenessCause.NONE, told.membership.staleness());
        told.pass(9000);
        assertEquals(HostState.READY, told.state("a"), "it has time to come back");
        told.put("a", NodeDiscoveryFixture.ready(7, 1, 500));
        told.pass(2000);
        assertEquals(HostState.READY, told.state("a"));
        assertEquals(HostState.READY, told.state("b"));
        assertEquals(HostState.DRAINING, told.state("c"));
        told.gone(8, "b");
        assertEquals(HostState.DRAINING, told.state("b"), "the new history is followed");
    }

    @Test
    void changeInANewHistoryAppliesToHostsOfTheLostOne() {
        wiped();
        told.snapshot(6, Map.of("b", NodeDiscoveryFixture.ready(6, 2, 600)));
        told.put("a", NodeDiscoveryFixture.ready(7, 1, 500));
        told.gone(8, "a");
        assertEquals(HostState.DRAINING, told.state("a"));
    }

    /**
     * Guards against a node that came back in time and is ended all the same, for want of its data.
     */
    @Test
    void returnedNodeIsNotDroppedWithTheLostHistory() {
        wiped();
        told.snapshot(6, Map.of("b", NodeDiscoveryFixture.ready(6, 2, 600)));
        told.changed(7, "a");
        told.pass(12_000);
        assertEquals(HostState.DRAINING, told.state("a"));
        told.snapshot(
                7,
                Map.of(
                        "b",
                        NodeDiscoveryFixture.ready(6, 2, 600),
                        "a",
                        NodeDiscoveryFixture.ready(7, 1, 500)));
        assertEquals(HostState.READY, told.state("a"));
    }

    @Test
    void deletionIsBelievedInAWipedEnsemble() {
        wiped();
        told.gone(6, "a");
        assertEquals(HostState.DRAINING, told.state("a"));
    }

    @Test
    void wipedEnsembleIsBelievedIfAnOperatorAcceptsIt() {
        wiped();
        told.membership.acceptState(told.now * NodeDiscoveryFixture.MS);
        assertEquals(3, told.list.size());
        told.snapshot(5, Map.of());
        assertEquals(StalenessCause.NONE, told.membership.staleness());
        assertEquals(HostState.DRAINING, told.state("a"));
        told.pass(3000);
        assertEquals(0, told.list.size());
    }

    @Test
    void acceptHasNoEffectWhileTheListIsNotStale() {
        three();
        told.membership.acceptState(told.now * NodeDiscoveryFixture.MS);
        assertEquals(1, told.events.size());
        told.snapshot(9, Map.of());
        assertEquals(StalenessCause.OLDER, told.membership.staleness());
    }

    @Test
    void ensembleWipedByItsRootIsStaleAtOnce() {
        three();
        told.membership.markStale(told.now * NodeDiscoveryFixture.MS, StalenessCause.WIPED);
        told.snapshot(1000, Map.of());
        assertEquals(StalenessCause.WIPED, told.membership.staleness());
        assertEquals(3, told.list.size());
    }

    // ---- a snapshot beside events

    @Test
    void eventDuringASnapshotIsNewerThanIt() {
        three();
        long asOf = told.now * NodeDiscoveryFixture.MS;
        told.pass(300);
        told.put("d", NodeDiscoveryFixture.ready(told.nextZxid(), 4, 800));
        told.changed(told.nextZxid(), "e");
        told.gone(told.nextZxid(), "a");
        told.put(
                "b",
                NodeDiscoveryFixture.node(
                        2, told.nextZxid(), NodeDiscoveryFixture.data(2, HostState.DRAINING, 600)));
        told.pass(300);
        told.membership.onSnapshot(
                told.now * NodeDiscoveryFixture.MS,
                asOf,
                10,
                Map.of(
                        "a",
                        NodeDiscoveryFixture.ready(1, 1, 500),
                        "b",
                        NodeDiscoveryFixture.ready(2, 2, 600),
                        "c",
                        NodeDiscoveryFixture.ready(3, 3, 700)));
        assertEquals(HostState.DRAINING, told.state("a"));
        assertEquals(HostState.DRAINING, told.state("b"));
        assertEquals(HostState.READY, told.state("c"));
        assertEquals(HostState.READY, told.state("d"));
        told.read("e", NodeDiscoveryFixture.ready(102, 5, 900));
        told.pass(100);
        assertEquals(HostState.READY, told.state("e"));
        assertEquals(StalenessCause.NONE, told.membership.staleness());
    }

    /** Ensembles before 3.9 don't tell the transaction of an event. */
    @Test
    void eventsWithoutATransactionAreBelievedInTheirOrder() {
        three();
        told.gone(-1, "a");
        assertEquals(HostState.DRAINING, told.state("a"));
        told.changed(-1, "a");
        told.read("a", NodeDiscoveryFixture.ready(1, 1, 500));
        told.pass(100);
        assertEquals(HostState.DRAINING, told.state("a"), "of the node that has ended");
        told.read("a", NodeDiscoveryFixture.ready(120, 1, 500));
        told.pass(100);
        assertEquals(HostState.READY, told.state("a"));
    }

    // ---- ids and addresses

    @Test
    void hostMayHaveAnotherIdThanItsNode() {
        three();
        NodeData named =
                new NodeData(
                        NodeDiscoveryFixture.at(4), 0, 0, 0, HostState.READY, 1, 900, "server-4");
        told.put("n4", NodeDiscoveryFixture.node(told.nextZxid(), 104, named));
        told.pass(100);
        assertEquals(HostState.READY, told.state("server-4"));
        told.put("n4-again", NodeDiscoveryFixture.node(105, 105, named));
        told.gone(106, "n4");
        told.pass(5000);
        assertEquals(HostState.READY, told.state("server-4"), "two nodes of one server");
        told.gone(107, "n4-again");
        assertEquals(HostState.DRAINING, told.state("server-4"));
        told.put(
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
        told.pass(100);
        assertEquals(HostState.GONE, told.state("a"));
        assertEquals(HostState.READY, told.state("other"));
    }

    @Test
    void laterHostHoldsTheAddressBeforeTheOldNodeIsDeleted() {
        three();
        told.put("d", NodeDiscoveryFixture.ready(told.nextZxid(), 1, 900));
        assertEquals(HostState.READY, told.state("d"), "at once");
        assertEquals(HostState.GONE, told.state("a"));
        told.gone(told.nextZxid(), "a");
        told.pass(5000);
        assertEquals(HostState.READY, told.state("d"));
        assertEquals(HostState.GONE, told.state("a"));
        told.gone(told.nextZxid(), "d");
        told.pass(5000);
        assertEquals(2, told.membership.rememberedNodes());
    }

    /** Guards against an address that gets new work again when the one who took it over ends. */
    @Test
    void displacedHostDoesNotReturnWhenTheLaterOneEnds() {
        three();
        told.put("d", NodeDiscoveryFixture.ready(told.nextZxid(), 1, 900));
        told.gone(told.nextZxid(), "d");
        told.pass(5000);
        assertEquals(HostState.GONE, told.state("d"));
        assertEquals(HostState.GONE, told.state("a"));
        told.put("a", NodeDiscoveryFixture.ready(told.nextZxid(), 1, 500));
        told.pass(100);
        assertEquals(HostState.READY, told.state("a"), "its node is made again");
    }

    /**
     * Guards against a server that is kept away from by one whose clock is ahead and whose node is
     * gone.
     */
    @Test
    void hostOfADeletedNodeHoldsNoAddress() {
        three();
        told.gone(told.nextZxid(), "c");
        told.put("d", NodeDiscoveryFixture.ready(told.nextZxid(), 3, 650));
        told.pass(100);
        assertEquals(HostState.READY, told.state("d"));
        assertEquals(HostState.GONE, told.state("c"));
    }

    // ---- bounds

    @Test
    void nothingIsKeptOfHostsInNoSource() {
        three();
        for (int i = 0; i < 10_000; i++) {
            String name = "n" + i;
            told.put(
                    name,
                    i % 3 == 0
                            ? NodeDiscoveryFixture.unreadable(told.nextZxid())
                            : NodeDiscoveryFixture.ready(told.nextZxid(), 10 + i, i));
            told.gone(told.nextZxid(), name);
            told.gone(told.nextZxid(), "never" + i);
        }
        told.pass(2200);
        assertEquals(3, told.membership.rememberedNodes());
        assertEquals(3, told.membership.size());
        assertEquals(0, told.membership.unreadable());
    }

    @Test
    void changeWithoutEffectIsNotPublished() {
        three();
        told.put(
                "a",
                NodeDiscoveryFixture.node(
                        1, told.nextZxid(), NodeDiscoveryFixture.data(1, HostState.READY, 500)));
        told.pass(1000);
        told.snapshot(
                told.nextZxid(),
                Map.of(
                        "a",
                        NodeDiscoveryFixture.node(
                                1, 101, NodeDiscoveryFixture.data(1, HostState.READY, 500)),
                        "b",
                        NodeDiscoveryFixture.ready(2, 2, 600),
                        "c",
                        NodeDiscoveryFixture.ready(3, 3, 700)));
        assertEquals(1, told.events.size());
    }

    @Test
    void registryFailurePassesThroughAndItsListsDoNot() {
        told.registry(UpdateKind.FAILURE);
        assertEquals(UpdateKind.FAILURE, told.events.get(0).kind());
        three();
        told.registry(UpdateKind.SNAPSHOT, NodeDiscoveryFixture.member("r", 9, HostState.READY, 1));
        told.pass(1000);
        assertEquals(HostState.GONE, told.state("r"));
    }
}
