package appleridge.discovery.ephemeral;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.loadbalancing.Balancer.ListKind;
import appleridge.loadbalancing.Balancer.State;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Nodes and the registry together: one rule for each disagreement. */
class BothSourcesTest {
    private static final long DAY = 1_700_000_000_000L;

    private final Told told = new Told(Merge.BOTH);

    /** One server in both, one in the registry alone and one with a node alone. */
    private void begin() {
        told.registry(
                ListKind.FULL,
                Told.member("both", 1, State.READY, DAY),
                Told.member("listed", 2, State.READY, DAY));
        told.session(Session.CONNECTED);
        told.snapshot(10, Map.of("both", Told.ready(1, 1, DAY), "node", Told.ready(2, 3, DAY)));
        told.pass(200);
    }

    @Test
    void whoIsInOneIsListedByItsWord() {
        begin();
        assertEquals(3, told.list.size());
        assertTrue(told.list.values().stream().allMatch(each -> each.state() == State.READY));
    }

    @Test
    void theRegistryAloneIsEnoughToBegin() {
        told.registry(ListKind.CACHED, Told.member("a", 1, State.READY, DAY));
        assertEquals(ListKind.CACHED, told.events.get(0).kind());
        assertTrue(told.membership.usable());
        told.pass(60_000);
        told.registry(ListKind.FULL, Told.member("b", 2, State.READY, DAY));
        assertEquals(State.GONE, told.state("a"));
        assertEquals("registry", told.last("b", State.READY).source());
    }

    @Test
    void whoDrainsInEitherDrains() {
        begin();
        told.registry(ListKind.DELTA, Told.member("both", 1, State.DRAINING, DAY));
        assertEquals(State.DRAINING, told.state("both"));
        told.registry(ListKind.DELTA, Told.member("both", 1, State.READY, DAY));
        assertEquals(State.READY, told.state("both"));
        told.put("both", Told.node(1, told.nextZxid(), Told.data(1, State.DRAINING, DAY)));
        told.pass(100);
        assertEquals(State.DRAINING, told.state("both"));
    }

    @Test
    void whoseNodeHasVanishedIsGoneWhateverTheRegistryLists() {
        begin();
        told.gone(told.nextZxid(), "both");
        assertEquals(State.DRAINING, told.state("both"));
        told.pass(2500);
        assertEquals(State.GONE, told.state("both"));
        told.registry(ListKind.DELTA, Told.member("both", 1, State.READY, DAY));
        told.registry(
                ListKind.FULL,
                Told.member("both", 1, State.READY, DAY),
                Told.member("listed", 2, State.READY, DAY));
        told.pass(600_000);
        assertEquals(State.GONE, told.state("both"));
        told.put("both", Told.ready(told.nextZxid(), 1, DAY));
        told.pass(100);
        assertEquals(State.READY, told.state("both"), "its node is back");
    }

    /** Guards against the slower source, which lists what it has not heard the end of. */
    @Test
    void whoIsListedForTheFirstTimeRightAfterItsNodeVanishedIsGone() {
        begin();
        told.gone(told.nextZxid(), "node");
        told.registry(ListKind.DELTA, Told.member("node", 3, State.READY, DAY));
        assertEquals(State.DRAINING, told.state("node"));
        told.pass(5000);
        assertEquals(State.GONE, told.state("node"));
    }

    /** A watch may tell of an end that came before the first reading. */
    @Test
    void whoseEndIsToldWithoutHavingBeenSeenIsGone() {
        begin();
        told.gone(told.nextZxid(), "listed");
        assertEquals(State.GONE, told.state("listed"));
        told.registry(ListKind.DELTA, Told.member("listed", 2, State.READY, DAY));
        assertEquals(State.GONE, told.state("listed"));
        told.registry(ListKind.DELTA, Told.member("listed", 2, State.READY, DAY + 60_000));
        assertEquals(State.READY, told.state("listed"));
    }

    @Test
    void aLaterStartInTheRegistryIsAnotherProcess() {
        begin();
        told.gone(told.nextZxid(), "both");
        told.registry(ListKind.DELTA, Told.member("both", 1, State.READY, DAY + 4000));
        assertEquals(State.DRAINING, told.state("both"), "as near as two clocks are");
        told.registry(ListKind.DELTA, Told.member("both", 1, State.READY, DAY + 60_000));
        assertEquals(Told.member("both", 1, State.READY, DAY + 60_000), told.list.get("both"));
        told.pass(5000);
        assertEquals(State.READY, told.state("both"));
    }

    @Test
    void anOldNodeEndsNothingOfTheProcessAfterIt() {
        begin();
        told.registry(ListKind.DELTA, Told.member("both", 1, State.READY, DAY + 60_000));
        told.gone(told.nextZxid(), "both");
        told.pass(5000);
        assertEquals(State.READY, told.state("both"));
    }

