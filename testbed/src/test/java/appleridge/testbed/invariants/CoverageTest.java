package appleridge.testbed.invariants;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;

class CoverageTest {
    private static final int STATES = RequestState.values().length;

    @Test
    void countsAndMergesHits() {
        Coverage one = new Coverage();
        one.add("kill", RequestState.HELD);
        one.add("kill", RequestState.HELD);
        Coverage other = new Coverage();
        other.add("kill", RequestState.HELD);
        other.add("up-reset", RequestState.WRITTEN);
        one.merge(other);
        assertEquals(3, one.count("kill", RequestState.HELD));
        assertEquals(1, one.count("up-reset", RequestState.WRITTEN));
        assertEquals(0, one.count("up-reset", RequestState.HELD));
        assertEquals(4, one.total());
        assertEquals(2, other.total());
    }

    @Test
    void countsPossibleCombinationsBelowTheMinimum() {
        Coverage coverage = new Coverage();
        coverage.expect("up-reset");
        assertEquals(STATES, coverage.cellsBelow(1, ImpossibleCombinations.none()));
        assertEquals(STATES - 5, coverage.cellsBelow(1, ImpossibleCombinations.usual()));
        coverage.add("up-reset", RequestState.WRITTEN);
        assertEquals(STATES - 6, coverage.cellsBelow(1, ImpossibleCombinations.usual()));
        assertEquals(STATES - 5, coverage.cellsBelow(2, ImpossibleCombinations.usual()));
    }

    @Test
    void impossibleCombinationsHaveAReason() {
        ImpossibleCombinations usual = ImpossibleCombinations.usual();
        assertNull(usual.why("kill", RequestState.IDLE));
        assertNull(usual.why("up-reset", RequestState.ANSWERING));
        assertEquals(
                "no connection to a server carries the request",
                usual.why("up-reset", RequestState.HELD));
        assertEquals(
                "the answer has already begun unmodified",
                usual.why("spoil", RequestState.RESEND_ANSWERING));
    }

    @Test
    void printsTextAndMarkdownTables() {
        Coverage coverage = new Coverage();
        coverage.add("up-reset", RequestState.WRITTEN);
        coverage.add("kill", RequestState.IDLE);
        List<String> lines = coverage.text(ImpossibleCombinations.usual()).lines().toList();
        assertEquals(3, lines.size());
        assertTrue(lines.get(0).startsWith("fault     arriving"), lines.get(0));
        assertTrue(
                lines.get(1).startsWith("kill             0") && lines.get(1).endsWith("1"),
                lines.get(1));
        assertTrue(
                lines.get(2).startsWith("up-reset         -") && lines.get(2).endsWith("-"),
                lines.get(2));
        assertEquals(lines.get(0).length(), lines.get(2).length());
        String markdown = coverage.markdown(ImpossibleCombinations.usual());
        assertTrue(markdown.startsWith("| fault | arriving | held |"), markdown);
        assertTrue(markdown.contains("| up-reset | - | - | 0 | 0 | 1 |"), markdown);
        assertTrue(
                markdown.contains(
                        "| up-* | arriving, held, answered, resend held, idle | no connection"),
                markdown);
        assertFalse(markdown.contains("spoil"), markdown);
    }

    @Test
    void faultCountsItsTargetRequestOrAllRequestsAtItsTarget() throws IOException {
        NetworkFixture fixture = new NetworkFixture();
        Coverage coverage = new Coverage();
        FaultHitCounter counter = new FaultHitCounter(fixture.states, coverage);
        fixture.states.registerSidecar("side-1-process", "side-1");
        fixture.startRequest("r");
        fixture.startRequest("s");
        fixture.states.requestSent("s");
        counter.faultTriggered("down-reset", "app", "s");
        assertEquals(1, coverage.count("down-reset", RequestState.HELD));
        assertEquals(1, coverage.total());
        counter.faultTriggered("kill", NetworkFixture.SIDECAR, null);
        assertEquals(1, coverage.count("kill", RequestState.HELD));
        assertEquals(1, coverage.count("kill", RequestState.ARRIVING));
        counter.faultTriggered("kill", "side-1", null);
        counter.faultTriggered("crash", "a-1", null);
        counter.faultTriggered("down-reset", "app", "over");
        assertEquals(3, coverage.total());
        counter.faultTriggered("list-down", null, null);
        counter.faultTriggered("zone-cut", "ebene", null);
        assertEquals(3, coverage.total());
    }

