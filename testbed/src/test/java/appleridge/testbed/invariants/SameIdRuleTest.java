package appleridge.testbed.invariants;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class SameIdRuleTest {
    private static final long MS = CheckerFixture.MS;
    private static final long S = CheckerFixture.S;

    private final CheckerFixture fixture = new CheckerFixture();

    private void forwardUnderOpenId(long sentAt, int status, long answeredAt) {
        fixture.at(S).accepted("r", CheckerFixture.STOCK_CHECK, 400 * MS);
        fixture.checker.badClientReusedId("bad-1", "bad-r", "r");
        fixture.at(S + 100 * MS).readId("a-1", "bad-r", sentAt);
        fixture.checker.answered("r", status, "", -1, answeredAt);
    }

    @Test
    void requestForwardedUnderAnOpenIdIsReported() {
        forwardUnderOpenId(S + 50 * MS, 504, S + 90 * MS);
        assertEquals(List.of(Rule.DUPLICATE), fixture.rules());
    }

    @Test
    void requestReadByTheServerAfterTheAnswerIsReported() {
        fixture.at(S).accepted("r", CheckerFixture.STOCK_CHECK, 400 * MS);
        fixture.checker.badClientReusedId("bad-1", "bad-r", "r");
        fixture.checker.answered("r", 504, "", -1, S + 90 * MS);
        fixture.at(S + 100 * MS).readId("a-1", "bad-r", S + 50 * MS);
        assertEquals(List.of(Rule.DUPLICATE), fixture.rules());
    }

    @Test
    void requestForwardedAfterTheAnswerIsAccepted() {
        forwardUnderOpenId(S + 89 * MS, 504, S + 90 * MS);
        assertEquals(List.of(), fixture.rules());
    }

    @Test
    void conflictAnswerIsAccepted() {
        forwardUnderOpenId(S + 50 * MS, 409, S + 90 * MS);
        assertEquals(List.of(), fixture.rules());
    }

    @Test
    void unreadRequestMayBeTheSecondOne() {
        fixture.unreadIds.add("r");
        forwardUnderOpenId(S + 50 * MS, 504, S + 90 * MS);
        assertEquals(List.of(), fixture.rules());
    }
}
