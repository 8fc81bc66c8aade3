package appleridge.discovery.ephemeral;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.loadbalancing.HostState;
import appleridge.loadbalancing.UpdateKind;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The merge of nodes and registry, with one rule for each disagreement between them. */
class BothSourcesTest {
    private static final long STARTED_MILLIS = 1_700_000_000_000L;

    private final NodeDiscoveryFixture fixture = new NodeDiscoveryFixture(SourceSelection.BOTH);

    /** Lists one host in both sources, one in the registry only and one with a node only. */
    private void listThreeHosts() {
        fixture.registry(
                UpdateKind.SNAPSHOT,
                NodeDiscoveryFixture.member("both", 1, HostState.READY, STARTED_MILLIS),
                NodeDiscoveryFixture.member("listed", 2, HostState.READY, STARTED_MILLIS));
        fixture.session(SessionState.CONNECTED);
        fixture.snapshot(
                10,
                Map.of(
                        "both",
                        NodeDiscoveryFixture.ready(1, 1, STARTED_MILLIS),
                        "node",
                        NodeDiscoveryFixture.ready(2, 3, STARTED_MILLIS)));
        fixture.advance(200);
    }

    @Test
    void hostInOneSourceIsListed() {
        listThreeHosts();
        assertEquals(3, fixture.list.size());
        assertTrue(
                fixture.list.values().stream().allMatch(each -> each.state() == HostState.READY));
    }

    @Test
    void registryAloneSufficesToBegin() {
        fixture.registry(
                UpdateKind.CACHED_SNAPSHOT,
                NodeDiscoveryFixture.member("a", 1, HostState.READY, STARTED_MILLIS));
        assertEquals(UpdateKind.CACHED_SNAPSHOT, fixture.events.get(0).kind());
        assertTrue(fixture.discovery.hasList());
        fixture.advance(60_000);
        fixture.registry(
                UpdateKind.SNAPSHOT,
                NodeDiscoveryFixture.member("b", 2, HostState.READY, STARTED_MILLIS));
        assertEquals(HostState.GONE, fixture.state("a"));
        assertEquals("registry", fixture.lastUpdate("b", HostState.READY).source());
    }

    @Test
    void hostDrainingInEitherSourceIsDraining() {
        listThreeHosts();
        fixture.registry(
                UpdateKind.DELTA,
                NodeDiscoveryFixture.member("both", 1, HostState.DRAINING, STARTED_MILLIS));
        assertEquals(HostState.DRAINING, fixture.state("both"));
        fixture.registry(
                UpdateKind.DELTA,
                NodeDiscoveryFixture.member("both", 1, HostState.READY, STARTED_MILLIS));
        assertEquals(HostState.READY, fixture.state("both"));
        fixture.put(
                "both",
                NodeDiscoveryFixture.node(
                        1,
                        fixture.nextZxid(),
                        NodeDiscoveryFixture.data(1, HostState.DRAINING, STARTED_MILLIS)));
        fixture.advance(100);
        assertEquals(HostState.DRAINING, fixture.state("both"));
    }

    @Test
    void hostIsGoneAfterItsNodeIsDeletedThoughTheRegistryListsIt() {
        listThreeHosts();
        fixture.delete(fixture.nextZxid(), "both");
        assertEquals(HostState.DRAINING, fixture.state("both"));
        fixture.advance(2500);
        assertEquals(HostState.GONE, fixture.state("both"));
        fixture.registry(
                UpdateKind.DELTA,
                NodeDiscoveryFixture.member("both", 1, HostState.READY, STARTED_MILLIS));
        fixture.registry(
                UpdateKind.SNAPSHOT,
                NodeDiscoveryFixture.member("both", 1, HostState.READY, STARTED_MILLIS),
                NodeDiscoveryFixture.member("listed", 2, HostState.READY, STARTED_MILLIS));
        fixture.advance(600_000);
        assertEquals(HostState.GONE, fixture.state("both"));
        fixture.put("both", NodeDiscoveryFixture.ready(fixture.nextZxid(), 1, STARTED_MILLIS));
        fixture.advance(100);
        assertEquals(HostState.READY, fixture.state("both"), "its node exists again");
    }