    @Test
    void addressAndStartAreOfTheOneThatBeganLater() {
        begin();
        told.registry(ListKind.DELTA, Told.member("both", 5, State.READY, DAY + 60_000));
        assertEquals(Told.member("both", 5, State.READY, DAY + 60_000), told.list.get("both"));
        told.put("both", Told.ready(told.nextZxid(), 6, DAY + 60_000));
        told.pass(100);
        assertEquals(Told.at(6), told.list.get("both").address(), "equal: the node's");
        told.registry(ListKind.DELTA, Told.member("both", 5, State.READY, 0));
        assertEquals(DAY + 60_000, told.list.get("both").startedMillis(), "long ago is before all");
    }

    @Test
    void whomTheRegistryEndsIsGoneThoughItsNodeIsThere() {
        begin();
        told.registry(ListKind.DELTA, Told.member("both", 1, State.GONE, DAY));
        assertEquals(State.GONE, told.state("both"));
        told.pass(60_000);
        assertEquals(State.GONE, told.state("both"));
        told.put("both", Told.ready(told.nextZxid(), 1, DAY + 60_000));
        told.pass(100);
        assertEquals(State.READY, told.state("both"), "another process");
        told.registry(ListKind.FULL, Told.member("both", 1, State.READY, DAY + 60_000));
        assertEquals(State.GONE, told.state("listed"));
        told.registry(ListKind.FULL);
        assertEquals(State.GONE, told.state("both"));
        told.registry(ListKind.DELTA, Told.member("both", 1, State.READY, DAY + 60_000));
        assertEquals(State.READY, told.state("both"), "listed again");
    }

    /** Guards against an end that is undone by a node which names no start but its making. */
    @Test
    void withoutAStartOfItsOwnANodeIsTheProcessThatTheRegistryEnds() {
        begin();
        told.put("both", Told.ready(told.nextZxid(), 1, 0));
        told.registry(ListKind.DELTA, Told.member("both", 1, State.GONE, 0));
        told.pass(100);
        assertEquals(State.GONE, told.state("both"));
        told.gone(told.nextZxid(), "both");
        told.put("both", Told.ready(told.nextZxid(), 1, 0));
        told.pass(100);
        assertEquals(State.READY, told.state("both"), "made anew");
    }

    @Test
    void whileTheNodesAreInDoubtTheRegistryIsHeard() {
        begin();
        told.session(Session.EXPIRED);
        told.registry(
                ListKind.DELTA,
                Told.member("both", 1, State.DRAINING, DAY),
                Told.member("new", 7, State.READY, DAY),
                Told.member("listed", 2, State.GONE, DAY));
        assertEquals(State.DRAINING, told.state("both"));
        assertEquals(State.READY, told.state("new"));
        assertEquals(State.GONE, told.state("listed"));
        assertEquals(State.READY, told.state("node"));
    }

    @Test
    void oneProcessUnderTwoIdsIsOneUpstream() {
        begin();
        told.put("node-9", Told.ready(told.nextZxid(), 2, DAY));
        told.pass(100);
        assertEquals(State.READY, told.state("node-9"));
        assertEquals(
                State.GONE,
                told.state("listed"),
                "the node speaks for the process at that address");
        told.gone(told.nextZxid(), "node-9");
        assertEquals(State.DRAINING, told.state("node-9"));
        told.pass(3000);
        assertEquals(State.GONE, told.state("node-9"));
        assertEquals(State.GONE, told.state("listed"), "and for its end");
        told.registry(ListKind.DELTA, Told.member("listed", 2, State.READY, DAY + 1));
        assertEquals(State.READY, told.state("listed"));
    }

    @Test
    void anAnswerThatChangesNothingStillTellsThatTheRegistryAnswers() {
        begin();
        int before = told.events.size();
        told.registry(ListKind.DELTA);
        assertEquals(before + 1, told.events.size());
        assertEquals(ListKind.DELTA, told.events.get(before).kind());
    }

    @Test
    void nothingIsKeptOfWhoIsInNeither() {
        begin();
        for (int i = 0; i < 1000; i++) {
            told.put("x" + i, Told.ready(told.nextZxid(), 100 + i, DAY));
            told.registry(ListKind.DELTA, Told.member("x" + i, 100 + i, State.READY, DAY));
            told.gone(told.nextZxid(), "x" + i);
            told.registry(ListKind.DELTA, Told.member("x" + i, 100 + i, State.GONE, DAY));
        }
        told.pass(3000);
        assertEquals(3, told.membership.size());
        assertEquals(2, told.membership.remembered());
    }
}
