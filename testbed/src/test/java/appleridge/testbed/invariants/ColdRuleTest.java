package appleridge.testbed.invariants;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class ColdRuleTest {
    private static final long MS = CheckerFixture.MS;
    private static final long S = CheckerFixture.S;
    private final CheckerFixture fixture = new CheckerFixture();

    private void born() {
        fixture.at(S);
        fixture.checker.serverState("a-1", 2, "Ready", S);
    }

    private void arrives(String sidecar, long sentAt) {
        fixture.checker.serverReceived("a-1", 2, sidecar, "x", sentAt, sentAt, MS);
    }

    private void falls(double own, double others) {
        fixture.checker.serverCollapsed(
                "a-1", 2, Map.of(CheckerFixture.SIDE, own, "side-1", others));
    }

    @Test
    void twoThirdsOfTheWorkFromThoseWhoKnewIsTooMuch() {
        born();
        fixture.delivered("a-1", "Ready", S).at(2 * S);
        falls(2, 1);
        assertEquals(List.of(Rule.COLD), fixture.rules());
    }

    @Test
    void lessIsNot() {
        born();
        fixture.delivered("a-1", "Ready", S).at(2 * S);
        falls(1.99, 1);
        assertEquals(List.of(), fixture.rules());
    }

    @Test
    void whoWasToldOfAnEarlierStartDoesNotKnow() {
        fixture.delivered("a-1", "Ready", 0);
        born();
        fixture.delivered("a-1", "Ready", 0).at(2 * S);
        falls(3, 0);
        assertEquals(List.of(), fixture.rules());
    }

    @Test
    void aStartMayBeToldToTheMillisecond() {
        fixture.at(S);
        fixture.checker.serverState("a-1", 2, "Ready", S + MS - 1);
        fixture.delivered("a-1", "Ready", S).at(2 * S);
        falls(3, 0);
        assertEquals(List.of(Rule.COLD), fixture.rules());
    }

    @Test
    void whatCountsAsToldCounts() {
        born();
        fixture.discoveryKnows("a-1", "Ready", S);
        fixture.checker.discoveryCall(CheckerFixture.SIDE, 1, true, 0);
        fixture.at(7 * S + 1);
        falls(3, 0);
        assertEquals(List.of(Rule.COLD), fixture.rules());
    }

    @Test
    void whatWasSentBeforeItWasToldDoesNotCount() {
        born();
        fixture.at(2 * S).delivered("a-1", "Ready", S);
        for (int i = 0; i < 2; i++) {
            arrives(CheckerFixture.SIDE, 2 * S);
        }
        fixture.at(2 * S + 100 * MS);
        arrives(CheckerFixture.SIDE, 2 * S + 50 * MS);
        falls(3, 0);
        assertEquals(List.of(), fixture.rules());
    }

    @Test
    void whatWasSentAfterItDoes() {
        born();
        fixture.at(2 * S).delivered("a-1", "Ready", S);
        arrives(CheckerFixture.SIDE, 2 * S);
        fixture.at(2 * S + 100 * MS);
        for (int i = 0; i < 2; i++) {
            arrives(CheckerFixture.SIDE, 2 * S + 50 * MS);
        }
        falls(3, 0);
        assertEquals(List.of(Rule.COLD), fixture.rules());
    }

    @Test
    void toldAgainItIsNoLater() {
        born();
        fixture.at(2 * S)
                .delivered("a-1", "Ready", S)
                .at(2 * S + 100 * MS)
                .delivered("a-1", "Ready", S);
        arrives(CheckerFixture.SIDE, 2 * S + 50 * MS);
        falls(3, 0);
        assertEquals(List.of(Rule.COLD), fixture.rules());
    }

    @Test
    void othersWorkIsNotItsOwn() {
        born();
        fixture.at(2 * S).delivered("a-1", "Ready", S);
        arrives(CheckerFixture.SIDE, 2 * S);
        arrives("side-1", 2 * S + 50 * MS);
        arrives("side-1", 2 * S + 50 * MS);
        falls(3, 0);
        assertEquals(List.of(), fixture.rules());
    }

    @Test
    void whatCameBeforeTheWindowDoesNotCount() {
        born();
        arrives(CheckerFixture.SIDE, S);
        arrives(CheckerFixture.SIDE, S);
        fixture.at(2 * S).delivered("a-1", "Ready", S).at(2600 * MS);
        arrives(CheckerFixture.SIDE, 2600 * MS);
        falls(3, 0);
        assertEquals(List.of(Rule.COLD), fixture.rules());
    }
}
