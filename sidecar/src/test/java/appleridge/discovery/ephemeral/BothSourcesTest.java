package appleridge.discovery.ephemeral;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.loadbalancing.HostState;
import appleridge.loadbalancing.UpdateKind;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Nodes and the registry together: one rule for each disagreement. */
class BothSourcesTest {
    private static final long DAY = 1_700_000_000_000L;

    private final NodeDiscoveryFixture told = new NodeDiscoveryFixture(SourceSelection.BOTH);

    /** One server in both, one in the registry alone and one with a node alone. */
    private void begin() {
        told.registry(
                UpdateKind.SNAPSHOT,
                NodeDiscoveryFixture.member("both", 1, HostState.READY, DAY),
                NodeDiscoveryFixture.member("listed", 2, HostState.READY, DAY));
        told.session(SessionState.CONNECTED);
        told.snapshot(
                10,
                Map.of(
                        "both",
                        NodeDiscoveryFixture.ready(1, 1, DAY),
                        "node",
                        NodeDiscoveryFixture.ready(2, 3, DAY)));
        told.pass(200);
    }

    @Test
    void hostInOneSourceIsListed() {
        begin();
        assertEquals(3, told.list.size());
        assertTrue(told.list.values().stream().allMatch(each -> each.state() == HostState.READY));
    }

    @Test
    void registryAloneSufficesToBegin() {
        told.registry(
                UpdateKind.CACHED_SNAPSHOT,
                NodeDiscoveryFixture.member("a", 1, HostState.READY, DAY));
        assertEquals(UpdateKind.CACHED_SNAPSHOT, told.events.get(0).kind());
        assertTrue(told.membership.hasList());
        told.pass(60_000);
        told.registry(
                UpdateKind.SNAPSHOT, NodeDiscoveryFixture.member("b", 2, HostState.READY, DAY));
        assertEquals(HostState.GONE, told.state("a"));
        assertEquals("registry", told.last("b", HostState.READY).source());
    }

    @Test
    void hostDrainingInEitherSourceIsDraining() {
        begin();
        told.registry(
                UpdateKind.DELTA, NodeDiscoveryFixture.member("both", 1, HostState.DRAINING, DAY));
        assertEquals(HostState.DRAINING, told.state("both"));
        told.registry(
                UpdateKind.DELTA, NodeDiscoveryFixture.member("both", 1, HostState.READY, DAY));
        assertEquals(HostState.READY, told.state("both"));
        told.put(
                "both",
                NodeDiscoveryFixture.node(
                        1, told.nextZxid(), NodeDiscoveryFixture.data(1, HostState.DRAINING, DAY)));
        told.pass(100);
        assertEquals(HostState.DRAINING, told.state("both"));
    }

    @Test
    void hostIsGoneAfterItsNodeIsDeletedThoughTheRegistryListsIt() {
        begin();
        told.gone(told.nextZxid(), "both");
        assertEquals(HostState.DRAINING, told.state("both"));
        told.pass(2500);
        assertEquals(HostState.GONE, told.state("both"));
        told.registry(
                UpdateKind.DELTA, NodeDiscoveryFixture.member("both", 1, HostState.READY, DAY));
        told.registry(
                UpdateKind.SNAPSHOT,
                NodeDiscoveryFixture.member("both", 1, HostState.READY, DAY),
                NodeDiscoveryFixture.member("listed", 2, HostState.READY, DAY));
        told.pass(600_000);
        assertEquals(HostState.GONE, told.state("both"));
        told.put("both", NodeDiscoveryFixture.ready(told.nextZxid(), 1, DAY));
        told.pass(100);
        assertEquals(HostState.READY, told.state("both"), "its node is back");
    }

    /** Guards against the slower source, which lists what it has not heard the end of. */
    @Test
    void hostListedFirstRightAfterItsNodeIsDeletedIsGone() {
        begin();
        told.gone(told.nextZxid(), "node");
        told.registry(
                UpdateKind.DELTA, NodeDiscoveryFixture.member("node", 3, HostState.READY, DAY));
        assertEquals(HostState.DRAINING, told.state("node"));
        told.pass(5000);
        assertEquals(HostState.GONE, told.state("node"));
    }

    /** A watch may tell of an end that came before the first reading. */
    @Test
    void hostIsGoneAfterDeletionOfANodeThatWasNeverRead() {
        begin();
        told.gone(told.nextZxid(), "listed");
        assertEquals(HostState.GONE, told.state("listed"));
        told.registry(
                UpdateKind.DELTA, NodeDiscoveryFixture.member("listed", 2, HostState.READY, DAY));
        assertEquals(HostState.GONE, told.state("listed"));
        told.registry(
                UpdateKind.DELTA,
                NodeDiscoveryFixture.member("listed", 2, HostState.READY, DAY + 60_000));
        assertEquals(HostState.READY, told.state("listed"));
    }

    @Test
    void laterStartInTheRegistryIsAnotherProcess() {
        begin();
        told.gone(told.nextZxid(), "both");
        told.registry(
                UpdateKind.DELTA,
                NodeDiscoveryFixture.member("both", 1, HostState.READY, DAY + 4000));
        assertEquals(HostState.DRAINING, told.state("both"), "as near as two clocks are");
        told.registry(
                UpdateKind.DELTA,
                NodeDiscoveryFixture.member("both", 1, HostState.READY, DAY + 60_000));
        assertEquals(
                NodeDiscoveryFixture.member("both", 1, HostState.READY, DAY + 60_000),
                told.list.get("both"));
        told.pass(5000);
        assertEquals(HostState.READY, told.state("both"));
    }