    /**
     * Guards against a host that is listed again by the slower source, which was not notified of
     * its end yet.
     */
    @Test
    void hostListedFirstRightAfterItsNodeIsDeletedIsGone() {
        listThreeHosts();
        fixture.delete(fixture.nextZxid(), "node");
        fixture.registry(
                UpdateKind.DELTA,
                NodeDiscoveryFixture.member("node", 3, HostState.READY, STARTED_MILLIS));
        assertEquals(HostState.DRAINING, fixture.state("node"));
        fixture.advance(5000);
        assertEquals(HostState.GONE, fixture.state("node"));
    }

    /** A watch may notify the deletion of a node before the node was read. */
    @Test
    void hostIsGoneAfterDeletionOfANodeThatWasNeverRead() {
        listThreeHosts();
        fixture.delete(fixture.nextZxid(), "listed");
        assertEquals(HostState.GONE, fixture.state("listed"));
        fixture.registry(
                UpdateKind.DELTA,
                NodeDiscoveryFixture.member("listed", 2, HostState.READY, STARTED_MILLIS));
        assertEquals(HostState.GONE, fixture.state("listed"));
        fixture.registry(
                UpdateKind.DELTA,
                NodeDiscoveryFixture.member("listed", 2, HostState.READY, STARTED_MILLIS + 60_000));
        assertEquals(HostState.READY, fixture.state("listed"));
    }

    @Test
    void laterStartInTheRegistryIsAnotherProcess() {
        listThreeHosts();
        fixture.delete(fixture.nextZxid(), "both");
        fixture.registry(
                UpdateKind.DELTA,
                NodeDiscoveryFixture.member("both", 1, HostState.READY, STARTED_MILLIS + 4000));
        assertEquals(
                HostState.DRAINING,
                fixture.state("both"),
                "within the tolerance between two clocks");
        fixture.registry(
                UpdateKind.DELTA,
                NodeDiscoveryFixture.member("both", 1, HostState.READY, STARTED_MILLIS + 60_000));
        assertEquals(
                NodeDiscoveryFixture.member("both", 1, HostState.READY, STARTED_MILLIS + 60_000),
                fixture.list.get("both"));
        fixture.advance(5000);
        assertEquals(HostState.READY, fixture.state("both"));
    }

    @Test
    void deletionOfAnOldNodeDoesNotEndTheNextProcess() {
        listThreeHosts();
        fixture.registry(
                UpdateKind.DELTA,
                NodeDiscoveryFixture.member("both", 1, HostState.READY, STARTED_MILLIS + 60_000));
        fixture.delete(fixture.nextZxid(), "both");
        fixture.advance(5000);
        assertEquals(HostState.READY, fixture.state("both"));
    }

    @Test
    void addressAndStartComeFromTheLaterProcess() {
        listThreeHosts();
        fixture.registry(
                UpdateKind.DELTA,
                NodeDiscoveryFixture.member("both", 5, HostState.READY, STARTED_MILLIS + 60_000));
        assertEquals(
                NodeDiscoveryFixture.member("both", 5, HostState.READY, STARTED_MILLIS + 60_000),
                fixture.list.get("both"));
        fixture.put(
                "both", NodeDiscoveryFixture.ready(fixture.nextZxid(), 6, STARTED_MILLIS + 60_000));
        fixture.advance(100);
        assertEquals(
                NodeDiscoveryFixture.at(6),
                fixture.list.get("both").address(),
                "at equal starts the node's address counts");
        fixture.registry(
                UpdateKind.DELTA, NodeDiscoveryFixture.member("both", 5, HostState.READY, 0));
        assertEquals(
                STARTED_MILLIS + 60_000,
                fixture.list.get("both").startedAtUnixMillis(),
                "start 0 is before all others");
    }

    @Test
    void hostEndedByTheRegistryIsGoneThoughItsNodeExists() {
        listThreeHosts();
        fixture.registry(
                UpdateKind.DELTA,
                NodeDiscoveryFixture.member("both", 1, HostState.GONE, STARTED_MILLIS));
        assertEquals(HostState.GONE, fixture.state("both"));
        fixture.advance(60_000);
        assertEquals(HostState.GONE, fixture.state("both"));
        fixture.put(
                "both", NodeDiscoveryFixture.ready(fixture.nextZxid(), 1, STARTED_MILLIS + 60_000));
        fixture.advance(100);
        assertEquals(HostState.READY, fixture.state("both"), "another process");
        fixture.registry(
                UpdateKind.SNAPSHOT,
                NodeDiscoveryFixture.member("both", 1, HostState.READY, STARTED_MILLIS + 60_000));
        assertEquals(HostState.GONE, fixture.state("listed"));
        fixture.registry(UpdateKind.SNAPSHOT);
        assertEquals(HostState.GONE, fixture.state("both"));
        fixture.registry(
                UpdateKind.DELTA,
                NodeDiscoveryFixture.member("both", 1, HostState.READY, STARTED_MILLIS + 60_000));
        assertEquals(HostState.READY, fixture.state("both"), "listed again");
    }

