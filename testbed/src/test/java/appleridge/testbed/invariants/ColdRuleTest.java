package appleridge.testbed.invariants;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class ColdRuleTest {
    private static final long MS = CheckerFixture.MS;
    private static final long S = CheckerFixture.S;
    private final CheckerFixture fixture = new CheckerFixture();

    private void serverStarts() {
        fixture.at(S);
        fixture.checker.serverState("a-1", 2, "Ready", S);
    }

    private void receive(String sidecar, long sentAt) {
        fixture.checker.serverReceived("a-1", 2, sidecar, "x", sentAt, sentAt, MS);
    }

    private void collapse(double own, double others) {
        fixture.checker.serverCollapsed(
                "a-1", 2, Map.of(CheckerFixture.SIDECAR, own, "side-1", others));
    }

    @Test
    void twoThirdsOfTheWorkFromInformedSidecarsIsReported() {
        serverStarts();
        fixture.delivered("a-1", "Ready", S).at(2 * S);
        collapse(2, 1);
        assertEquals(List.of(Rule.COLD), fixture.rules());
    }

    @Test
    void lessThanTwoThirdsIsAccepted() {
        serverStarts();
        fixture.delivered("a-1", "Ready", S).at(2 * S);
        collapse(1.99, 1);
        assertEquals(List.of(), fixture.rules());
    }

    @Test
    void knowingAnEarlierStartDoesNotCount() {
        fixture.delivered("a-1", "Ready", 0);
        serverStarts();
        fixture.delivered("a-1", "Ready", 0).at(2 * S);
        collapse(3, 0);
        assertEquals(List.of(), fixture.rules());
    }

    @Test
    void startDeliveredToTheMillisecondCounts() {
        fixture.at(S);
        fixture.checker.serverState("a-1", 2, "Ready", S + MS - 1);
        fixture.delivered("a-1", "Ready", S).at(2 * S);
        collapse(3, 0);
        assertEquals(List.of(Rule.COLD), fixture.rules());
    }

    @Test
    void startThatCountsAsDeliveredCounts() {
        serverStarts();
        fixture.discoveryKnows("a-1", "Ready", S);
        fixture.checker.discoveryCall(CheckerFixture.SIDECAR, 1, true, 0);
        fixture.at(7 * S + 1);
        collapse(3, 0);
        assertEquals(List.of(Rule.COLD), fixture.rules());
    }

    @Test
    void workSentBeforeTheDeliveryDoesNotCount() {
        serverStarts();
        fixture.at(2 * S).delivered("a-1", "Ready", S);
        for (int i = 0; i < 2; i++) {
            receive(CheckerFixture.SIDECAR, 2 * S);
        }
        fixture.at(2 * S + 100 * MS);
        receive(CheckerFixture.SIDECAR, 2 * S + 50 * MS);
        collapse(3, 0);
        assertEquals(List.of(), fixture.rules());
    }

    @Test
    void workSentAfterTheDeliveryCounts() {
        serverStarts();
        fixture.at(2 * S).delivered("a-1", "Ready", S);
        receive(CheckerFixture.SIDECAR, 2 * S);
        fixture.at(2 * S + 100 * MS);
        for (int i = 0; i < 2; i++) {
            receive(CheckerFixture.SIDECAR, 2 * S + 50 * MS);
        }
        collapse(3, 0);
        assertEquals(List.of(Rule.COLD), fixture.rules());
    }

    @Test
    void repeatedDeliveryDoesNotPostponeTheFirst() {
        serverStarts();
        fixture.at(2 * S)
                .delivered("a-1", "Ready", S)
                .at(2 * S + 100 * MS)
                .delivered("a-1", "Ready", S);
        receive(CheckerFixture.SIDECAR, 2 * S + 50 * MS);
        collapse(3, 0);
        assertEquals(List.of(Rule.COLD), fixture.rules());
    }

    @Test
    void workOfOtherSidecarsDoesNotCountAsItsOwn() {
        serverStarts();
        fixture.at(2 * S).delivered("a-1", "Ready", S);
        receive(CheckerFixture.SIDECAR, 2 * S);
        receive("side-1", 2 * S + 50 * MS);
        receive("side-1", 2 * S + 50 * MS);
        collapse(3, 0);
        assertEquals(List.of(), fixture.rules());
    }

    @Test
    void workBeforeTheWindowDoesNotCount() {
        serverStarts();
        receive(CheckerFixture.SIDECAR, S);
        receive(CheckerFixture.SIDECAR, S);
        fixture.at(2 * S).delivered("a-1", "Ready", S).at(2600 * MS);
        receive(CheckerFixture.SIDECAR, 2600 * MS);
        collapse(3, 0);
        assertEquals(List.of(Rule.COLD), fixture.rules());
    }
}