    @Test
    void lastingFaultCountsOnlyReportedHits() throws IOException {
        Coverage coverage = new Coverage();
        FaultHitCounter counter = new FaultHitCounter(new NetworkFixture().states, coverage);
        counter.faultArmed("connect-slow", "a-1");
        assertTrue(coverage.text(ImpossibleCombinations.none()).contains("connect-slow"));
        assertEquals(0, coverage.total());
        counter.faultHit("connect-slow", "r", RequestState.CONNECTING);
        assertEquals(1, coverage.count("connect-slow", RequestState.CONNECTING));
    }

    @Test
    void faultsOfOneStateAreImpossibleInOthers() {
        ImpossibleCombinations usual = ImpossibleCombinations.usual();
        assertNull(usual.why("connect-refused", RequestState.RESEND_CONNECTING));
        assertNull(usual.why("up-cut-answer", RequestState.RESEND_ANSWERING));
        assertNull(usual.why("window-closes", RequestState.RESEND_WRITING));
        assertEquals(
                "it affects only connecting requests",
                usual.why("connect-refused", RequestState.WRITING));
        assertEquals(
                "it cuts the answer's bytes", usual.why("up-cut-answer", RequestState.WRITTEN));
        assertEquals("nothing is resent", usual.why("window-closes", RequestState.WRITING));
    }

    @Test
    void verdictSumsUpCountsAndViolations() {
        RequestCounts outcomes = new RequestCounts();
        for (String id : List.of("a", "b", "c", "d", "e", "f", "g")) {
            outcomes.requestStarted(new ClientAttempt(id, id, 0, "side-0", 0, 0, null, 1, 0, 1, 1));
        }
        outcomes.answered("a", 200, "", -1, 0);
        outcomes.answered("b", 503, "", -1, 0);
        outcomes.answered("g", 429, "", -1, 0);
        outcomes.answered("c", 504, "", -1, 0);
        outcomes.answerBroken("d", "reset", false);
        outcomes.answerBroken("d", "reset", false);
        outcomes.clientGaveUp("e");
        outcomes.serverReceived("s", 1, "side-0", "a", 0, 0, 1);
        outcomes.serverReceived("s", 1, "side-0", "a", 0, 0, 1);
        outcomes.serverReceived("s", 1, "side-0", "bad-1", 0, 0, 1);
        Counts counts = outcomes.counts();
        assertEquals(new Counts(7, 1, 2, 2, 1, 2, 1), counts);
        assertEquals(new Counts(14, 2, 4, 4, 2, 4, 2), counts.plus(counts));
        Verdict good = new Verdict(7, 255, List.of(), counts, new Coverage(), 20);
        assertTrue(good.passed());
        assertEquals(
                "seed 7: no rule broken, 7 asked, 1 served, 2 refused, 2 failed, 1 left, 2"
                        + " attempts, 1 resends, digest ff",
                good.text());
        Verdict bad =
                new Verdict(
                        7,
                        255,
                        List.of(new InvariantViolation(Rule.LOST, 1_500_000_000L, "d", "why")),
                        counts,
                        new Coverage(),
                        20);
        assertFalse(bad.passed());
        assertTrue(bad.text().startsWith("seed 7: 1 broken, "));
        assertTrue(bad.text().endsWith("\n  LOST at 1.500000000s d: why"));
    }
}