    /**
     * Guards against an end in the registry that a node undoes because it states no start, so that
     * its creation time counts as a later one.
     */
    @Test
    void nodeWithoutAStartIsTheProcessThatTheRegistryEnds() {
        listThreeHosts();
        fixture.put("both", NodeDiscoveryFixture.ready(fixture.nextZxid(), 1, 0));
        fixture.registry(
                UpdateKind.DELTA, NodeDiscoveryFixture.member("both", 1, HostState.GONE, 0));
        fixture.advance(100);
        assertEquals(HostState.GONE, fixture.state("both"));
        fixture.delete(fixture.nextZxid(), "both");
        fixture.put("both", NodeDiscoveryFixture.ready(fixture.nextZxid(), 1, 0));
        fixture.advance(100);
        assertEquals(HostState.READY, fixture.state("both"), "created again");
    }

    @Test
    void registryUpdatesApplyWhileTheNodesAreStale() {
        listThreeHosts();
        fixture.session(SessionState.EXPIRED);
        fixture.registry(
                UpdateKind.DELTA,
                NodeDiscoveryFixture.member("both", 1, HostState.DRAINING, STARTED_MILLIS),
                NodeDiscoveryFixture.member("new", 7, HostState.READY, STARTED_MILLIS),
                NodeDiscoveryFixture.member("listed", 2, HostState.GONE, STARTED_MILLIS));
        assertEquals(HostState.DRAINING, fixture.state("both"));
        assertEquals(HostState.READY, fixture.state("new"));
        assertEquals(HostState.GONE, fixture.state("listed"));
        assertEquals(HostState.READY, fixture.state("node"));
    }

    @Test
    void oneProcessUnderTwoIdsIsOneHost() {
        listThreeHosts();
        fixture.put("node-9", NodeDiscoveryFixture.ready(fixture.nextZxid(), 2, STARTED_MILLIS));
        fixture.advance(100);
        assertEquals(HostState.READY, fixture.state("node-9"));
        assertEquals(
                HostState.GONE,
                fixture.state("listed"),
                "the node counts for the process at that address");
        fixture.delete(fixture.nextZxid(), "node-9");
        assertEquals(HostState.DRAINING, fixture.state("node-9"));
        fixture.advance(3000);
        assertEquals(HostState.GONE, fixture.state("node-9"));
        assertEquals(
                HostState.GONE,
                fixture.state("listed"),
                "the node counts for the end of the process too");
        fixture.registry(
                UpdateKind.DELTA,
                NodeDiscoveryFixture.member("listed", 2, HostState.READY, STARTED_MILLIS + 1));
        assertEquals(HostState.READY, fixture.state("listed"));
    }

    @Test
    void registryUpdateWithoutChangesIsPublished() {
        listThreeHosts();
        int before = fixture.events.size();
        fixture.registry(UpdateKind.DELTA);
        assertEquals(before + 1, fixture.events.size());
        assertEquals(UpdateKind.DELTA, fixture.events.get(before).kind());
    }

    @Test
    void nothingIsKeptOfHostsInNeitherSource() {
        listThreeHosts();
        for (int i = 0; i < 1000; i++) {
            fixture.put(
                    "x" + i,
                    NodeDiscoveryFixture.ready(fixture.nextZxid(), 100 + i, STARTED_MILLIS));
            fixture.registry(
                    UpdateKind.DELTA,
                    NodeDiscoveryFixture.member("x" + i, 100 + i, HostState.READY, STARTED_MILLIS));
            fixture.delete(fixture.nextZxid(), "x" + i);
            fixture.registry(
                    UpdateKind.DELTA,
                    NodeDiscoveryFixture.member("x" + i, 100 + i, HostState.GONE, STARTED_MILLIS));
        }
        fixture.advance(3000);
        assertEquals(3, fixture.discovery.size());
        assertEquals(2, fixture.discovery.rememberedNodes());
    }
}