    @Test
    void deletionOfAnOldNodeDoesNotEndTheNextProcess() {
        begin();
        told.registry(
                UpdateKind.DELTA,
                NodeDiscoveryFixture.member("both", 1, HostState.READY, DAY + 60_000));
        told.gone(told.nextZxid(), "both");
        told.pass(5000);
        assertEquals(HostState.READY, told.state("both"));
    }

    @Test
    void addressAndStartComeFromTheLaterProcess() {
        begin();
        told.registry(
                UpdateKind.DELTA,
                NodeDiscoveryFixture.member("both", 5, HostState.READY, DAY + 60_000));
        assertEquals(
                NodeDiscoveryFixture.member("both", 5, HostState.READY, DAY + 60_000),
                told.list.get("both"));
        told.put("both", NodeDiscoveryFixture.ready(told.nextZxid(), 6, DAY + 60_000));
        told.pass(100);
        assertEquals(
                NodeDiscoveryFixture.at(6), told.list.get("both").address(), "equal: the node's");
        told.registry(UpdateKind.DELTA, NodeDiscoveryFixture.member("both", 5, HostState.READY, 0));
        assertEquals(
                DAY + 60_000,
                told.list.get("both").startedAtUnixMillis(),
                "long ago is before all");
    }

    @Test
    void hostEndedByTheRegistryIsGoneThoughItsNodeExists() {
        begin();
        told.registry(
                UpdateKind.DELTA, NodeDiscoveryFixture.member("both", 1, HostState.GONE, DAY));
        assertEquals(HostState.GONE, told.state("both"));
        told.pass(60_000);
        assertEquals(HostState.GONE, told.state("both"));
        told.put("both", NodeDiscoveryFixture.ready(told.nextZxid(), 1, DAY + 60_000));
        told.pass(100);
        assertEquals(HostState.READY, told.state("both"), "another process");
        told.registry(
                UpdateKind.SNAPSHOT,
                NodeDiscoveryFixture.member("both", 1, HostState.READY, DAY + 60_000));
        assertEquals(HostState.GONE, told.state("listed"));
        told.registry(UpdateKind.SNAPSHOT);
        assertEquals(HostState.GONE, told.state("both"));
        told.registry(
                UpdateKind.DELTA,
                NodeDiscoveryFixture.member("both", 1, HostState.READY, DAY + 60_000));
        assertEquals(HostState.READY, told.state("both"), "listed again");
    }

    /** Guards against an end that is undone by a node which names no start but its making. */
    @Test
    void nodeWithoutAStartIsTheProcessThatTheRegistryEnds() {
        begin();
        told.put("both", NodeDiscoveryFixture.ready(told.nextZxid(), 1, 0));
        told.registry(UpdateKind.DELTA, NodeDiscoveryFixture.member("both", 1, HostState.GONE, 0));
        told.pass(100);
        assertEquals(HostState.GONE, told.state("both"));
        told.gone(told.nextZxid(), "both");
        told.put("both", NodeDiscoveryFixture.ready(told.nextZxid(), 1, 0));
        told.pass(100);
        assertEquals(HostState.READY, told.state("both"), "made anew");
    }

    @Test
    void registryUpdatesApplyWhileTheNodesAreStale() {
        begin();
        told.session(SessionState.EXPIRED);
        told.registry(
                UpdateKind.DELTA,
                NodeDiscoveryFixture.member("both", 1, HostState.DRAINING, DAY),
                NodeDiscoveryFixture.member("new", 7, HostState.READY, DAY),
                NodeDiscoveryFixture.member("listed", 2, HostState.GONE, DAY));
        assertEquals(HostState.DRAINING, told.state("both"));
        assertEquals(HostState.READY, told.state("new"));
        assertEquals(HostState.GONE, told.state("listed"));
        assertEquals(HostState.READY, told.state("node"));
    }

    @Test
    void oneProcessUnderTwoIdsIsOneHost() {
        begin();
        told.put("node-9", NodeDiscoveryFixture.ready(told.nextZxid(), 2, DAY));
        told.pass(100);
        assertEquals(HostState.READY, told.state("node-9"));
        assertEquals(
                HostState.GONE,
                told.state("listed"),
                "the node speaks for the process at that address");
        told.gone(told.nextZxid(), "node-9");
        assertEquals(HostState.DRAINING, told.state("node-9"));
        told.pass(3000);
        assertEquals(HostState.GONE, told.state("node-9"));
        assertEquals(HostState.GONE, told.state("listed"), "and for its end");
        told.registry(
                UpdateKind.DELTA,
                NodeDiscoveryFixture.member("listed", 2, HostState.READY, DAY + 1));
        assertEquals(HostState.READY, told.state("listed"));
    }

    @Test
    void registryUpdateWithoutChangesIsPublished() {
        begin();
        int before = told.events.size();
        told.registry(UpdateKind.DELTA);
        assertEquals(before + 1, told.events.size());
        assertEquals(UpdateKind.DELTA, told.events.get(before).kind());
    }

    @Test
    void nothingIsKeptOfHostsInNeitherSource() {
        begin();
        for (int i = 0; i < 1000; i++) {
            told.put("x" + i, NodeDiscoveryFixture.ready(told.nextZxid(), 100 + i, DAY));
            told.registry(
                    UpdateKind.DELTA,
                    NodeDiscoveryFixture.member("x" + i, 100 + i, HostState.READY, DAY));
            told.gone(told.nextZxid(), "x" + i);
            told.registry(
                    UpdateKind.DELTA,
                    NodeDiscoveryFixture.member("x" + i, 100 + i, HostState.GONE, DAY));
        }
        told.pass(3000);
        assertEquals(3, told.membership.size());
        assertEquals(2, told.membership.rememberedNodes());
    }
}
